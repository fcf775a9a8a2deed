/** Elections of one replica: when it becomes a candidate and which candidates it votes for. */
import {StorageError} from '@mulberrypitch/errors/catalogue';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {getRandomBetween, type Random} from '@mulberrypitch/lifecycle/random';
import type {Members} from '@mulberrypitch/storage/types';
import type {VoteReply, VoteRequest} from './messages.js';
import type {ReplicaLog} from './replica-log.js';
import type {ReplicaTiming} from './replica-timing.js';
import type {Peer} from './types.js';

/** Dependencies of the elections of a replica. */
export type ElectionsOptions = {
	readonly group: string;
	readonly name: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly timing: ReplicaTiming;
	readonly log: ReplicaLog;
	readonly getPeers: () => readonly Peer[];
	/** Sends a vote request. Resolves with undefined if it failed. */
	readonly askForVote: (peer: Peer, request: VoteRequest) => Promise<VoteReply | undefined>;
	/** Runs a change of the log after all changes queued before it. */
	readonly change: <Result>(run: () => Promise<Result>) => Promise<Result>;
	readonly isLeading: () => boolean;
	/** Called before a higher term is stored, so that a leader stops leading. */
	readonly onStepDown: () => void;
	/** Called before the probe that precedes an election. */
	readonly onLeaderLost: () => void;
	/** Called when this replica becomes a candidate. */
	readonly onCandidacy: () => void;
	/** Reports whether this replica is still a candidate in a term. */
	readonly isCandidate: (term: number) => boolean;
	/** Called when a quorum has voted for this replica in a term. */
	readonly onElected: (term: number) => void;
	/** Called once per heartbeat interval while this replica leads. */
	readonly checkLeadership: () => void;
};

/** Range over which replicas that have just started spread their first elections, in a group without leader leases. */
const firstCandidacySpreadMs = 100;

/** Tracks the last contact with a leader and starts an election when a random election timeout has passed since then. */
export class Elections {
	readonly #options: ElectionsOptions;
	#leaderContactAt = Number.NEGATIVE_INFINITY;
	/** Campaigns, each a probe and possibly an election, since the last contact with a leader. */
	#campaignsSinceContact = 0;

	constructor(options: ElectionsOptions) {
		this.#options = options;
	}

	/** Whether a leader made contact within the last election timeout. */
	get hasLeaderContact(): boolean {
		const {clock, timing} = this.#options;
		return clock.now() - this.#leaderContactAt < timing.electionTimeoutMs;
	}

	/** Records contact with a leader. */
	recordLeaderContact(): void {
		this.#campaignsSinceContact = 0;
		this.#leaderContactAt = this.#options.clock.now();
	}

	/** Makes this replica grant no vote for an election timeout if leaders rely on leases, since one may still have a valid lease. */
	withholdVotes(): void {
		const {clock, timing} = this.#options;
		if (timing.reliesOnLeases) {
			this.#leaderContactAt = clock.now();
		}
	}

	/** Starts elections, or checks the leadership while this replica leads, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, isLeading, checkLeadership} = this.#options;
		while (!signal.aborted) {
			await clock.sleep(this.#getDelayMs(), signal);
			if (signal.aborted) {
				return;
			}

			if (isLeading()) {
				checkLeadership();
			} else if (this.#mayCampaign()) {
				await this.#tryCampaign();
			}
		}
	}

	/** Answers a vote request, after all changes of the log queued before it. */
	async vote(request: VoteRequest): Promise<VoteReply> {
		const {log, change} = this.#options;
		return change(async () => {
			const isGranted = await this.#grantVote(request);
			const {term, replicaId} = log.hardState;
			return {term, isGranted, replicaId};
		});
	}

	/** Steps down and stores a term that another replica reported, if it is higher than the current one. */
	async saveHigherTerm(term: number): Promise<void> {
		const {log, onStepDown} = this.#options;
		if (term > log.hardState.term) {
			onStepDown();
			await log.saveTerm(term);
		}
	}

	/** Returns the delay until the next check. It is random unless this replica leads, so that candidates seldom split the votes. */
	#getDelayMs(): number {
		const {clock, random, timing, isLeading} = this.#options;
		const {electionTimeoutMs, heartbeatMs} = timing;
		if (isLeading()) {
			return heartbeatMs;
		}

		if (!this.hasLeaderContact) {
			return timing.reliesOnLeases ? getRandomBetween(random, heartbeatMs, electionTimeoutMs) : getRandomBetween(random, 0, this.#getCandidacySpreadMs());
		}

		return this.#leaderContactAt + getRandomBetween(random, electionTimeoutMs, 2 * electionTimeoutMs) - clock.now();
	}

