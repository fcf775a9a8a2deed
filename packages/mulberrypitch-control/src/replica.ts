/**
 * One replica of the replicated log. One task runs elections and one applies committed entries. While the replica leads,
 * one task per peer replicates to it. A queue runs all changes of the log one at a time.
 */
import {withTimeout} from '@mulberrypitch/lifecycle/with-timeout';
import PQueue from 'p-queue';
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import type {Random} from '@mulberrypitch/lifecycle/random';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {
	assertInvariant, NotLeaderError, StorageError, TimeoutError,
} from '@mulberrypitch/errors/catalogue';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {LogStore} from '@mulberrypitch/storage/types';
import type {Transport} from '@mulberrypitch/transport/types';
import {Applier} from './replica-applier.js';
import {ReplicaCalls} from './replica-calls.js';
import {Elections} from './replica-elections.js';
import {Follower} from './replica-follower.js';
import {learnFounders} from './replica-founding.js';
import {Leader} from './replica-leader.js';
import {ReplicaLog} from './replica-log.js';
import {registerReplicaMethods} from './replica-methods.js';
import {PeerDirectory} from './replica-peers.js';
import type {RecordStore} from './replica-snapshot.js';
import {SnapshotKeeper} from './replica-snapshot-keeper.js';
import type {ReplicaOptions} from './replica-options.js';
import {defaultTiming, type ReplicaTiming} from './replica-timing.js';
import {
	roles, type Role, type CommandResult, type Peer, type ProposedCommand, type StateMachine,
} from './types.js';

const proposalTimeoutMs = 3000;
const defaultSnapshotIntervalEntries = 4096;

/** Takes part in elections and replication, and applies committed commands in log order. */
export class Replica implements Resource {
	readonly #options: ReplicaOptions;
	readonly #resources = new DisposableStore();
	readonly #changes = new PQueue({concurrency: 1});
	readonly #log: ReplicaLog;
	readonly #timing: ReplicaTiming;
	readonly #peers: PeerDirectory;
	readonly #calls: ReplicaCalls;
	readonly #applier: Applier;
	readonly #elections: Elections;
	readonly #snapshots: SnapshotKeeper;
	readonly #follower: Follower;
	#role: Role = roles.follower;
	#leader: string | undefined;
	#leadership: Leader | undefined;
	/** Monotonic time in milliseconds at which this replica last had all entries that its leader reported as committed. */
	#caughtUpAt = Number.NEGATIVE_INFINITY;

