/** Composition root of a host: creates and connects the objects of its roles. */
import {randomUUID} from 'node:crypto';
import path from 'node:path';
import {AccountStore} from '@mulberrypitch/account/account-store';
import {AdmissionQueue} from '@mulberrypitch/admission/admission-queue';
import {DemandExchange} from '@mulberrypitch/admission/demand-exchange';
import {DemandQuota} from '@mulberrypitch/admission/demand-quota';
import {EngineClient} from '@mulberrypitch/backends/engine-client';
import {PlainClient} from '@mulberrypitch/backends/plain-client';
import {createConfigurationTexts, getConfigurationDigest, validateSharedConfiguration} from '@mulberrypitch/config/shared-configuration';
import {hostRoles, type HostSettings, type SharedConfiguration} from '@mulberrypitch/config/types';
import {ControlClient} from '@mulberrypitch/control/control-client';
import {ControlService} from '@mulberrypitch/control/control-service';
import {ControlState} from '@mulberrypitch/control/control-state';
import {Replica} from '@mulberrypitch/control/replica';
import {watchStorage} from '@mulberrypitch/control/storage-watch';
import type {ConfigurationRevision} from '@mulberrypitch/control/types';
import {TimeoutError} from '@mulberrypitch/errors/catalogue';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {BackendDirectory} from '@mulberrypitch/entry/backend-directory';
import {EntryServer} from '@mulberrypitch/entry/entry-server';
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import type {Random} from '@mulberrypitch/lifecycle/random';
import {withTimeout} from '@mulberrypitch/lifecycle/with-timeout';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {RequestService} from '@mulberrypitch/requests/request-service';
import {AffinityRouter} from '@mulberrypitch/routing/affinity-router';
import {FileLog} from '@mulberrypitch/storage/file-log';
import {MemoryLog} from '@mulberrypitch/storage/memory-log';
import {NodeDisk} from '@mulberrypitch/storage/node-disk';
import {probeDisk} from '@mulberrypitch/storage/disk-probe';
import type {Disk, LogStore} from '@mulberrypitch/storage/types';
import type {Transport} from '@mulberrypitch/transport/types';

/** Share of a service's queue limit above which this host reports itself as overloaded, so that callers prefer others. */
const overloadedQueueShare = 0.5;

/** Time in milliseconds within which the control group must record a step of a planned stop. */
const recordTimeoutMs = 2000;
/** Time in milliseconds without contact to the control group after which a planned stop waits for no request any more. */
const maxStaleDrainMs = 15_000;
/** Interval in milliseconds at which a planned stop checks for requests in progress. */
const idlePollMs = 100;

/** Settings of a host, and the parts of its environment that tests and the demo replace. */
export type HostOptions = {
	readonly settings: HostSettings;
	readonly transport: Transport;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	/** Disk under the data folder; that of the machine if absent. */
	readonly disk?: Disk;
	/** Called when the disk of a control host accepts writes again after its log has failed. The process must then start anew. */
	readonly onStorageRecovered?: () => void;
};

/** Runs the roles of a host until it is drained or disposed of. */
export class Host implements Resource {
	readonly #options: HostOptions;
	readonly #resources = new DisposableStore();
	readonly #metrics = new MetricsRegistry();
	readonly #incarnation = randomUUID();
	readonly #disk: Disk;
	#configuration: SharedConfiguration | undefined;
	#effectiveDigest = '';
	#control: ControlClient | undefined;
	#requests: RequestService | undefined;
	#server: EntryServer | undefined;
	/** Ends the delay of a drain early when aborted. */
	readonly #drainDelay = new AbortController();
	/** Aborted when a drain no longer waits for requests and answers. */
	readonly #drainEnd = new AbortController();
	#drainDone: Promise<void> | undefined;

	constructor(options: HostOptions) {
		this.#options = options;
		this.#disk = options.disk ?? new NodeDisk();
	}

	/** Starts all roles. Resolves with the HTTP port in use, or with `undefined` on a host without the entry role. */
	async start(): Promise<number | undefined> {
		const {settings, logger, transport} = this.#options;
		this.#resources.add(transport);
		if (settings.roles.includes(hostRoles.control)) {
			await this.#startControl();
		}

		const port = settings.roles.includes(hostRoles.entry) ? await this.#startEntry() : undefined;
		logger.log(events.hostStarted, {node: settings.name, zone: settings.zone, http: settings.httpListen});
		return port;
	}

	/** Reports whether this host can accept requests: its view of the cluster state is fresh and it has a configuration. */
	isReady(): boolean {
		return this.#control?.isFresh() === true && this.#configuration !== undefined;
	}

