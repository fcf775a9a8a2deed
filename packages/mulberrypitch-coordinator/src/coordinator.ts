/** A coordinator: replicates the state of the deployment and serves entries, back ends and operators. */
import {randomUUID} from 'node:crypto';
import type {AccountStore} from '@mulberrypitch/account/account-store';
import {Replica} from '@mulberrypitch/control/replica';
import type {ReplicaTiming} from '@mulberrypitch/control/replica-timing';
import {watchStorage} from '@mulberrypitch/control/storage-watch';
import type {CommandResult, Peer, ProposedCommand} from '@mulberrypitch/control/types';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {NotLeaderError} from '@mulberrypitch/errors/catalogue';
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import {BackgroundTask, Notification} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import type {Random} from '@mulberrypitch/lifecycle/random';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {BackendRoster} from '@mulberrypitch/serving/backend-roster';
import {OriginTable} from '@mulberrypitch/serving/origin-table';
import {validateServingConfiguration} from '@mulberrypitch/serving/configuration-check';
import type {
	AnnouncedBackend, BackendDeregistration, ConfigurationDecoder, ServingConfiguration,
} from '@mulberrypitch/serving/types';
import {
	methods, type ConfigurationRead, type Incarnation, type StoredConfiguration, type ViewReply, type ViewRequest,
} from '@mulberrypitch/serving/view-messages';
import type {LogStore} from '@mulberrypitch/storage/types';
import type {Schema, Transport} from '@mulberrypitch/transport/types';
import {configurationMethod} from '@mulberrypitch/serving/configuration-messages';
import {BackendRegistration} from './backend-registration.js';
import {createCommandSchema} from './command-schema.js';
import {ConfigurationDistribution, partRequestSchema} from './configuration-distribution.js';
import {addCoordinatorGauges} from './coordinator-gauges.js';
import {DepartureRecorder} from './departure-recorder.js';
import {DutyRunner, type Duty} from './duty-runner.js';
import {EntryDirectory} from './entry-directory.js';
import {Gossip} from './gossip.js';
import {runJoin} from './group-join.js';
import type {RolloutConduct} from './rollout-duty.js';
import {RolloutService} from './rollout-service.js';
import {ServingState} from './serving-state.js';
import {gossipRequestSchema, viewRequestSchema} from './status-schema.js';
import {unchecked} from './unchecked-schema.js';
import {SpeedSums} from './speed-sums.js';
import {ViewService} from './view-service.js';

/** Dependencies and settings of a coordinator. */
export type CoordinatorOptions = {
	/** Address of the coordinator without the port; unique in the deployment. */
	readonly name: string;
	/** Availability zone of the coordinator. */
	readonly zone: string;
	/** Name of the coordinator as a holder of the duties. */
	readonly holder: string;
	/** Names of the initial coordinators of the deployment, or of those known to be running. */
	readonly seeds: readonly string[];
	/** Returns the names of the coordinators in the current settings. */
	readonly getSeeds: () => readonly string[];
	/** Whether the whole deployment is starting for the first time. */
	readonly isFirstStart: boolean;
	/** Returns the address of a coordinator for calls between processes. */
	readonly getAddress: (name: string) => string;
	readonly store: LogStore;
	readonly account: AccountStore;
	readonly transport: Transport;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly decode: ConfigurationDecoder;
	/** Interval between two announcements of one back end. */
	readonly announceIntervalMs: number;
	/** Time within which a former holder of the duties must not act again after another one took them. */
	readonly leaseMs: number;
	/** Returns the time since boot in milliseconds, which also advances while the machine is suspended. */
	readonly getBootTime: () => number;
	readonly metrics: MetricsRegistry;
	readonly createDuties: (parts: DutyDependencies) => readonly Duty[];
	/** Absent if the deployment has no roll-outs. */
	readonly rollouts?: RolloutConduct;
	/** Makes a test write to the disk. Rejects while the disk accepts no writes. */
	readonly probeStorage: () => Promise<void>;
	/** Called when the disk accepts writes again after the log has failed. The process must then restart. */
	readonly onStorageRecovered: () => void;
};

