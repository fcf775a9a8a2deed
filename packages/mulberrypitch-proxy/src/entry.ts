/**
 * An entry host of a deployment. It proxies callers' requests by a configuration and a roster of back ends, which it receives from
 * the coordinators.
 */
import {randomUUID} from 'node:crypto';
import {defaultClientLimits, type ClientLimits} from '@mulberrypitch/lifecycle/client-limits';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import type {Random} from '@mulberrypitch/lifecycle/random';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import type {EarlyListener} from '@mulberrypitch/lifecycle/early-listener';
import {splitAddress} from '@mulberrypitch/lifecycle/listen';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import type {RouteTable} from '@mulberrypitch/serving/route-table';
import type {ConfigurationDecoder} from '@mulberrypitch/serving/types';
import type {ViewReply, ViewRequest} from '@mulberrypitch/serving/view-messages';
import type {Transport} from '@mulberrypitch/transport/types';
import type {StatementDecoder} from './backend-statement.js';
import {logBackendChanges} from './backend-changes.js';
import {BackendReachability} from './backend-reachability.js';
import {BackendSpeeds} from './backend-speeds.js';
import {BackendView} from './backend-view.js';
import {ConfigurationInForce} from './configuration-in-force.js';
import {ContentQuarantine, getIncarnationKey} from './content-quarantine.js';
import {addEntryGauges} from './entry-gauges.js';
import {EntryRollouts} from './entry-rollouts.js';
import {PeerEntries} from './peer-entries.js';
import {PollPace} from './poll-pace.js';
import {ProxyServer} from './proxy-server.js';
import type {QuotaTolerance} from './quota-bucket.js';
import {WorkspaceQuotas} from './workspace-quotas.js';
import {WindowedRetryBudget} from './windowed-retry-budget.js';
import {RecentMaximum} from './recent-maximum.js';
import {StreamOrigins} from './stream-origins.js';
import type {HeaderNames} from './types.js';
import {UsageCounter} from './usage-counter.js';
import {VersionHistory} from './version-history.js';
import {ViewClient} from './view-client.js';

/** Dependencies and settings of an entry. */
export type EntryOptions = {
	readonly name: string;
	/** Availability zone of the entry. */
	readonly zone: string;
	/** Address for callers, as `host:port`. */
	readonly listen: string;
	/** Listens on that address already; absent if the server is to listen itself. */
	readonly listener?: EarlyListener;
	/** Returns the currently configured peer addresses of the coordinators. */
	readonly getSeeds: () => readonly string[];
	readonly names: HeaderNames;
	/** Limits on what callers can make the entry hold; the defaults if absent. */
	readonly clientLimits?: ClientLimits;
	readonly transport: Transport;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly metrics: MetricsRegistry;
	readonly decode: ConfigurationDecoder;
	readonly decodeStatement: StatementDecoder;
	readonly retryBudget: {readonly ratio: number; readonly slack: number; readonly windowMs: number};
	readonly quotaTolerance: QuotaTolerance;
	/** Length in milliseconds of a window in which the requests of each workspace are counted. */
	readonly usageWindowMs: number;
	/** Longest time in milliseconds for which callers still use the address of an entry that is being stopped. */
	readonly drainMs: number;
	/** Time in milliseconds after which a process that is being stopped is killed. */
	readonly graceMs: number;
	/** Returns the time in milliseconds since a fixed moment, which counts the suspension of the process; `clock` is used if absent. */
	readonly getBootTime?: () => number;
};