	/**
	Stops gracefully: removes the host from the list of entry hosts, waits until cached lists have expired, finishes the requests and the
	answers in progress, then closes the session. A second call, or the timeout in the settings, ends the wait for cached lists and for
	answers, and transfers the idempotent requests to their standbys.
	*/
	async drain(): Promise<void> {
		if (this.#drainDone === undefined) {
			this.#drainDone = this.#drain();
			void this.#limitDrain();
		} else {
			await this.#shortenDrain();
		}

		return this.#drainDone;
	}

	async dispose(): Promise<void> {
		await this.#resources.dispose();
	}

	async #drain(): Promise<void> {
		const {settings, logger, clock} = this.#options;
		logger.log(events.hostDraining, {node: settings.name});
		this.#server?.drain();
		this.#requests?.drain();
		const hasSession = this.#control?.session !== undefined;
		if (this.#control !== undefined) {
			await this.#record('drainSession', this.#control.drain());
		}

		if (hasSession) {
			await clock.sleep(settings.entriesTtlSeconds * 1000, this.#drainDelay.signal);
		}

		await this.#waitIdle();
		this.#drainEnd.abort();
		if (this.#control !== undefined) {
			await this.#record('closeSession', this.#control.close());
		}

		await this.dispose();
		logger.log(events.hostStopped, {node: settings.name});
	}

	/** Shortens the stop once it has taken as long as the settings allow. */
	async #limitDrain(): Promise<void> {
		const {settings, clock, logger} = this.#options;
		if (settings.stopTimeoutSeconds === undefined) {
			return;
		}

		await clock.sleep(settings.stopTimeoutSeconds * 1000, this.#drainEnd.signal);
		if (!this.#drainEnd.signal.aborted) {
			logger.log(events.stopShortened, {running: this.#requests?.running, responses: this.#server?.openResponses});
			await this.#shortenDrain();
		}
	}

	async #shortenDrain(): Promise<void> {
		this.#drainDelay.abort();
		await this.#requests?.handOver();
	}

	/**
	Waits until no request is in progress and callers have received their answers, or until the control group has been away for so long that
	no request can end.
	*/
	async #waitIdle(): Promise<void> {
		const {clock, logger} = this.#options;
		let staleMs = 0;
		while (this.#isBusy() && staleMs < maxStaleDrainMs) {
			await clock.sleep(idlePollMs);
			staleMs = this.#control?.isFresh() === true ? 0 : staleMs + idlePollMs;
		}

		if (this.#isBusy()) {
			logger.log(events.stopUnrecorded, {step: 'waitIdle', running: this.#requests?.running, responses: this.#server?.openResponses});
		}
	}

	/**
	Reports whether a request or an answer is in progress. Answers don't count once the stop was shortened: their callers read on by request
	id at another host.
	*/
	#isBusy(): boolean {
		const hasOpenResponses = !this.#drainDelay.signal.aborted && (this.#server?.openResponses ?? 0) > 0;
		return this.#requests?.isIdle === false || hasOpenResponses;
	}

	/**
	Waits until the control group has recorded a step of the stop. Goes on without it when that takes too long or fails, for example because
	the other hosts have stopped before: the session then ends with its lease.
	*/
	async #record(step: string, recorded: Promise<unknown>): Promise<void> {
		const {clock, logger} = this.#options;
		try {
			await withTimeout(clock, recorded, recordTimeoutMs, () => new TimeoutError('The control group', recordTimeoutMs));
		} catch (error) {
			logger.log(events.stopUnrecorded, {step, reason: getMessage(error)});
		}
	}

	async #startControl(): Promise<void> {
		const {settings, transport, clock, random, logger} = this.#options;
		const account = new AccountStore(this.#createStore('account'));
		await account.load();
		const state = new ControlState();
		const replica = new Replica({
			group: settings.group,
			name: settings.name,
			peers: settings.replicas,
			store: this.#createStore('log'),
			transport,
			clock,
			random,
			logger,
			machine: state,
			account,
		});
		const service = new ControlService({
			group: settings.group, name: settings.name, replica, state, account, transport, clock, logger,
		});
		service.start();
		await replica.start();
		this.#resources.add(account);
		this.#resources.add(replica);
		this.#resources.add(service);
		this.#watchStorage(replica);
	}

	#watchStorage(replica: Replica): void {
		const {settings, clock, logger, onStorageRecovered} = this.#options;
		const {dataFolder} = settings;
		if (dataFolder === undefined) {
			return;
		}

