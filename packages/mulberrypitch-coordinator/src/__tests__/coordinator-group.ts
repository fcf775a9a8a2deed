/** A group of coordinators on virtual time, for tests. */
import {AccountStore} from '@mulberrypitch/account/account-store';
import {MemoryDisk} from '@mulberrypitch/fakes/memory-disk';
import {MemoryNetwork, type MemoryTransport} from '@mulberrypitch/fakes/memory-transport';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {BadRequestError, StorageError} from '@mulberrypitch/errors/catalogue';
import type {ServingConfiguration} from '@mulberrypitch/serving/types';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {FileLog} from '@mulberrypitch/storage/file-log';
import {MemoryLog} from '@mulberrypitch/storage/memory-log';
import {Coordinator} from '../coordinator.js';
import type {Duty, DutyContext} from '../duty-runner.js';
import type {RolloutConduct} from '../rollout-duty.js';

/** One action of a duty, as the platform receives it. */
export type DutyAction = {
	/** Monotonic time in milliseconds. */
	readonly at: number;
	readonly holder: string;
	readonly token: number;
};

const announceIntervalMs = 1000;

/** Time in milliseconds within which a former holder must not act again after another one took the duties. */
export const leaseMs = 3000;

/** Service that the configurations of the tests define. */
export const definedService = 's';

/** Note of a configuration that defines no service. */
export const withoutServices = 'without services';

/**
Returns the document of a configuration.

@example
```
await coordinator.putConfiguration(createDocument(2));
```
*/
export function createDocument(version: number, note = ''): string {
	return JSON.stringify({version, note});
}

function decode(document: string): ServingConfiguration {
	let version: unknown;
	let note: unknown;
	try {
		({version, note} = assumeType<{readonly version: unknown; readonly note: unknown}>(JSON.parse(document)));
	} catch {
		throw new BadRequestError('Not JSON.');
	}

	return {
		version: Number(version),
		routes: [],
		services: note === withoutServices ? [] : [{name: definedService, healthPath: '/', maxConnections: 1}],
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
}

/** Coordinators on hosts that can be killed, replaced, wiped and partitioned. */
export class CoordinatorGroup {
	readonly clock = new VirtualClock();
	readonly network = new MemoryNetwork(this.clock);
	/** Actions of the duties of all coordinators, in order. */
	readonly actions: DutyAction[] = [];
	/** Hosts whose coordinator requested a restart. */
	readonly restarts: string[] = [];
	readonly #coordinators = new Map<string, Coordinator>();
	readonly #transports = new Map<string, MemoryTransport>();
	readonly #disks = new Map<string, MemoryDisk>();
	readonly #seeds: readonly string[];
	readonly #rollouts: RolloutConduct | undefined;
	#starts = 0;

	constructor(seeds: readonly string[] = ['a', 'b', 'c'], rollouts?: RolloutConduct) {
		this.#seeds = seeds;
		this.#rollouts = rollouts;
	}

	/** Returns the running coordinator of a host. */
	get(name: string): Coordinator {
		return this.#coordinators.get(name)!;
	}

	/** Starts a coordinator on the disk of a host, which is empty at first. */
	async start(name: string, isFirstStart = false): Promise<void> {
		this.#starts += 1;
		const transport = this.network.join(name);
		const store = new FileLog('log', this.#getDisk(name).open());
		const coordinator = new Coordinator({
			name,
			zone: `zone of ${name}`,
			holder: `core-${name}`,
			seeds: this.#seeds,
			getSeeds: () => this.#seeds,
			isFirstStart,
			getAddress: address => address,
			store,
			account: new AccountStore(new MemoryLog()),
			transport,
			clock: this.clock,
			random: new SeededRandom(this.#starts),
			logger: new SilentLogger(),
			decode,
			announceIntervalMs,
			leaseMs,
			getBootTime: () => this.clock.now(),
			metrics: new MetricsRegistry(),
			createDuties: () => [this.#createDuty()],
			...(this.#rollouts !== undefined && {rollouts: this.#rollouts}),
			probeStorage: async () => this.#probeStorage(name),
			onStorageRecovered: () => {
				this.restarts.push(name);
			},
		});
		this.#transports.set(name, transport);
		this.#coordinators.set(name, coordinator);
		await coordinator.start();
	}

	/** Starts all seeds for the first time. */
	async startAll(): Promise<void> {
		await Promise.all(this.#seeds.map(async name => this.start(name, true)));
	}

	/** Stops a host abruptly, like a kill. Its disk is kept. */
	kill(name: string): void {
		this.#transports.get(name)?.dispose();
		void this.#coordinators.get(name)?.dispose();
		this.#coordinators.delete(name);
	}

	/** Replaces the disk of a host by an empty one from its next start on. */
	eraseDisk(name: string): void {
		this.#disks.delete(name);
	}

	/** Retries until a configuration is committed through one of the hosts; resolves with whether that succeeded in time. */
	async put(version: number, names: readonly string[], limitMs = 10_000): Promise<boolean> {
		let isDone = false;
		for (const end = this.clock.now() + limitMs; !isDone && this.clock.now() < end;) {
			for (const name of names) {
				isDone ||= await this.settle(this.get(name).putConfiguration(createDocument(version))) !== undefined;
			}

			await this.clock.runFor(50);
		}

		return isDone;
	}

	/** Reads the version of the configuration through one host; resolves with `undefined` if the read fails. */
	async read(name: string): Promise<number | undefined> {
		const read = await this.settle(this.get(name).readConfiguration());
		return read?.value?.version;
	}

	/** Runs the clock until a promise settles; resolves with its value, or with `undefined` if it rejects or takes 5 s. */
	async settle<Value>(promise: Promise<Value>): Promise<{readonly value: Value} | undefined> {
		const state: {result?: {readonly value: Value}; isEnded: boolean} = {isEnded: false};
		const storeResult = async () => {
			try {
				state.result = {value: await promise};
			} catch {
				// The caller recognizes a failure by the missing value.
			}

			state.isEnded = true;
		};

		void storeResult();
		await this.clock.runUntil(() => state.isEnded, 5000, 10);
		return state.result;
	}

	async dispose(): Promise<void> {
		for (const name of this.#coordinators.keys()) {
			this.kill(name);
		}
	}

	/** Fills the disk of a host, which then refuses all writes, or makes room on it. */
	setFull(name: string, isFull: boolean): void {
		this.#getDisk(name).faults.isFull = isFull;
	}

	#getDisk(name: string): MemoryDisk {
		const disk = this.#disks.get(name) ?? new MemoryDisk(this.clock, new SeededRandom(1));
		this.#disks.set(name, disk);
		return disk;
	}

	async #probeStorage(name: string): Promise<void> {
		if (this.#getDisk(name).faults.isFull) {
			throw new StorageError('The disk is full.');
		}
	}

	#createDuty(): Duty {
		return {
			step: async (context: DutyContext) => {
				const {holder, token} = await context.confirm();
				this.actions.push({at: this.clock.now(), holder, token});
			},
		};
	}
}
