/** One term of a leader: proposals, one replication task per peer, the commit index and membership changes. */
import {abortReason} from '@mulberrypitch/lifecycle/abort-reason';
import {NotLeaderError, TimeoutError} from '@mulberrypitch/errors/catalogue';
import {BackgroundTask, Deferred, Notification} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {
	AppendReply, AppendRequest, SnapshotReply, SnapshotRequest,
} from './messages.js';
import type {MemberChange, ReplicaLog} from './replica-log.js';
import {ReplicaProgress} from './replica-progress.js';
import {SnapshotSource} from './replica-snapshot.js';
import {getLeaseMs, retryDelayMs, type ReplicaTiming} from './replica-timing.js';
import {VoterChanges, type VoterChange} from './replica-voters.js';
import type {CommandResult, Peer, ProposedCommand} from './types.js';

/** Dependencies of a leader, provided by its replica. */
export type LeaderOptions = {
	readonly group: string;
	readonly name: string;
	readonly term: number;
	/** Returns all replicas except this one, including those that ask to join. */
	readonly getOthers: () => readonly Peer[];
	/** Whether voters may be removed. Removing one of an even number leaves the number of tolerated failures unchanged. */
	readonly hasDynamicMembership: boolean;
	readonly log: ReplicaLog;
	readonly clock: Clock;
	readonly timing: ReplicaTiming;
	readonly logger: Logger;
	/** Queues a change of the log, to run after all changes queued before it. */
	readonly enqueue: (change: () => Promise<void>) => void;
	readonly appendTo: (peer: Peer, request: AppendRequest) => Promise<AppendReply | undefined>;
	readonly sendSnapshotTo: (peer: Peer, request: SnapshotRequest) => Promise<SnapshotReply | undefined>;
	readonly getCommitIndex: () => number;
	readonly onCommit: (index: number) => void;
	readonly onHigherTerm: (term: number) => void;
	readonly onFailure: (error: unknown) => void;
};

type Proposal = {
	readonly command: ProposedCommand | MemberChange;
	readonly done: Deferred<CommandResult>;
};

/** Leads the group in one term, from the election until `stop`. */
export class Leader {
	readonly #options: LeaderOptions;
	readonly #progress = new ReplicaProgress();
	readonly #appended = new Notification();
	readonly #pendingResults = new Map<number, Deferred<CommandResult>>();
	readonly #startedAt: number;
	readonly #voters: VoterChanges;
	readonly #contacted = new Notification();
	readonly #tasks = new Map<string, BackgroundTask>();
	#proposals: Proposal[] = [];
	#confirmationAskedAt = Number.NEGATIVE_INFINITY;
	#termStartIndex = Number.POSITIVE_INFINITY;
	#isActive = true;

