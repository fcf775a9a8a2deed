/** The candidate's side of an election. */
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Members} from '@mulberrypitch/storage/types';
import type {VoteReply} from './messages.js';
import type {Peer} from './types.js';

/**
Gives how many of the voters decide.

@example
```
const quorum = getQuorum(log.members);
```
*/
export function getQuorum(members: Members): number {
	return Math.floor(Object.keys(members).length / 2) + 1;
}

/** One round of votes. */
export type VoteRound = {
	readonly self: string;
	readonly members: Members;
	readonly peers: readonly Peer[];
	readonly ask: (peer: Peer, voterId: string) => Promise<VoteReply | undefined>;
};

/**
Asks all other voters and tells whether a quorum granted. A vote counts only from the replica that the log lists:
a host that came back with an empty disk has another id.

@example
```
const isElected = await collectVotes({self: 'a', members, peers, ask});
```
*/
export async function collectVotes({self, members, peers, ask}: VoteRound): Promise<boolean> {
	const quorum = getQuorum(members);
	let granted = 1;
	if (granted >= quorum) {
		return true;
	}

	const enough = new Deferred<boolean>();
	const voters = peers.filter(({name}) => name !== self && members[name] !== undefined);
	const calls = voters.map(async peer => {
		const voterId = members[peer.name]!;
		const reply = await ask(peer, voterId);
		if (reply?.isGranted && reply.replicaId === voterId) {
			granted += 1;
		}

		if (granted >= quorum) {
			enough.resolve(true);
		}
	});
	const all = (async () => {
		await Promise.all(calls);
		return granted >= quorum;
	})();
	return Promise.race([enough.promise, all]);
}