		this.#resources.add(new BackgroundTask(async signal => watchStorage({
			clock,
			logger,
			hasFailed: () => replica.hasStorageFailed,
			probe: async () => probeDisk(this.#disk, dataFolder),
			onRecovered() {
				onStorageRecovered?.();
			},
		}, signal), error => {
			logger.log(events.taskFailed, {task: 'storage', reason: getMessage(error)});
		}));
	}

	#createStore(folder: string): LogStore {
		const {settings} = this.#options;
		return settings.dataFolder === undefined ? new MemoryLog() : new FileLog(path.join(settings.dataFolder, settings.group, folder), this.#disk);
	}

	async #startEntry(): Promise<number> {
		const {settings, transport, clock, random, logger} = this.#options;
		const backends = new BackendDirectory({getControl: () => this.#control!, clock, logger});
		this.#control = this.#createControlClient(backends);
		const engine = this.#resources.add(new EngineClient());
		const plain = this.#resources.add(new PlainClient());
		const {admission, exchange} = this.#createAdmission();
		this.#requests = this.#resources.add(new RequestService({
			node: settings.name,
			zone: settings.zone,
			control: this.#control,
			transport,
			router: new AffinityRouter({
				host: settings.name, zone: settings.zone, clock, random, getRetryRatio: () => this.#configuration?.retry.budgetRatio ?? 0,
			}),
			engine,
			plain,
			clock,
			logger,
			metrics: this.#metrics,
			admission,
			getRetryPolicy: () => this.#configuration!.retry,
			getReclaimPolicy: () => this.#configuration!.reclaim,
		}));
		this.#addGauges();
		this.#server = this.#resources.add(new EntryServer({
			settings,
			control: this.#control,
			requests: this.#requests,
			backends,
			metrics: this.#metrics,
			clock,
			random,
			logger,
			isOverloaded: () => this.#configuration?.services.some(({name, queueLimit}) => admission.getQueueLength(name) > queueLimit * overloadedQueueShare) === true,
			getDemand: node => exchange.getServiceDemand(node),
			getConfiguration: () => this.#configuration,
			onDrain: () => {
				void this.drain();
			},
		}));
		this.#resources.add(this.#control);
		this.#control.start();
		return this.#server.listen();
	}

	#createControlClient(backends: BackendDirectory): ControlClient {
		const {settings, transport, clock, logger} = this.#options;
		return new ControlClient({
			group: settings.group,
			replicas: settings.replicas,
			transport,
			clock,
			logger,
			session: {
				node: settings.name,
				incarnation: this.#incarnation,
				peerAddress: settings.peerListen,
				publicAddress: settings.publicAddress,
				zone: settings.zone,
				region: settings.region,
				site: settings.site,
			},
			takeAnnouncedBackends: () => backends.takeAnnounced(),
			getEffectiveDigest: () => this.#effectiveDigest,
			onConfiguration: revision => {
				this.#applyConfiguration(revision);
			},
			onSessionLost: () => {
				this.#requests!.abandonAll();
			},
			onAssigned: requests => {
				this.#requests!.takeOver(requests);
			},
		});
	}

	#applyConfiguration({revision, files}: ConfigurationRevision): void {
		const {settings, logger} = this.#options;
		this.#configuration = validateSharedConfiguration(createConfigurationTexts(files, settings.site));
		this.#effectiveDigest = getConfigurationDigest(this.#configuration);
		logger.log(events.configurationInForce, {revision, digest: this.#effectiveDigest});
	}

	/** Creates the admission queue. This host's part of the slots and limits follows its part of the total demand. */
	#createAdmission(): {admission: AdmissionQueue; exchange: DemandExchange} {
		const {settings, transport, clock, logger} = this.#options;
		const admission: AdmissionQueue = new AdmissionQueue({clock, quota: new DemandQuota(settings.name, () => exchange.hosts)});
		const exchange: DemandExchange = this.#resources.add(new DemandExchange({
			host: settings.name,
			transport,
			clock,
			getPeers: () => this.#control!.sessions.filter(session => !session.isDraining).map(({node, peerAddress}) => ({name: node, address: peerAddress})),
			getDemand: () => admission.getDemand(),
			onChange() {
				admission.refresh();
			},
			onFailure(error) {
				logger.log(events.taskFailed, {task: 'admission.demand', reason: getMessage(error)});
			},
		}));
		return {admission, exchange};
	}

	#addGauges(): void {
		this.#metrics.gauge('mulberrypitch_requests_running', 'Requests in progress.', () => this.#requests!.running);
		this.#metrics.gauge('mulberrypitch_request_copies', 'Copies kept for other hosts.', () => this.#requests!.copies);
		this.#metrics.gauge('mulberrypitch_view_fresh', 'One while this host may act on its view.', () => this.#control!.isFresh() ? 1 : 0);
		this.#metrics.gauge('mulberrypitch_configuration_revision', 'Revision in force.', () => this.#control!.revision);
	}
}