	constructor(options: LeaderOptions) {
		this.#options = options;
		this.#startedAt = options.clock.now();
		const {log, clock, getCommitIndex} = options;
		this.#voters = new VoterChanges({
			log, clock, progress: this.#progress, startedAt: this.#startedAt, getCommitIndex, getTermStartIndex: () => this.#termStartIndex,
		});
	}

	/** Index of the first entry of this term, or infinity until that entry is appended. */
	get termStartIndex(): number {
		return this.#termStartIndex;
	}

	/** Appends the first entry of the term and starts replication. */
	start(): void {
		const {name, enqueue, log} = this.#options;
		this.#proposals.unshift(createProposal({kind: 'leaderStarted', leader: name}));
		enqueue(async () => {
			this.#termStartIndex = log.lastIndex + 1;
			await this.#appendProposals();
		});
		this.refreshPeers();
	}

	/** Starts replication to replicas that are new in the list of peers and stops it for those that are no longer listed. */
	refreshPeers(): void {
		const {getOthers, onFailure} = this.#options;
		const others = getOthers();
		for (const peer of others) {
			if (!this.#tasks.has(peer.name)) {
				this.#tasks.set(peer.name, new BackgroundTask(async signal => this.#replicateTo(peer, signal), onFailure));
			}
		}

		for (const [name, task] of this.#tasks) {
			if (!others.some(peer => peer.name === name)) {
				task.abort();
				this.#tasks.delete(name);
			}
		}
	}

	/** Reports whether, within the timeout, a quorum acknowledges calls that this leader sends after the call of this method. */
	async confirm(timeoutMs: number): Promise<boolean> {
		const {clock} = this.#options;
		const askedAt = clock.now();
		this.#confirmationAskedAt = askedAt;
		this.#appended.notify();
		const timeoutController = new AbortController();
		void this.#abortAfter(timeoutController, timeoutMs);
		while (this.#isActive && !timeoutController.signal.aborted && this.#getQuorumContact() < askedAt) {
			await this.#contacted.wait(timeoutController.signal);
		}

		const isConfirmed = this.#isActive && this.#getQuorumContact() >= askedAt;
		timeoutController.abort(abortReason);
		return isConfirmed;
	}

	/** Removes a voter that has stopped replying from a group with an even number of voters. */
	removeSilentVoter(): void {
		if (this.#options.hasDynamicMembership) {
			this.#changeVoters(() => this.#voters.findRemoval());
		}
	}

	/** Stops leading. Entries that are already appended may still commit, so their proposals fail with a timeout. */
	stop(nextLeader: string | undefined): void {
		this.#isActive = false;
		this.#contacted.notify();
		for (const task of this.#tasks.values()) {
			task.abort();
		}

		for (const {done} of this.#proposals) {
			done.reject(new NotLeaderError(nextLeader));
		}

		for (const done of this.#pendingResults.values()) {
			done.reject(new TimeoutError('The control group', 0));
		}

		this.#proposals = [];
		this.#pendingResults.clear();
	}

	/** Appends a command and returns its result once it is applied on this replica. */
	async propose(command: ProposedCommand): Promise<CommandResult> {
		const proposal = createProposal(command);
		this.#proposals.push(proposal);
		this.#options.enqueue(async () => this.#appendProposals());
		return proposal.done.promise;
	}

	/** Resolves the proposal of an applied entry with its result. */
	finish(index: number, result: CommandResult): void {
		this.#pendingResults.get(index)?.resolve(result);
		this.#pendingResults.delete(index);
	}

	/** Reports whether the lease is valid, that is, no other leader can have been elected yet. */
	hasLease(): boolean {
		return this.#options.clock.now() < this.#getQuorumContact() + getLeaseMs(this.#options.timing);
	}

	/** Returns the time of the last contact with a quorum, or the start of the term if it is later, so that first calls have time. */
	getLastContact(): number {
		return Math.max(this.#startedAt, this.#getQuorumContact());
	}

	async #abortAfter(controller: AbortController, delayMs: number): Promise<void> {
		await this.#options.clock.sleep(delayMs, controller.signal);
		controller.abort(abortReason);
	}

	#getQuorumContact(): number {
		const {log, clock} = this.#options;
		return this.#progress.getQuorumContact(log.members, log.hardState.replicaId, clock.now());
	}

	/** Appends all pending proposals with one write and one sync. */
	async #appendProposals(): Promise<void> {
		if (!this.#isActive || this.#proposals.length === 0) {
			return;
		}

		const {log, clock, term} = this.#options;
		const proposals = this.#proposals;
		this.#proposals = [];
		const time = Math.max(log.lastTime, clock.wallTime());
		const firstIndex = log.lastIndex + 1;
		const entries = proposals.map(({command}, position) => ({
			index: firstIndex + position, term, time, command,
		}));
		for (const [position, {done}] of proposals.entries()) {
			this.#pendingResults.set(firstIndex + position, done);
		}

		// Followers store the entries while this replica syncs its own copy.
		const stored = log.append(entries);
		this.#appended.notify();
		await stored;
		this.#advanceCommit();
	}

	async #replicateTo(peer: Peer, signal: AbortSignal): Promise<void> {
		const {clock, log, term, onHigherTerm, appendTo} = this.#options;
		let next = log.lastIndex + 1;
		while (!signal.aborted) {
			if (next <= log.baseIndex) {
				next = await this.#sendSnapshot(peer, signal);
				continue;
			}

			const sentAt = clock.now();
			const reply = await appendTo(peer, this.#createAppend(next));
			if (signal.aborted) {
				return;
			}

			if (reply === undefined) {
				await clock.sleep(retryDelayMs, signal);
				continue;
			}

			if (reply.term > term) {
				onHigherTerm(reply.term);
				return;
			}

			this.#recordContact(reply.replicaId, sentAt);
			if (!reply.isMatching) {
				next = Math.min(next - 1, reply.index + 1);
				continue;
			}

			next = reply.index + 1;
			this.#progress.recordMatch(reply.replicaId, reply.index);
			this.#advanceCommit();
			this.#changeVoters(() => this.#voters.findAddition(peer.name, reply.replicaId));
			if (next > log.lastIndex && sentAt >= this.#confirmationAskedAt) {
				await this.#waitForEntries(signal);
			}
		}
	}

	#recordContact(replicaId: string, sentAt: number): void {
		this.#progress.recordContact(replicaId, sentAt);
		this.#contacted.notify();
	}

	async #waitForEntries(signal: AbortSignal): Promise<void> {
		const waiting = new AbortController();
		const stop = () => {
			waiting.abort(abortReason);
		};

		signal.addEventListener('abort', stop, {once: true});
		await Promise.race([this.#appended.wait(waiting.signal), this.#options.clock.sleep(this.#options.timing.heartbeatMs, waiting.signal)]);
		stop();
		signal.removeEventListener('abort', stop);
	}

	#createAppend(next: number): AppendRequest {
		const {group, term, name, log, getCommitIndex} = this.#options;
		return {
			group,
			term,
			leader: name,
			previousIndex: next - 1,
			previousTerm: log.getTermAt(next - 1)!,
			entries: [...log.getBatch(next)],
			commitIndex: getCommitIndex(),
		};
	}

	/** Sends the snapshot in parts until it is installed, and returns the index of the next entry to send. */
	async #sendSnapshot(peer: Peer, signal: AbortSignal): Promise<number> {
		const {
			clock, log, term, group, name, onHigherTerm, sendSnapshotTo,
		} = this.#options;
		const source = new SnapshotSource(log.snapshot!);
		let offset = 0;
		while (!signal.aborted) {
			const sentAt = clock.now();
			const reply = await sendSnapshotTo(peer, source.createRequest(offset, {group, term, leader: name}));
			if (signal.aborted) {
				break;
			}

			if (reply === undefined) {
				await clock.sleep(retryDelayMs, signal);
				continue;
			}

			if (reply.term > term) {
				onHigherTerm(reply.term);
				break;
			}

			this.#recordContact(reply.replicaId, sentAt);
			if (reply.isInstalled) {
				break;
			}

			if (reply.offset === offset) {
				await clock.sleep(retryDelayMs, signal);
			}

			offset = reply.offset;
		}

		return source.snapshot.index + 1;
	}

	#advanceCommit(): void {
		const {log, term, getCommitIndex, onCommit} = this.#options;
		if (!this.#isActive) {
			return;
		}

		const index = this.#progress.getQuorumMatch(log.members, log.hardState.replicaId, log.durableIndex);
		if (index > getCommitIndex() && log.getTermAt(index) === term) {
			onCommit(index);
		}
	}

	/** Appends a membership change, if there still is one when the changes of the log queued before are done. */
	#changeVoters(findChange: () => VoterChange | undefined): void {
		const {enqueue, logger} = this.#options;
		if (!this.#isActive || findChange() === undefined) {
			return;
		}

		enqueue(async () => {
			const change = this.#isActive ? findChange() : undefined;
			if (change === undefined) {
				return;
			}

			logger.log(events.membersChanged, {node: change.node, voters: Object.keys(change.members).join(' ')});
			this.#proposals.push(createProposal({kind: 'changeMembers', members: change.members}));
			await this.#appendProposals();
		});
	}
}

function createProposal(command: ProposedCommand | MemberChange): Proposal {
	const done = new Deferred<CommandResult>();
	done.promise.catch(() => {
		// The proposer handles the rejection. Entries that the leader appends itself have no proposer.
	});
	return {command, done};
}
