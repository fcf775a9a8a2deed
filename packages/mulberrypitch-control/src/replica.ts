/**
 * One replica of the replicated log: elections, replication and commit.
 * One task runs the elections, one task a peer replicates while leading, and one queue orders all changes of the log.
 */
import PQueue from 'p-queue';
import {BackgroundTask, Deferred, Notification} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {getBetween, type Random} from '@mulberrypitch/lifecycle/random';
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import {
	assertInvariant, NotLeaderError, ProtocolError, TimeoutError,
} from '@mulberrypitch/errors/catalogue';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {
	HardState, LogEntry, LogStore,
} from '@mulberrypitch/storage/types';
import type {Transport} from '@mulberrypitch/transport/types';
import type {AccountRecord} from '@mulberrypitch/account/types';
import type {Command} from './commands.js';
import {
	appendRequestSchema, voteRequestSchema, type AppendReply, type AppendRequest, type VoteReply, type VoteRequest,
} from './messages.js';
import {
	roles, type Role, type CommandResult, type Peer, type StateMachine,
} from './types.js';

const electionTimeoutMs = 600;
const heartbeatMs = 100;
const callTimeoutMs = 500;
const retryDelayMs = 50;
const proposalTimeoutMs = 3000;
const maxEntriesPerCall = 512;
/** Share by which two monotonic clocks may drift apart. */
const clockDrift = 0.05;

/** What a replica is made of. */
export type ReplicaOptions = {
	readonly group: string;
	readonly name: string;
	/** All replicas of the group, this one included. */
	readonly peers: readonly Peer[];
	readonly store: LogStore;
	readonly transport: Transport;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly machine: StateMachine;
	/** Receives the account records of each applied entry, in order. */
	readonly onRecords: (records: readonly AccountRecord[]) => void;
};

type Proposal = {
	readonly command: Command;
	readonly done: Deferred<CommandResult>;
};

/** Replicates commands and applies them in order. */
export class Replica implements Resource {
	readonly #options: ReplicaOptions;
	readonly #resources = new DisposableStore();
	readonly #changes = new PQueue({concurrency: 1});
	readonly #appended = new Notification();
	readonly #committed = new Notification();
	readonly #proposals: Proposal[] = [];
	readonly #waiting = new Map<number, Deferred<CommandResult>>();
	readonly #contactAt = new Map<string, number>();
	readonly #matchIndex = new Map<string, number>();
	#hardState: HardState = {replicaId: '', term: 0};
	#entries: LogEntry[] = [];
	#baseIndex = 0;
	#baseTerm = 0;
	#commitIndex = 0;
	#appliedIndex = 0;
	#durableIndex = 0;
	#role: Role = roles.follower;
	#leader: string | undefined;
	#leaderContactAt = Number.NEGATIVE_INFINITY;
	#termStartIndex = 0;
	#lastTime = 0;
	#leading: BackgroundTask[] = [];

	constructor(options: ReplicaOptions) {
		this.#options = options;
	}

	get role(): Role {
		return this.#role;
	}

	get term(): number {
		return this.#hardState.term;
	}

	/** Name of the leader that this replica follows, itself included. */
	get leader(): string | undefined {
		return this.#leader;
	}

	get commitIndex(): number {
		return this.#commitIndex;
	}

	get appliedIndex(): number {
		return this.#appliedIndex;
	}

	get lastIndex(): number {
		return this.#entries.at(-1)?.index ?? this.#baseIndex;
	}

