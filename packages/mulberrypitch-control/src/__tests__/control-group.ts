/** A control group with entry hosts on virtual time, for tests. */
import {AccountStore} from '@mulberrypitch/account/account-store';
import {createConfigurationTexts, getConfigurationDigest, validateSharedConfiguration} from '@mulberrypitch/config/shared-configuration';
import {demoConfiguration} from '@mulberrypitch/config/defaults';
import {MemoryNetwork} from '@mulberrypitch/fakes/memory-transport';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {MemoryLog} from '@mulberrypitch/storage/memory-log';
import {ControlClient} from '../control-client.js';
import {ControlService} from '../control-service.js';
import {ControlState} from '../control-state.js';
import {Replica} from '../replica.js';
import type {ConfigurationFiles, RequestRecord} from '../types.js';

const group = 'main';
const sites = ['palermo', 'catania', 'agrigento'];
const accurateRates = {entry: 1, control: 1};
const replicaNames = ['a', 'b', 'c'];

/** Returns the demo configuration with a queue limit that identifies the revision. */
export function createFiles(queueLimit: number, overlays: Record<string, string> = {}): ConfigurationFiles {
	return {base: demoConfiguration.replace('kind = engine', `kind = engine\nqueue-limit = ${queueLimit}`), overlays};
}

/** A clock that runs faster or slower than virtual time. */
class DriftingClock implements Clock {
	wallOffsetMs = 0;

	constructor(readonly clock: VirtualClock, readonly rate: number) {
		// Both properties are fixed for one run.
	}

	now(): number {
		return this.clock.now() * this.rate;
	}

	wallTime(): number {
		return this.clock.wallTime() + this.wallOffsetMs;
	}

	async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
		return this.clock.sleep(durationMs / this.rate, signal);
	}
}

/** A control host that can be stopped and restarted, with or without its disk. */
export class ControlHost {
	replica!: Replica;
	state!: ControlState;
	account!: AccountStore;
	#service!: ControlService;

	#log = new MemoryLog();

	constructor(readonly name: string, readonly network: MemoryNetwork, readonly clock: DriftingClock, readonly seed: number) {
		this.network.join(name);
	}

	/** Erases the disk of a stopped host. */
	eraseDisk(): void {
		this.#log = new MemoryLog();
	}

	async start(): Promise<void> {
		const transport = this.network.join(this.name);
		this.state = new ControlState();
		this.account = new AccountStore(new MemoryLog());
		const logger = new SilentLogger();
		this.replica = new Replica({
			group,
			name: this.name,
			peers: replicaNames.map(name => ({name, address: name})),
			store: this.#log,
			transport,
			clock: this.clock,
			random: new SeededRandom(this.seed),
			logger,
			machine: this.state,
			account: this.account,
		});
		this.#service = new ControlService({
			group, name: this.name, replica: this.replica, state: this.state, account: this.account, transport, clock: this.clock, logger,
		});
		this.#service.start();
		await this.replica.start();
	}

	async dispose(): Promise<void> {
		await this.#service.dispose();
		await this.replica.dispose();
		this.network.getMember(this.name)?.dispose();
	}

	getStatus() {
		return this.#service.getStatus();
	}
}

/** An entry host without its HTTP server. */
export class EntryHost {
	readonly client: ControlClient;
	readonly site: string;
	readonly assigned: RequestRecord[] = [];
	readonly lostEpochs: number[] = [];
	announced: Array<{id: string; incarnation: string}> = [];
	queueLimit = 0;
	#digest = '';