/** The state of a coordinator that duties read. */
export type DutyDependencies = {
	readonly state: ServingState;
	readonly directory: EntryDirectory;
	readonly roster: BackendRoster;
	readonly getConfiguration: () => ServingConfiguration | undefined;
};

const group = 'serving';
const forwardTimeoutMs = 900;
const confirmTimeoutMs = 700;
const expiryIntervalMs = 500;
const snapshotIntervalEntries = 256;
/** Time in milliseconds after its start for which an entry waits for a configuration that is certainly the newest. */
const entryStartMs = 1000;
/** Reads and duties confirm leadership with a quorum each time, so an election need not wait for a lease to expire. */
const timing: ReplicaTiming = {electionTimeoutMs: 400, heartbeatMs: 80, reliesOnLeases: false};

/** Handles the calls of entries and of the adapters that serve operators and back ends. */
export class Coordinator implements Resource {
	/** The entries that report to the coordinators. */
	readonly directory: EntryDirectory;
	/** The back ends that the coordinators know. */
	readonly roster: BackendRoster;
	/** The roll-outs of the services. */
	readonly rollouts: RolloutService;
	readonly #options: CoordinatorOptions;
	readonly #resources = new DisposableStore();
	/** Notified when the configuration or the roster changes. */
	readonly #changes = new Notification();
	readonly #distribution: ConfigurationDistribution;
	readonly #views: ViewService;
	readonly #state: ServingState;
	readonly #replica: Replica;
	readonly #gossip: Gossip;
	readonly #registration: BackendRegistration;
	readonly #duties: DutyRunner;
	#configuration: ServingConfiguration | undefined;