	constructor(options: ReplicaOptions) {
		this.#options = options;
		this.#timing = options.timing ?? defaultTiming;
		this.#peers = new PeerDirectory(options);
		this.#calls = new ReplicaCalls(options.group, options.transport);
		this.#log = new ReplicaLog(options.store, options.clock, error => {
			options.logger.log(events.storageFailed, {reason: getMessage(error)});
			this.#stepDown(undefined);
		});
		this.#applier = this.#createApplier();
		this.#elections = this.#createElections();
		this.#snapshots = this.#createSnapshotKeeper();
		this.#follower = this.#createFollower();
	}

	get role(): Role {
		return this.#role;
	}

	get term(): number {
		return this.#log.hardState.term;
	}

	/** Id of this replica, generated at the first start on an empty disk. */
	get replicaId(): string {
		return this.#log.hardState.replicaId;
	}

	/** Name of the leader that this replica follows, which may be itself, or undefined if it knows none. */
	get leader(): string | undefined {
		return this.#leader;
	}

	get commitIndex(): number {
		return this.#applier.commitIndex;
	}

	get appliedIndex(): number {
		return this.#applier.appliedIndex;
	}

	get lastIndex(): number {
		return this.#log.lastIndex;
	}

	/** Whether the store failed a write. Memory and disk may then differ, so the process has to be restarted. */
	get hasStorageFailed(): boolean {
		return this.#log.hasFailed;
	}

	/** Reports whether this replica is a voter according to the entries that it knows to be committed. */
	get isVoter(): boolean {
		return this.#log.getMembersAt(this.commitIndex)[this.#options.name] === this.replicaId;
	}

	/** Loads the stored log, registers the group's methods and starts the tasks of the replica. */
	async start(): Promise<void> {
		const {
			machine, transport, group, account, canFound = true,
		} = this.#options;
		await this.#log.load();
		const {snapshot} = this.#log;
		if (snapshot !== undefined) {
			machine.restore(snapshot.state);
			this.#applier.startAfter(snapshot.index);
		}

		// This replica may have followed a leader just before it stopped, and that leader may still rely on its lease.
		this.#elections.withholdVotes();

		registerReplicaMethods({
			group, transport, log: this.#log, account, elections: this.#elections, follower: this.#follower, canFound,
		});
		this.#runTask(async signal => this.#runFounding(signal));
		this.#runTask(async signal => this.#elections.run(signal));
		this.#runTask(async signal => this.#applier.run(signal));
	}

	/** Treats a replica that asks to join as a peer for a few seconds. The leader makes it a voter once it has caught up. */
	admit(name: string): void {
		this.#peers.admit(name);
		this.#leadership?.refreshPeers();
	}

	/** Reports whether a leader made contact within the last election timeout. On the leader, whether its lease is valid. */
	isInTouch(): boolean {
		return this.#leadership === undefined ? this.#elections.hasLeaderContact : this.hasLease();
	}

	/** Reports whether this replica had applied, within the last election timeout, all that a leader then knew to be committed. */
	isCurrent(): boolean {
		if (this.#leadership !== undefined) {
			return this.hasLease();
		}

		return this.#options.clock.now() - this.#caughtUpAt < this.#timing.electionTimeoutMs && this.appliedIndex >= this.commitIndex;
	}

	/**
	Resolves once a quorum has acknowledged this leader after the call and all entries committed before it are applied.
	Throws `NotLeaderError` if this does not happen within the timeout.
	*/
	async confirmLeadership(timeoutMs: number): Promise<void> {
		const leadership = this.#leadership;
		const isConfirmed = await leadership?.confirm(timeoutMs) ?? false;
		this.#applier.applyCommitted();
		if (!isConfirmed || leadership !== this.#leadership || this.appliedIndex < leadership!.termStartIndex) {
			throw new NotLeaderError(this.#leader);
		}
	}

	/** Reports whether this replica leads, has applied all entries of earlier terms, and no other can have been elected yet. */
	hasLease(): boolean {
		return this.#leadership !== undefined
			&& this.appliedIndex >= this.#leadership.termStartIndex
			&& this.#leadership.hasLease();
	}

	/** Returns the result of a command once it is committed and applied here. Throws `NotLeaderError` if this replica does not lead. */
	async propose(command: ProposedCommand): Promise<CommandResult> {
		if (this.#leadership === undefined) {
			throw new NotLeaderError(this.#leader);
		}

		return withTimeout(this.#options.clock, this.#leadership.propose(command), proposalTimeoutMs, () => new TimeoutError('The control group', proposalTimeoutMs));
	}

	/** Returns the configured replicas or, in a group with dynamic membership, its voters and the replicas that ask to join. */
	getPeers(): readonly Peer[] {
		return this.#peers.list(this.#log.members);
	}

	async dispose(): Promise<void> {
		this.#stepDown(undefined);
		await this.#resources.dispose();
		await this.#changes.onIdle();
		await this.#log.dispose();
	}

	readonly #logFailure = (error: unknown): void => {
		// The log reported this failure when the write failed.
		if (error instanceof StorageError) {
			return;
		}

		this.#options.logger.log(events.taskFailed, {reason: getMessage(error)});
	};

	#runTask(run: (signal: AbortSignal) => Promise<void>): void {
		this.#resources.add(new BackgroundTask(run, this.#logFailure));
	}

	/** Queues a change of the log whose result no caller awaits, and logs its failure. */
	#enqueue(change: () => Promise<void>): void {
		const run = async () => {
			try {
				await this.#changes.add(change);
			} catch (error) {
				this.#logFailure(error);
			}
		};

		void run();
	}

	async #runFounding(signal: AbortSignal): Promise<void> {
		const {clock, name, logger, canFound = true} = this.#options;
		const founders = await learnFounders({
			self: name,
			canFound,
			log: this.#log,
			clock,
			getPeers: () => this.getPeers(),
			ask: async peer => this.#calls.askIdentity(peer),
			change: async run => this.#changes.add(run),
		}, signal);
		if (founders !== undefined) {
			logger.log(events.groupFounded, {voters: Object.keys(founders).join(' '), isVoter: this.isVoter});
		}
	}

	// Parts.

	#createApplier(): Applier {
		const {machine, account} = this.#options;
		return new Applier({
			log: this.#log,
			machine,
			account,
			onApplied: (entry, result) => {
				this.#leadership?.finish(entry.index, result);
				this.#snapshots.compactIfDue(entry);
			},
		});
	}

	#createElections(): Elections {
		const {group, name, clock, random} = this.#options;
		return new Elections({
			group,
			name,
			clock,
			random,
			timing: this.#timing,
			log: this.#log,
			getPeers: () => this.getPeers(),
			askForVote: async (peer, request) => this.#calls.askForVote(peer, request),
			change: async run => this.#changes.add(run),
			isLeading: () => this.#leadership !== undefined,
			onStepDown: () => {
				this.#stepDown(undefined);
			},
			onLeaderLost: () => {
				this.#leader = undefined;
			},
			onCandidacy: () => {
				this.#role = roles.candidate;
			},
			isCandidate: term => this.term === term && this.#role === roles.candidate,
			onElected: term => {
				this.#becomeLeader(term);
			},
			checkLeadership: () => {
				this.#checkLeadership(this.#leadership!);
			},
		});
	}

	#createSnapshotKeeper(): SnapshotKeeper {
		const {machine, account, logger, snapshotIntervalEntries = defaultSnapshotIntervalEntries} = this.#options;
		return new SnapshotKeeper({
			log: this.#log,
			applier: this.#applier,
			machine,
			account,
			logger,
			intervalEntries: snapshotIntervalEntries,
			change: async run => this.#changes.add(run),
			readRecords: async (leader, from) => this.#calls.readRecords(this.getPeers().find(({name}) => name === leader), from),
		});
	}

	#createFollower(): Follower {
		return new Follower({
			log: this.#log,
			applier: this.#applier,
			snapshots: this.#snapshots,
			change: async run => this.#changes.add(run),
			onNewTerm: leader => {
				this.#stepDown(leader);
			},
			onLeader: (term, leader) => {
				assertInvariant(this.#role !== roles.leader, `Term ${term} has two leaders.`);
				this.#role = roles.follower;
				this.#leader = leader;
				this.#elections.recordLeaderContact();
			},
			onCaughtUp: () => {
				this.#caughtUpAt = this.#options.clock.now();
			},
		});
	}

	// Leading.

	#checkLeadership(leadership: Leader): void {
		if (this.#log.writingMs > 2 * this.#timing.electionTimeoutMs) {
			this.#options.logger.log(events.storageSlow, {writingMs: this.#log.writingMs});
			this.#stepDown(undefined);
		} else if (this.#options.clock.now() - leadership.getLastContact() > 2 * this.#timing.electionTimeoutMs) {
			this.#stepDown(undefined);
		} else {
			leadership.refreshPeers();
			leadership.removeSilentVoter();
		}
	}

	#becomeLeader(term: number): void {
		const {
			group, name, clock, logger, getAddress,
		} = this.#options;
		this.#role = roles.leader;
		this.#leader = name;
		logger.log(events.leaderElected, {term, leader: name});
		this.#leadership = new Leader({
			group,
			name,
			term,
			getOthers: () => this.getPeers().filter(peer => peer.name !== name),
			hasDynamicMembership: getAddress !== undefined,
			log: this.#log,
			clock,
			timing: this.#timing,
			logger,
			enqueue: change => {
				this.#enqueue(change);
			},
			appendTo: async (peer, request) => this.#calls.append(peer, request),
			sendSnapshotTo: async (peer, request) => this.#calls.sendSnapshot(peer, request),
			getCommitIndex: () => this.commitIndex,
			onCommit: index => {
				this.#applier.commit(index);
			},
			onHigherTerm: higher => {
				this.#enqueue(async () => this.#elections.saveHigherTerm(higher));
			},
			onFailure: this.#logFailure,
		});
		this.#leadership.start();
	}

	#stepDown(leader: string | undefined): void {
		const leadership = this.#leadership;
		this.#role = roles.follower;
		this.#leader = leader;
		this.#leadership = undefined;
		if (leadership === undefined) {
			return;
		}

		leadership.stop(leader);
		this.#elections.withholdVotes();
		this.#options.logger.log(events.leaderStepped, {term: this.term});
	}
}