	/** Loads the stored log and begins to take part. */
	async start(): Promise<void> {
		const {store, machine, transport, group, clock} = this.#options;
		const stored = await store.load();
		this.#hardState = stored.hardState ?? {replicaId: this.#options.name, term: 0};
		if (stored.snapshot !== undefined) {
			machine.restore(stored.snapshot.state);
			this.#baseIndex = stored.snapshot.index;
			this.#baseTerm = stored.snapshot.term;
			this.#commitIndex = stored.snapshot.index;
			this.#appliedIndex = stored.snapshot.index;
			this.#lastTime = stored.snapshot.time;
		}

		this.#entries = [...stored.entries];
		this.#durableIndex = this.lastIndex;
		this.#leaderContactAt = clock.now();
		transport.handle(`${group}.vote`, voteRequestSchema, async request => this.#onVote(request));
		transport.handle(`${group}.append`, appendRequestSchema, async request => this.#onAppend(request));
		this.#resources.add(new BackgroundTask(async signal => this.#runElections(signal), this.#fail));
		this.#resources.add(new BackgroundTask(async signal => this.#runApply(signal), this.#fail));
	}

	/** Tells whether this replica leads and no other one can have been elected yet. */
	hasLease(): boolean {
		if (this.#role !== roles.leader || this.#appliedIndex < this.#termStartIndex) {
			return false;
		}

		const leaseMs = electionTimeoutMs * (1 - clockDrift);
		return this.#options.clock.now() < this.#getQuorumContact() + leaseMs;
	}

	/** Appends a command and resolves with its result once it is committed and applied here. */
	async propose(command: Command): Promise<CommandResult> {
		if (this.#role !== roles.leader) {
			throw new NotLeaderError(this.#leader);
		}

		const done = new Deferred<CommandResult>();
		this.#proposals.push({command, done});
		void this.#changes.add(async () => this.#appendProposals());
		return this.#withTimeout(done.promise);
	}

	async dispose(): Promise<void> {
		this.#stepDown(undefined);
		await this.#resources.dispose();
		await this.#changes.onIdle();
		await this.#options.store.dispose();
	}

	readonly #fail = (error: unknown): void => {
		this.#options.logger.log(events.taskFailed, {reason: getMessage(error)});
	};

	async #withTimeout(result: Promise<CommandResult>): Promise<CommandResult> {
		const controller = new AbortController();
		const timeout = (async () => {
			await this.#options.clock.sleep(proposalTimeoutMs, controller.signal);
			throw new TimeoutError('The control group', proposalTimeoutMs);
		})();
		timeout.catch(() => {
			// The race below reports the timeout when it comes first.
		});
		try {
			return await Promise.race([result, timeout]);
		} finally {
			controller.abort();
		}
	}

	get #quorum(): number {
		return Math.floor(this.#options.peers.length / 2) + 1;
	}

	get #others(): readonly Peer[] {
		return this.#options.peers.filter(peer => peer.name !== this.#options.name);
	}

	// Elections.

	async #runElections(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#options;
		while (!signal.aborted) {
			const timeoutMs = getBetween(random, electionTimeoutMs, 2 * electionTimeoutMs);
			await clock.sleep(Math.max(heartbeatMs, this.#leaderContactAt + timeoutMs - clock.now()), signal);
			if (signal.aborted) {
				return;
			}

			if (this.#role === roles.leader) {
				this.#checkQuorum();
			} else if (clock.now() - this.#leaderContactAt >= electionTimeoutMs) {
				await this.#campaign();
			}
		}
	}

	#checkQuorum(): void {
		this.#leaderContactAt = this.#getQuorumContact();
		if (this.#options.clock.now() - this.#leaderContactAt > 2 * electionTimeoutMs) {
			this.#stepDown(undefined);
		}
	}

	async #campaign(): Promise<void> {
		this.#leader = undefined;
		if (!await this.#collectVotes(this.term + 1, true)) {
			return;
		}