	constructor(options: CoordinatorOptions) {
		const {name, clock, transport, logger} = options;
		this.#options = options;
		this.directory = new EntryDirectory(clock);
		const epoch = randomUUID();
		const origins = new OriginTable(clock);
		this.roster = new BackendRoster({
			epoch, clock, announceIntervalMs: options.announceIntervalMs, hasDeparted: incarnation => this.#state.departures.has(incarnation),
		});
		this.#state = new ServingState({
			onConfiguration: configuration => {
				this.#applyConfiguration(configuration);
			},
			onDuties: duties => {
				this.#duties.updateHolder(duties);
			},
			onRollouts: () => {
				this.rollouts.update();
			},
			onDeparture: incarnation => {
				this.#registration.applyDeparture(incarnation);
			},
		});
		this.#replica = new Replica({
			group,
			name,
			peers: options.seeds.map(seed => ({name: seed, address: options.getAddress(seed)})),
			getAddress: options.getAddress,
			canFound: options.isFirstStart && options.seeds.includes(name),
			store: options.store,
			transport,
			clock,
			random: options.random,
			logger,
			machine: this.#state,
			account: options.account,
			timing,
			snapshotIntervalEntries,
		});
		this.rollouts = new RolloutService({
			...options, directory: this.directory, roster: this.roster, changes: this.#changes, conduct: options.rollouts,
			log: this.#replica, table: this.#state.rollouts, getConfiguration: () => this.#configuration,
		});
		const speeds = new SpeedSums({
			clock, logger, metrics: options.metrics, getServing: () => this.roster.getServing(),
		});
		this.#gossip = new Gossip({
			name,
			zone: options.zone,
			clock,
			logger,
			transport,
			roster: this.roster,
			origins,
			directory: this.directory,
			speeds,
			getOthers: () => this.#getOthers(),
			getRolloutAges: () => this.rollouts.ages,
			onRoster: () => {
				this.#changes.notify();
			},
		});
		this.#registration = new BackendRegistration({
			roster: this.roster,
			gossip: this.#gossip,
			clock,
			logger,
			changes: this.#changes,
			getOthers: () => this.#getOthers(),
			isInTouch: () => this.isInTouch,
			getLeader: () => this.#replica.leader,
			recordDeparture: async departure => this.#recordDeparture(departure),
		});
		this.#distribution = new ConfigurationDistribution({logger, metrics: options.metrics});
		this.#views = new ViewService({
			clock,
			logger,
			directory: this.directory,
			roster: this.roster,
			speeds,
			origins,
			rollouts: this.rollouts,
			epoch,
			changes: this.#changes,
			getConfiguration: () => this.#state.configuration,
			distribution: this.#distribution,
			own: {name, address: options.getAddress(name), zone: options.zone},
			getRecentPeers: () => this.#gossip.recentPeers,
			getCoordinators: () => this.#replica.getPeers().map(({address}) => address),
			isInTouch: () => this.isInTouch && this.#gossip.isRosterRecent,
		});
		this.#duties = new DutyRunner({
			holder: options.holder,
			clock,
			logger,
			state: this.#state,
			duties: options.createDuties({
				state: this.#state, directory: this.directory, roster: this.roster, getConfiguration: () => this.#configuration,
			}),
			isLeader: () => this.#replica.hasLease(),
			propose: async command => this.#replica.propose(command),
			confirmLeadership: async () => this.#replica.confirmLeadership(confirmTimeoutMs),
			leaseMs: options.leaseMs,
			getBootTime: options.getBootTime,
		});
		addCoordinatorGauges(options.metrics, {
			replica: this.#replica, gossip: this.#gossip, state: this.#state, directory: this.directory, roster: this.roster,
		});
	}

	/** Reports whether the coordinator is in contact with a leader, so that its replies are recent. */
	get isInTouch(): boolean {
		return this.#replica.isInTouch();
	}

	/** Registers the call handlers and starts the replica, the gossip and the background tasks. */
	async start(): Promise<void> {
		const {transport} = this.#options;
		transport.handle(methods.watch, viewRequestSchema, async request => this.#watch(request));
		transport.handle(configurationMethod, partRequestSchema, async request => this.#distribution.getPart(request));
		transport.handle(methods.gossip, gossipRequestSchema, async request => this.#views.mergeGossip(request));
		transport.handle(methods.propose, createCommandSchema(this.#options.decode), async command => this.#replica.propose(command));
		transport.handle(methods.read, unchecked<Record<string, never>>(), async () => this.#readAsLeader());
		transport.handle(methods.join, unchecked<{readonly name: string}>(), async ({name}) => {
			this.#replica.admit(name);
			return {leader: this.#replica.leader};
		});
		this.#resources.add(this.#replica);
		await this.#replica.start();
		this.#gossip.start();
		this.#resources.add(this.#gossip);
		this.#duties.start();
		this.#resources.add(this.#duties);
		this.#resources.add(this.rollouts).start();
		this.#resources.add(new DepartureRecorder({
			...this.#options,
			isLeader: () => this.#replica.hasLease(),
			getLeaving: () => this.roster.getLeaving(),
			record: async departure => this.#recordDeparture(departure),
		})).start();
		this.#startTask('join', async signal => runJoin({
			...this.#options,
			isNeeded: () => !(this.#replica.isVoter && this.#replica.isInTouch()),
			getOthers: () => this.#getOthers(),
		}, signal));
		this.#startTask('expiry', async signal => this.#runExpiry(signal));
		this.#startTask('storage', async signal => this.#runStorageWatch(signal));
	}

	/**
	Stores a configuration. Resolves once it, or one with the same or a higher version, is committed. Throws `BadRequestError`
	when it is invalid, and another `CodedError` when it may not have been committed.
	*/
	async putConfiguration(document: string): Promise<void> {
		const {decode, logger} = this.#options;
		const configuration = decode(document);
		validateServingConfiguration(configuration);
		const {version} = configuration;
		if (version > (this.#state.configuration?.version ?? 0)) {
			await this.#callLeader<CommandResult>(methods.propose, {kind: 'putConfiguration', version, document});
		}

		logger.log(events.configurationAccepted, {version});
	}

	/** Returns the configuration with a linearizable read: at least as new as the newest one committed before the call. */
	async readConfiguration(): Promise<StoredConfiguration | undefined> {
		const {configuration} = await this.#callLeader<ConfigurationRead>(methods.read, {});
		return configuration;
	}

	/** Handles an announcement of a back end, as `BackendRegistration.announce` does. */
	async announce(backend: AnnouncedBackend): Promise<void> {
		await this.#registration.announce(backend);
	}

	/** Handles a notice that a back end is leaving, as `BackendRegistration.deregister` does. */
	async deregister(leave: BackendDeregistration): Promise<void> {
		await this.#registration.deregister(leave);
	}

	async dispose(): Promise<void> {
		await this.#resources.dispose();
	}

	/**
	Replies to an entry. One that has just started gets no configuration that a newer one may have replaced, since another coordinator may
	give it the newest; an entry that has been without for longer gets the one that is known here.
	*/
	async #watch(request: ViewRequest): Promise<ViewReply> {
		const isCurrent = this.#replica.isCurrent();
		const {configuration, configurationPart, ...rest} = await this.#views.watch(request);
		const reply = {...rest, isCurrent: this.#replica.isCurrent()};
		const isWithheld = !isCurrent && request.configurationVersion === 0 && request.status.upMs < entryStartMs;
		return isWithheld ? reply : {...reply, ...(configuration !== undefined && {configuration}), ...(configurationPart !== undefined && {configurationPart})};
	}

	/** Resolves once the departure of a back end is committed. */
	async #recordDeparture(departure: Incarnation): Promise<void> {
		if (!this.#state.departures.has(departure)) {
			await this.#callLeader<CommandResult>(methods.propose, {kind: 'recordDeparture', ...departure});
		}
	}

	#getOthers(): readonly Peer[] {
		return this.#replica.getPeers().filter(({name}) => name !== this.#options.name);
	}

	#applyConfiguration(stored: StoredConfiguration): void {
		this.#configuration = this.#options.decode(stored.document);
		this.#distribution.add(this.#configuration);
		this.#options.logger.log(events.configurationInForce, {version: stored.version});
		this.#changes.notify();
	}

	/** Returns the configuration after a quorum has confirmed that this coordinator leads. */
	async #readAsLeader(): Promise<ConfigurationRead> {
		await this.#replica.confirmLeadership(confirmTimeoutMs);
		const {configuration} = this.#state;
		return {...(configuration !== undefined && {configuration})};
	}

	/** Calls the leader, or runs the method here if this coordinator leads. Throws `NotLeaderError` if no leader is known. */
	async #callLeader<Reply>(method: typeof methods.propose | typeof methods.read, parameters: ProposedCommand | Record<string, never>): Promise<Reply> {
		const {name, transport, getAddress} = this.#options;
		const {leader} = this.#replica;
		if (leader === undefined) {
			throw new NotLeaderError(undefined);
		}

		if (leader !== name) {
			return transport.call<Reply>(getAddress(leader), method, parameters, {timeoutMs: forwardTimeoutMs});
		}

		const reply: unknown = method === methods.read ? await this.#readAsLeader() : await this.#replica.propose(assumeType<ProposedCommand>(parameters));
		return assumeType<Reply>(reply);
	}

	async #runExpiry(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#options.clock.sleep(expiryIntervalMs, signal);
			this.#views.expire();
		}
	}

	/**
	Requests a restart once the disk accepts writes after the log has failed. Until it restarts, the replica takes no part in
	the group, which then tolerates one failure less.
	*/
	async #runStorageWatch(signal: AbortSignal): Promise<void> {
		const {probeStorage: probe, onStorageRecovered: onRecovered} = this.#options;
		await watchStorage({
			...this.#options, hasFailed: () => this.#replica.hasStorageFailed, probe, onRecovered,
		}, signal);
	}

	#startTask(task: string, run: (signal: AbortSignal) => Promise<void>): void {
		this.#resources.add(new BackgroundTask(run, error => {
			this.#options.logger.log(events.taskFailed, {task, reason: getMessage(error)});
		}));
	}
}