	constructor(readonly name: string, index: number, incarnation: string, {network, entryClock: clock}: ControlGroup) {
		this.site = sites[index % sites.length]!;
		this.client = new ControlClient({
			group,
			replicas: replicaNames.map(replica => ({name: replica, address: replica})),
			transport: network.join(name),
			clock,
			logger: new SilentLogger(),
			session: {
				node: name, incarnation, peerAddress: name, publicAddress: name, zone: this.site, region: 'r', site: this.site,
			},
			takeAnnouncedBackends: () => this.announced.splice(0),
			getEffectiveDigest: () => this.#digest,
			onConfiguration: ({files}) => {
				const configuration = validateSharedConfiguration(createConfigurationTexts(files, this.site));
				this.queueLimit = configuration.services[0]!.queueLimit;
				this.#digest = getConfigurationDigest(configuration);
			},
			onAssigned: requests => {
				this.assigned.push(...requests);
			},
			onSessionLost: epoch => {
				this.lostEpochs.push(epoch);
			},
		});
		this.client.start();
	}
}

/** Three control hosts and any number of entry hosts. */
export class ControlGroup {
	readonly clock = new VirtualClock();
	readonly network = new MemoryNetwork(this.clock);
	readonly entryClock: Clock;
	readonly controls: readonly ControlHost[];
	readonly entries: EntryHost[] = [];

	constructor(rates: {readonly entry: number; readonly control: number} = accurateRates) {
		this.entryClock = new DriftingClock(this.clock, rates.entry);
		this.controls = replicaNames.map((name, index) => new ControlHost(name, this.network, new DriftingClock(this.clock, rates.control), index + 1));
	}

	async start(entryCount: number): Promise<void> {
		await Promise.all(this.controls.map(async host => host.start()));
		for (let index = 0; index < entryCount; index += 1) {
			this.startEntry(`e${index}`, index, 'first');
		}

		await this.clock.runUntil(() => this.entries.every(({client}) => client.isFresh()), 10_000);
	}

	startEntry(name: string, index: number, incarnation: string): EntryHost {
		const entry = new EntryHost(name, index, incarnation, this);
		this.entries.push(entry);
		return entry;
	}

	getLeader(): ControlHost {
		return this.controls.find(({replica}) => replica.hasLease())!;
	}

	/** Partitions the named processes from all others. Without names, heals the network. */
	cut(...names: string[]): void {
		this.network.setPolicy((from, to) => ({isLost: names.includes(from) !== names.includes(to), delayMs: 1}));
	}

	/** Advances time until a promise settles. */
	async settle<Value>(promise: Promise<Value>): Promise<PromiseSettledResult<Value>> {
		let result: PromiseSettledResult<Value> | undefined;
		const wait = async () => {
			[result] = await Promise.allSettled([promise]);
		};

		void wait();
		await this.clock.runUntil(() => result !== undefined, 20_000);
		return result!;
	}

	async apply(entry: EntryHost, expectedRevision: number, changeId: string, files: ConfigurationFiles) {
		return this.settle(entry.client.propose({
			kind: 'applyConfiguration', changeId, expectedRevision, operator: `operator of ${changeId}`, digest: 'from the entry', files,
		}));
	}

	/** Accepts a request on one host and names another as its standby. */
	async accept(holder: EntryHost, requestId: string, standby?: EntryHost) {
		return this.settle(holder.client.propose({
			kind: 'acceptRequest',
			requestId,
			customer: 'clinic',
			service: 'advice',
			digest: 'd',
			fingerprint: 'f',
			isIdempotent: true,
			holder: holder.name,
			holderEpoch: holder.client.session!.epoch,
			...(standby !== undefined && {standby: standby.name}),
			entryTime: 0,
		}));
	}

	/** Registers a back end through one host. */
	async register(entry: EntryHost, id: string) {
		return this.settle(entry.client.propose({
			kind: 'registerBackend',
			id,
			incarnation: 'first',
			address: 'http://127.0.0.9:1',
			zone: 'palermo',
			machineClass: 'standard',
			services: ['advice'],
			backendKind: 'engine',
			capabilities: {slots: 1, checksFencing: true, movesCache: false},
		}));
	}

	async dispose(): Promise<void> {
		await this.settle(Promise.all(this.entries.map(async ({client}) => client.dispose())));
		await this.settle(Promise.all(this.controls.map(async host => host.dispose())));
	}
}