/** Timeout of a connection attempt to a back end. */
const connectTimeoutMs = 300;
/** Share of a back end's connection limit that all entries together use. */
const connectionShare = 0.85;
/** Number of connections to each back end that an entry may always have. */
const minConnections = 2;
/** Interval in milliseconds at which idle connections to back ends are closed. */
const maintenanceMs = 500;
/** Interval in milliseconds at which it is checked whether back ends can be reached. */
const reachabilityCheckMs = 100;
/** Part of the slots of a service's back ends in use from which on the choice of a back end matters. */
const busyShare = 0.65;
/** Share of the entries that must report to a coordinator before the coordinator's count of their spending is used. */
const minReportedShare = 0.7;
/** Age of the last reply, in milliseconds, from which the other entries' spending counts as unknown. */
const maxSpendingAgeMs = 1500;
/** Time in milliseconds for which the highest reported number of entries is used. */
const entryCountWindowMs = 5000;
/** Longest time in milliseconds reserved for the exit of the process after the drain, and its largest share of the grace period. */
const maxExitMarginMs = 700;
const maxExitMarginShare = 1 / 8;
/** Interval in milliseconds at which a drain checks for requests in progress. */
const drainPollMs = 50;

/** Runs the proxy server and the view client until it is disposed of. */
export class Entry implements Resource {
	readonly #options: EntryOptions;
	readonly #resources = new DisposableStore();
	readonly #incarnation = randomUUID();
	readonly #startedAt: number;
	readonly #backends: BackendView;
	readonly #speeds: BackendSpeeds;
	readonly #quarantine: ContentQuarantine;
	readonly #reachability: BackendReachability;
	readonly #peers: PeerEntries;
	readonly #origins: StreamOrigins;
	readonly #versions: VersionHistory;
	readonly #rollouts: EntryRollouts;
	readonly #quotas: WorkspaceQuotas;
	readonly #usage: UsageCounter;
	readonly #view: ViewClient;
	readonly #configuration: ConfigurationInForce;
	readonly #pace: PollPace;
	readonly #server: ProxyServer;
	readonly #entryCounts: RecentMaximum;
	/** Number of entries in the last reply. */
	#reportedEntryCount = 0;
	/** Roster epoch of the coordinator that replied last. */
	#coordinatorEpoch = '';
	#isDraining = false;
	/** Address for callers, with the port in use. */
	#address: string;

