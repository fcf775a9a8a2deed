/** Bootstrap of a group: replicas learn the initial voters, called founders; the one whose name sorts first chooses them. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Members} from '@mulberrypitch/storage/types';
import type {IdentityReply} from './messages.js';
import type {ReplicaLog} from './replica-log.js';
import {retryDelayMs} from './replica-timing.js';
import type {Peer} from './types.js';

/** Dependencies of the search for the founders. */
export type FounderSearch = {
	readonly self: string;
	/** Whether this replica may bootstrap the group. */
	readonly canFound: boolean;
	readonly log: ReplicaLog;
	readonly clock: Clock;
	readonly getPeers: () => readonly Peer[];
	/** Requests the identity of a replica. Resolves with undefined if the call failed. */
	readonly ask: (peer: Peer) => Promise<IdentityReply | undefined>;
	/** Runs a change of the log after all changes queued before it. */
	readonly change: (run: () => Promise<void>) => Promise<void>;
};

/** Parameters of one round of identity calls. */
export type FoundingRound = {
	readonly self: string;
	readonly replicaId: string;
	readonly peers: readonly Peer[];
	/** Whether this replica may bootstrap the group if no other replica knows the founders. */
	readonly canFound: boolean;
	readonly ask: (peer: Peer) => Promise<IdentityReply | undefined>;
};

/**
Searches for the founders until they are known and stores them. Returns undefined if they were known before, if the log
failed, or if the signal aborts.

@example
```
const founders = await learnFounders({self: 'a', canFound: true, log, clock, getPeers, ask, change}, signal);
```
*/
export async function learnFounders({self, canFound, log, clock, getPeers, ask, change}: FounderSearch, signal: AbortSignal): Promise<Members | undefined> {
	while (!signal.aborted && log.hardState.founders === undefined && !log.hasFailed) {
		const founders = await findFounders({
			self, replicaId: log.hardState.replicaId, peers: getPeers(), canFound, ask,
		});
		if (founders === undefined) {
			await clock.sleep(retryDelayMs, signal);
			continue;
		}

		await change(async () => log.saveHardState({...log.hardState, founders}));
		return founders;
	}

	return undefined;
}

/**
Asks all other replicas for their identity and returns the founders that one of them knows. If none does, the replica
whose name sorts first among those that may bootstrap the group chooses the founders, but only if every replica replied
that it knows of none. Otherwise a host that lost its disk could bootstrap a second group while a replica that remembers the
first one is unreachable.

@example
```
const founders = await findFounders({self: 'a', replicaId, peers, canFound: true, ask});
```
*/
export async function findFounders({self, replicaId, peers, canFound, ask}: FoundingRound): Promise<Members | undefined> {
	const others = peers.filter(peer => peer.name !== self);
	const replies = await Promise.all(others.map(async peer => ask(peer)));
	const knownFounders = replies.find(reply => reply?.founders !== undefined)?.founders;
	if (knownFounders !== undefined) {
		return knownFounders;
	}

	const otherNames = others.filter((_, position) => replies[position]?.canFound === true).map(peer => peer.name);
	const [first] = [...otherNames, self].toSorted();
	if (!canFound || self !== first || replies.includes(undefined)) {
		return undefined;
	}

	const members: Record<string, string> = {[self]: replicaId};
	for (const [position, {name}] of others.entries()) {
		members[name] = replies[position]!.replicaId;
	}

	return members;
}