		const term = await this.#changes.add(async () => {
			await this.#saveHardState({...this.#hardState, term: this.term + 1, votedFor: this.#options.name});
			this.#role = roles.candidate;
			return this.term;
		});
		if (await this.#collectVotes(term, false) && this.term === term && this.#role === roles.candidate) {
			this.#lead();
		}
	}

	async #collectVotes(term: number, isProbe: boolean): Promise<boolean> {
		const request: VoteRequest = {
			group: this.#options.group,
			term,
			candidate: this.#options.name,
			lastIndex: this.lastIndex,
			lastTerm: this.#getTermAt(this.lastIndex)!,
			isProbe,
		};
		const enough = new Deferred<boolean>();
		let granted = 1;
		if (granted >= this.#quorum) {
			return true;
		}

		const calls = this.#others.map(async peer => {
			const reply = await this.#callPeer<VoteReply>(peer, 'vote', request);
			if (reply === undefined) {
				return;
			}

			if (reply.term > this.term) {
				await this.#adoptTerm(reply.term);
			}

			granted += reply.isGranted ? 1 : 0;
			if (granted >= this.#quorum) {
				enough.resolve(true);
			}
		});
		const all = (async () => {
			await Promise.all(calls);
			return granted >= this.#quorum;
		})();
		return Promise.race([enough.promise, all]);
	}

	async #onVote(request: VoteRequest): Promise<VoteReply> {
		this.#checkGroup(request.group);
		return this.#changes.add(async () => {
			const hasLeader = this.#role === roles.leader
				|| this.#options.clock.now() - this.#leaderContactAt < electionTimeoutMs;
			if (hasLeader || request.term < this.term || !this.#isUpToDate(request)) {
				return {term: this.term, isGranted: false};
			}

			if (request.isProbe) {
				return {term: this.term, isGranted: true};
			}

			if (request.term > this.term) {
				this.#stepDown(undefined);
				await this.#saveHardState({replicaId: this.#hardState.replicaId, term: request.term});
			}

			const {votedFor} = this.#hardState;
			if (votedFor !== undefined && votedFor !== request.candidate) {
				return {term: this.term, isGranted: false};
			}

			await this.#saveHardState({...this.#hardState, votedFor: request.candidate});
			return {term: this.term, isGranted: true};
		});
	}

	#isUpToDate(request: VoteRequest): boolean {
		const lastTerm = this.#getTermAt(this.lastIndex)!;
		return request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= this.lastIndex);
	}

	async #adoptTerm(term: number): Promise<void> {
		await this.#changes.add(async () => {
			if (term > this.term) {
				this.#stepDown(undefined);
				await this.#saveHardState({replicaId: this.#hardState.replicaId, term});
			}
		});
	}

	async #saveHardState(state: HardState): Promise<void> {
		assertInvariant(state.term >= this.term, 'A term must not decrease.');
		await this.#options.store.saveHardState(state);
		this.#hardState = state;
	}

	// Leading.

	#lead(): void {
		this.#role = roles.leader;
		this.#leader = this.#options.name;
		this.#termStartIndex = Number.POSITIVE_INFINITY;
		this.#options.logger.log(events.leaderElected, {term: this.term, leader: this.#options.name});
		this.#matchIndex.clear();
		this.#contactAt.clear();
		this.#proposals.unshift({command: {kind: 'leaderStarted', leader: this.#options.name}, done: new Deferred()});
		const {term} = this;
		void this.#changes.add(async () => {
			if (this.#isLeading(term)) {
				this.#termStartIndex = this.lastIndex + 1;
				await this.#appendProposals();
			}
		});
		for (const peer of this.#others) {
			this.#leading.push(new BackgroundTask(async signal => this.#replicateTo(peer, term, signal), this.#fail));
		}
	}

	#stepDown(leader: string | undefined): void {
		const wasLeader = this.#role === roles.leader;
		this.#role = roles.follower;
		this.#leader = leader;
		for (const task of this.#leading) {
			task.abort();
		}

		this.#leading = [];
		if (!wasLeader) {
			return;
		}

		this.#leaderContactAt = this.#options.clock.now();
		this.#options.logger.log(events.leaderStepped, {term: this.term});
		for (const {done} of this.#proposals.splice(0)) {
			done.reject(new NotLeaderError(leader));
		}

		// Entries already appended may still commit, so their proposers learn nothing certain here.
		for (const [, done] of this.#waiting) {
			done.reject(new TimeoutError('The control group', 0));
		}

		this.#waiting.clear();
	}

	#isLeading(term: number): boolean {
		return this.#role === roles.leader && this.term === term;
	}

	/** Appends all proposals that wait, with one write and one sync. */
	async #appendProposals(): Promise<void> {
		if (this.#role !== roles.leader || this.#proposals.length === 0) {
			return;
		}

		const proposals = this.#proposals.splice(0);
		this.#lastTime = Math.max(this.#lastTime, this.#options.clock.wallTime());
		const first = this.lastIndex + 1;
		const entries = proposals.map(({command}, position) => ({
			index: first + position, term: this.term, time: this.#lastTime, command,
		}));
		this.#entries.push(...entries);
		for (const [position, {done}] of proposals.entries()) {
			done.promise.catch(() => {
				// The proposer sees the failure; the entry of a new leader has none.
			});
			this.#waiting.set(first + position, done);
		}

		// Followers store the entries while this replica syncs its own copy.
		this.#appended.notify();
		await this.#appendDurably(entries);
		this.#advanceCommit();
	}

	async #appendDurably(entries: readonly LogEntry[]): Promise<void> {
		try {
			await this.#options.store.append(entries);
		} catch (error) {
			this.#options.logger.log(events.storageFailed, {reason: getMessage(error)});
			this.#stepDown(undefined);
			throw error;
		}

		this.#durableIndex = entries.at(-1)?.index ?? this.#durableIndex;
	}

	async #replicateTo(peer: Peer, term: number, signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		let next = this.lastIndex + 1;
		while (!signal.aborted && this.#isLeading(term)) {
			const sentAt = clock.now();
			const reply = await this.#callPeer<AppendReply>(peer, 'append', this.#createAppend(next, term));
			if (signal.aborted || !this.#isLeading(term)) {
				return;
			}

			if (reply === undefined) {
				await clock.sleep(retryDelayMs, signal);
				continue;
			}

			if (reply.term > term) {
				await this.#adoptTerm(reply.term);
				return;
			}

			this.#contactAt.set(peer.name, sentAt);
			if (!reply.isMatching) {
				next = Math.max(this.#baseIndex + 1, Math.min(next - 1, reply.index + 1));
				continue;
			}

			this.#matchIndex.set(peer.name, reply.index);
			next = reply.index + 1;
			this.#advanceCommit();
			if (next > this.lastIndex) {
				await this.#waitForEntries(signal);
			}
		}
	}

	async #waitForEntries(signal: AbortSignal): Promise<void> {
		const waiting = new AbortController();
		const stop = () => {
			waiting.abort();
		};

		signal.addEventListener('abort', stop, {once: true});
		await Promise.race([this.#appended.wait(waiting.signal), this.#options.clock.sleep(heartbeatMs, waiting.signal)]);
		stop();
		signal.removeEventListener('abort', stop);
	}

	#createAppend(next: number, term: number): AppendRequest {
		const previousIndex = next - 1;
		const offset = next - this.#baseIndex - 1;
		return {
			group: this.#options.group,
			term,
			leader: this.#options.name,
			previousIndex,
			previousTerm: this.#getTermAt(previousIndex)!,
			entries: this.#entries.slice(offset, offset + maxEntriesPerCall),
			commitIndex: this.#commitIndex,
		};
	}

	#advanceCommit(): void {
		if (this.#role !== roles.leader) {
			return;
		}

		const matches = this.#options.peers.map(peer => peer.name === this.#options.name ? this.#durableIndex : this.#matchIndex.get(peer.name) ?? 0);
		const index = matches.toSorted((left, right) => right - left)[this.#quorum - 1]!;
		if (index > this.#commitIndex && this.#getTermAt(index) === this.term) {
			this.#commitIndex = index;
			this.#committed.notify();
		}
	}

	/** Gives the latest time at which a quorum was known to follow this leader. */
	#getQuorumContact(): number {
		const contacts = this.#options.peers.map(peer => peer.name === this.#options.name ? this.#options.clock.now() : this.#contactAt.get(peer.name) ?? Number.NEGATIVE_INFINITY);
		return contacts.toSorted((left, right) => right - left)[this.#quorum - 1]!;
	}

	// Following.

	async #onAppend(request: AppendRequest): Promise<AppendReply> {
		this.#checkGroup(request.group);
		return this.#changes.add(async () => {
			if (request.term < this.term) {
				return {term: this.term, isMatching: false, index: 0};
			}

			await this.#follow(request);
			const previousTerm = this.#getTermAt(request.previousIndex);
			if (previousTerm !== request.previousTerm) {
				return {term: this.term, isMatching: false, index: this.#getLookBackIndex(request.previousIndex)};
			}

			await this.#storeEntries(request.entries);
			const index = request.previousIndex + request.entries.length;
			this.#followCommit(Math.min(request.commitIndex, index));
			return {term: this.term, isMatching: true, index};
		});
	}

	async #follow(request: AppendRequest): Promise<void> {
		if (request.term > this.term) {
			this.#stepDown(request.leader);
			await this.#saveHardState({replicaId: this.#hardState.replicaId, term: request.term});
		}

		assertInvariant(this.#role !== roles.leader, `Term ${request.term} has two leaders.`);
		this.#role = roles.follower;
		this.#leader = request.leader;
		this.#leaderContactAt = this.#options.clock.now();
	}

	#getLookBackIndex(previousIndex: number): number {
		const previousTerm = this.#getTermAt(previousIndex);
		if (previousTerm === undefined) {
			return previousIndex > this.lastIndex ? this.lastIndex : this.#baseIndex;
		}

		let index = previousIndex - 1;
		while (index > this.#baseIndex && this.#getTermAt(index) === previousTerm) {
			index -= 1;
		}

		return index;
	}

	async #storeEntries(entries: readonly LogEntry[]): Promise<void> {
		const firstNew = entries.findIndex(entry => this.#getTermAt(entry.index) !== entry.term && entry.index > this.#baseIndex);
		if (firstNew === -1) {
			return;
		}

		const fresh = entries.slice(firstNew);
		const {index} = fresh[0]!;
		if (index <= this.lastIndex) {
			assertInvariant(index > this.#commitIndex, `Committed entry ${index} would be replaced.`);
			await this.#options.store.truncate(index);
			this.#entries.length = index - this.#baseIndex - 1;
		}

		await this.#appendDurably(fresh);
		this.#entries.push(...fresh);
	}

	#followCommit(index: number): void {
		if (index > this.#commitIndex) {
			this.#commitIndex = index;
			this.#committed.notify();
		}
	}

	// Applying.

	async #runApply(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			while (this.#appliedIndex < this.#commitIndex) {
				this.#applyNext();
			}

			await this.#committed.wait(signal);
		}
	}

	#applyNext(): void {
		const entry = this.#entries[this.#appliedIndex - this.#baseIndex]!;
		assertInvariant(entry.index === this.#appliedIndex + 1, 'Entries must be applied in order.');
		const {result, records} = this.#options.machine.apply(entry);
		this.#appliedIndex = entry.index;
		this.#lastTime = Math.max(this.#lastTime, entry.time);
		if (records.length > 0) {
			this.#options.onRecords(records);
		}

		this.#waiting.get(entry.index)?.resolve(result);
		this.#waiting.delete(entry.index);
	}

	#getTermAt(index: number): number | undefined {
		return index === this.#baseIndex ? this.#baseTerm : this.#entries[index - this.#baseIndex - 1]?.term;
	}

	#checkGroup(group: string): void {
		if (group !== this.#options.group) {
			throw new ProtocolError(`Group ${group} is not served here.`);
		}
	}

	async #callPeer<Reply>(peer: Peer, method: string, parameters: unknown): Promise<Reply | undefined> {
		const {transport, group} = this.#options;
		try {
			return await transport.call<Reply>(peer.address, `${group}.${method}`, parameters, {timeoutMs: callTimeoutMs});
		} catch (error) {
			if (error instanceof CodedError) {
				return undefined;
			}

			throw error;
		}
	}
}