	/** Returns the range of the random delay. It is small for a fast first election and doubles with each campaign. */
	#getCandidacySpreadMs(): number {
		return Math.min(this.#options.timing.electionTimeoutMs, firstCandidacySpreadMs * (2 ** this.#campaignsSinceContact));
	}

	#mayCampaign(): boolean {
		const {log, name} = this.#options;
		const isListed = log.members[name] === log.hardState.replicaId;
		return isListed && !log.hasFailed && log.writingMs === 0 && !this.hasLeaderContact;
	}

	async #tryCampaign(): Promise<void> {
		try {
			await this.#campaign();
		} catch (error) {
			if (!(error instanceof StorageError)) {
				throw error;
			}
		}
	}

	async #campaign(): Promise<void> {
		const {log, name, change, onLeaderLost, onCandidacy, isCandidate, onElected} = this.#options;
		onLeaderLost();
		this.#campaignsSinceContact += 1;
		if (!await this.#collectVotes(log.hardState.term + 1, true)) {
			return;
		}

		const term = await change(async () => {
			// A leader may have made contact since the probe, and this replica must not campaign against its lease.
			if (!this.#mayCampaign()) {
				return undefined;
			}

			await log.saveHardState({...log.hardState, term: log.hardState.term + 1, votedFor: name});
			onCandidacy();
			return log.hardState.term;
		});
		if (term !== undefined && await this.#collectVotes(term, false) && isCandidate(term)) {
			onElected(term);
		}
	}

	async #collectVotes(term: number, isProbe: boolean): Promise<boolean> {
		const {group, name, log, getPeers, askForVote, change} = this.#options;
		const {members, lastIndex, lastTerm} = log;
		return collectVotes({
			self: name,
			members,
			peers: getPeers(),
			async ask(peer, voterId) {
				return askForVote(peer, {
					group, term, candidate: name, voterId, lastIndex, lastTerm, isProbe,
				});
			},
			onHigherTerm: async higher => change(async () => this.saveHigherTerm(higher)),
			getTerm: () => log.hardState.term,
		});
	}

	async #grantVote(request: VoteRequest): Promise<boolean> {
		const {log} = this.#options;
		if (!this.#canVoteFor(request)) {
			return false;
		}

		if (request.isProbe) {
			return true;
		}

		await this.saveHigherTerm(request.term);
		const {votedFor} = log.hardState;
		if (votedFor !== undefined && votedFor !== request.candidate) {
			return false;
		}

		await log.saveHardState({...log.hardState, votedFor: request.candidate});
		return true;
	}

	#canVoteFor({term, voterId, lastIndex, lastTerm}: VoteRequest): boolean {
		const {log, isLeading} = this.#options;
		const isUpToDate = lastTerm > log.lastTerm || (lastTerm === log.lastTerm && lastIndex >= log.lastIndex);
		return voterId === log.hardState.replicaId
			&& log.hardState.founders !== undefined
			&& !isLeading()
			&& !this.hasLeaderContact
			&& !log.hasFailed
			&& term >= log.hardState.term
			&& isUpToDate;
	}
}

/**
Returns how many of the voters form a quorum.

@example
```
const quorum = getQuorum(5);
```
*/
export function getQuorum(voters: number): number {
	return Math.floor(voters / 2) + 1;
}

/** Parameters of one round of votes. */
export type VoteRound = {
	readonly self: string;
	readonly members: Members;
	readonly peers: readonly Peer[];
	readonly ask: (peer: Peer, voterId: string) => Promise<VoteReply | undefined>;
	/** Returns the current term of this replica. */
	readonly getTerm: () => number;
	readonly onHigherTerm: (term: number) => Promise<void>;
};

/**
Requests votes from all other voters and reports whether a quorum granted theirs. A vote counts only if it comes from
the replica id that the log lists, because a host that lost its disk returns with another id.

@example
```
const isElected = await collectVotes({self: 'a', members, peers, ask, getTerm, onHigherTerm});
```
*/
export async function collectVotes({self, members, peers, ask, getTerm, onHigherTerm}: VoteRound): Promise<boolean> {
	const quorum = getQuorum(Object.keys(members).length);
	let granted = 1;
	if (granted >= quorum) {
		return true;
	}

	const quorumReached = new Deferred<boolean>();
	const voters = peers.filter(({name}) => name !== self && members[name] !== undefined);
	const calls = voters.map(async peer => {
		const voterId = members[peer.name]!;
		const reply = await ask(peer, voterId);
		if (reply !== undefined && reply.term > getTerm()) {
			await onHigherTerm(reply.term);
		}

		if (reply?.isGranted && reply.replicaId === voterId) {
			granted += 1;
		}

		if (granted >= quorum) {
			quorumReached.resolve(true);
		}
	});
	const allReplied = (async () => {
		await Promise.all(calls);
		return granted >= quorum;
	})();
	return Promise.race([quorumReached.promise, allReplied]);
}