	constructor(options: EntryOptions) {
		const {
			clock, random, logger, transport, names, zone, listen, retryBudget,
		} = options;
		this.#options = options;
		this.#startedAt = clock.now();
		this.#address = listen;
		this.#entryCounts = new RecentMaximum(clock, entryCountWindowMs);
		this.#usage = new UsageCounter(clock, options.usageWindowMs);
		this.#speeds = new BackendSpeeds(clock);
		this.#backends = new BackendView(clock, ({service, id, startedAt}) => ({
			clock,
			random,
			logger,
			getEntryCount: () => this.#entryCount,
			decodeStatement: options.decodeStatement,
			onUnreadable() {
				options.metrics.count('mulberrypitch_unreadable_statements_total', 'Statements of back ends about themselves that could not be read.', {service});
			},
			onResponse: sentAt => {
				this.#quarantine.recordResponse(getIncarnationKey(id, startedAt), sentAt);
			},
			onData: () => {
				this.#reachability.recordData();
			},
			onConnected: () => {
				this.#reachability.recordConnection();
			},
			onUnreachable: () => {
				this.#reachability.recordFailure(id);
			},
			attemptHeader: names.attemptId,
			connectTimeoutMs,
			getMaxConnections: () => this.#getMaxConnections(service),
		}));
		this.#reachability = new BackendReachability({
			clock,
			logger,
			getServing: () => this.#backends.listServing(),
			isWaiting: () => this.#backends.hasRequests,
			probe: async id => this.#backends.probe(id),
		});
		this.#peers = new PeerEntries({clock, random, attemptHeader: names.attemptId});
		this.#quarantine = new ContentQuarantine(clock);
		this.#origins = new StreamOrigins(clock, () => {
			this.#view.hurry();
		});
		this.#versions = new VersionHistory(clock);
		this.#rollouts = new EntryRollouts({...options, backends: this.#backends});
		this.#quotas = new WorkspaceQuotas({
			clock, getEntryCount: () => this.#entryCount, isInTouch: () => this.#isSpendingKnown(), tolerance: options.quotaTolerance,
		});
		this.#view = new ViewClient({
			getSeeds: options.getSeeds,
			transport,
			clock,
			random,
			logger,
			createRequest: () => this.#createViewRequest(),
			onReply: reply => {
				this.#applyView(reply);
			},
		});
		this.#configuration = new ConfigurationInForce({
			...options,
			getCoordinator: () => this.#view.coordinator,
			onChange: ({workspaces = []}) => {
				this.#quotas.createBuckets(workspaces);
				this.#server.refresh();
			},
			onTransferred: () => {
				this.#view.hurry();
			},
		});
		this.#server = new ProxyServer({
			listen,
			...(options.listener !== undefined && {listener: options.listener}),
			zone,
			names,
			clientLimits: options.clientLimits ?? defaultClientLimits,
			clock,
			random,
			logger,
			backends: this.#backends,
			speeds: this.#speeds,
			quarantine: this.#quarantine,
			reachability: this.#reachability,
			peers: this.#peers,
			origins: this.#origins,
			versions: this.#versions,
			rollouts: this.#rollouts,
			quotas: this.#quotas,
			retries: new WindowedRetryBudget({clock, ...retryBudget, getEntryCount: () => this.#entryCount}),
			usage: this.#usage,
			getViewAgeMs: () => this.#view.ageMs,
			metrics: options.metrics,
			getTable: () => this.#table,
		});
		this.#pace = new PollPace({
			clock,
			isPressed: () => this.#origins.isAwaited || this.#quarantine.isActive || this.#quotas.isAnyTight || this.#backends.isAnyBusy(busyShare),
			getRefused: () => Object.values(this.#server.getPressure()).reduce((sum, {refused}) => sum + refused, 0),
		});
		addEntryGauges(options.metrics, {
			isReady: () => this.isReady,
			getEntryCount: () => this.#entryCount,
			configuration: this.#configuration,
			server: this.#server,
			view: this.#view,
			backends: this.#backends,
			speeds: this.#speeds,
			reachability: this.#reachability,
			quarantine: this.#quarantine,
			origins: this.#origins,
		});
	}

	/**
	Number of entries in the deployment: the highest recently reported one, since a coordinator that has just started knows only a
	few of them.
	*/
	get #entryCount(): number {
		return this.#entryCounts.read() ?? 1;
	}

	get #table(): RouteTable | undefined {
		return this.#configuration.table;
	}

	/** Whether the entry accepts callers: it has a configuration and is not draining. */
	get isReady(): boolean {
		return this.#table !== undefined && !this.#isDraining;
	}

	/** Starts to listen for callers and to poll the coordinators. Resolves with the port for callers. */
	async start(): Promise<number> {
		this.#resources.add(this.#server);
		const port = await this.#server.listen();
		this.#address = `${splitAddress(this.#options.listen).host}:${port}`;
		this.#resources.add(this.#view);
		this.#view.start();
		this.#resources.add(this.#configuration);
		this.#configuration.start();
		this.#resources.add(this.#peers);
		this.#resources.add(new BackgroundTask(async signal => this.#observeReachability(signal), error => {
			this.#options.logger.log(events.taskFailed, {task: 'reachability', reason: getMessage(error)});
		}));
		this.#resources.add(new BackgroundTask(async signal => this.#maintain(signal), error => {
			this.#options.logger.log(events.taskFailed, {task: 'maintenance', reason: getMessage(error)});
		}));
		return port;
	}

	/**
	Reports the entry as not ready, so that callers are no longer sent to it, and continues to serve requests that still arrive and
	can end in time.
	Resolves when the drain time is over and no request is in progress, or when the grace period is almost over.
	*/
	async drain(): Promise<void> {
		const {clock, logger, name, drainMs, graceMs} = this.#options;
		this.#isDraining = true;
		this.#view.hurry();
		const durationMs = graceMs - Math.min(maxExitMarginMs, graceMs * maxExitMarginShare);
		this.#server.drain(durationMs);
		logger.log(events.hostDraining, {node: name});
		const startedAt = clock.now();
		await clock.sleep(Math.min(drainMs, graceMs / 2));
		this.#server.closeIdle();
		while (this.#server.running > 0 && clock.now() - startedAt < durationMs) {
			await clock.sleep(drainPollMs);
			this.#server.closeIdle();
		}

		this.#server.logCutOff();
		logger.log(events.hostStopped, {node: name, running: this.#server.running});
	}

	/** Stops serving at once. */
	async dispose(): Promise<void> {
		await this.#resources.dispose();
	}

	#createViewRequest(): ViewRequest {
		const {name, zone} = this.#options;
		const speeds = this.#speeds.takeReport();
		const rollouts = this.#rollouts.getEvidence();
		this.#rollouts.recordPoll();
		return {
			status: {
				name,
				incarnation: this.#incarnation,
				upMs: Math.round(this.#options.clock.now() - this.#startedAt),
				address: this.#address,
				zone,
				isReady: this.isReady,
				loads: this.#backends.getLoads(),
				pressure: this.#server.getPressure(),
				spent: this.#quotas.getSpent(),
				usage: this.#usage.getCounts(),
				crashes: this.#quarantine.createReport(),
				limits: this.#backends.getStatedLimits(),
				leaves: this.#backends.getLeaves(),
				reachesBackends: !this.#reachability.isCutOff,
				...(rollouts.length > 0 && {rollouts}),
			},
			...this.#configuration.createPollFields(),
			rosterEpoch: this.#backends.epoch,
			rosterVersion: this.#backends.version,
			origins: this.#origins.createReport(),
			readsOriginParts: true,
			...(speeds !== undefined && {speeds, skipsSpeeds: this.#speeds.skipsSpeeds}),
			waitMs: this.#origins.isReplyAwaited ? 0 : this.#pace.getWaitMs(),
		};
	}

	#applyView(view: ViewReply): void {
		const {
			roster, loads, othersSpent, entryCount, verdict, limits = [], origins, peers = [], speeds, isInTouch, ...reply
		} = view;
		// The roster may name back ends of a version for the first time, so the roll-out that decides on it comes before.
		this.#rollouts.apply(view);
		this.#peers.setAddresses(peers);
		this.#quarantine.apply(verdict);
		logBackendChanges(this.#options.logger, this.#backends.apply(roster), {coordinator: this.#view.coordinator, isInTouch});
		this.#versions.apply(roster);
		this.#origins.apply(origins, isInTouch);
		this.#backends.setLoads(loads);
		this.#speeds.apply(speeds);
		this.#backends.applyLimitShares(limits);
		if (roster.epoch !== this.#coordinatorEpoch) {
			this.#coordinatorEpoch = roster.epoch;
			this.#quotas.resetOthersSpent();
			this.#quarantine.repeatReports();
			this.#pace.alert();
		}

		this.#quotas.updateOthersSpent(othersSpent);
		this.#configuration.apply(reply);
		this.#entryCounts.add(entryCount);
		this.#reportedEntryCount = entryCount;
		this.#server.refresh();
	}

	#getMaxConnections(service: string): number {
		const limit = this.#table?.getService(service)?.maxConnections ?? 0;
		return Math.max(minConnections, Math.floor(limit * connectionShare / this.#entryCount));
	}

	/** Reports whether a coordinator to which most entries report has recently reported their spending. */
	#isSpendingKnown(): boolean {
		return this.#view.replyAgeMs < maxSpendingAgeMs && this.#reportedEntryCount >= minReportedShare * this.#entryCount;
	}

	async #maintain(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#options.clock.sleep(maintenanceMs, signal);
			this.#backends.closeIdle();
			this.#peers.closeIdle();
		}
	}

	async #observeReachability(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#options.clock.sleep(reachabilityCheckMs, signal);
			this.#reachability.check();
			this.#rollouts.check();
		}
	}
}
