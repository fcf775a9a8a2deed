/** A simulated cluster of hosts, a control group and back ends on virtual time, for tests of requests. */
import {createHash} from 'node:crypto';
import {AccountStore} from '@mulberrypitch/account/account-store';
import {AdmissionQueue} from '@mulberrypitch/admission/admission-queue';
import {EvenQuota} from '@mulberrypitch/admission/quota';
import {ControlClient} from '@mulberrypitch/control/control-client';
import {ControlService} from '@mulberrypitch/control/control-service';
import {ControlState} from '@mulberrypitch/control/control-state';
import {Replica} from '@mulberrypitch/control/replica';
import {MemoryBackends} from '@mulberrypitch/fakes/memory-backends';
import {MemoryNetwork} from '@mulberrypitch/fakes/memory-transport';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import type {BackendCall} from '@mulberrypitch/backends/types';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {LeastLoadedRouter} from '@mulberrypitch/routing/router';
import {MemoryLog} from '@mulberrypitch/storage/memory-log';
import {RequestService} from '../request-service.js';
import {ProcessTransport, type Step} from './process-transport.js';

const group = 'main';
const zones = ['palermo', 'catania', 'agrigento'];
const announceIntervalMs = 1000;
const startLimitMs = 20_000;

/** One host process of the simulated cluster. */
export type ClusterHost = {
	readonly name: string;
	readonly transport: ProcessTransport;
	readonly control: ControlClient;
	readonly requests: RequestService;
	readonly metrics: MetricsRegistry;
};

/** Called at each step of each host. */
export type StepListener = (host: string, step: Step) => void;

/** A cluster of several hosts and back ends with one control replica. */
export class RequestCluster {
	readonly clock = new VirtualClock();
	readonly network = new MemoryNetwork(this.clock);
	readonly backends: MemoryBackends;
	readonly hosts = new Map<string, ClusterHost>();
	readonly state = new ControlState();
	/** Fraction of messages that are lost, from 0 to 1. */
	lossRatio = 0;
	/** Whether engines started from now on can export and import KV caches. */
	movesCache = true;
	/** Whether engines recompute an answer from its start instead of resuming it. */
	isRestarting = false;
	/** Maximum extra delay of a message, in milliseconds. */
	jitterMs = 0;
	readonly #cut = new Set<string>();
	readonly #dead = new Set<string>();
	readonly #generations = new Map<string, number>();
	readonly #disposal = new AbortController();
	#listener: StepListener | undefined;
	#requestCount = 0;

	constructor(seed = 1) {
		const random = new SeededRandom(seed);
		this.backends = new MemoryBackends({
			clock: this.clock, random, firstTokenMs: 30, tokenMs: 20, answerMs: 50, recomputeMs: 0.5, transferMs: 0.05,
		});
		this.network.setPolicy((from, to) => {
			const isLost = [from, to].some(address => this.#dead.has(address) || this.#cut.has(address));
			const isRandomLoss = random.next() < this.lossRatio;
			return {isLost: (isLost || isRandomLoss) && from !== to, delayMs: 1 + (random.next() * this.jitterMs)};
		});
	}

	/** Sets the function that is called at each step of each host. It may kill the host. */
	setOnStep(listener: StepListener): void {
		this.#listener = listener;
	}

	/** Starts the control group, hosts and back ends. Resolves when each host knows all hosts and back ends. */
	async start(hostCount = 4, engineCount = 2): Promise<void> {
		await this.#startControl();
		for (let index = 0; index < hostCount; index += 1) {
			this.startHost(`host-${index + 1}`);
		}

		for (let index = 0; index < engineCount; index += 1) {
			this.startBackend(`engine-${index + 1}`, 'engine');
		}

		this.startBackend('desk-1', 'plain');
		this.startBackend('desk-2', 'plain');
		await this.until(() => [...this.hosts.values()].every(({control}) => control.isFresh() && control.sessions.length === hostCount && control.backends.length === engineCount + 2));
	}

	/** Returns a running host. */
	getHost(name: string): ClusterHost {
		return this.hosts.get(name)!;
	}

	/** Starts a host, or restarts it after `kill`. */
	startHost(name: string): ClusterHost {
		const generation = (this.#generations.get(name) ?? 0) + 1;
		this.#generations.set(name, generation);
		const address = `${name}#${generation}`;
		const transport = new ProcessTransport(this.network.join(address), step => {
			this.#listener?.(name, step);
		});
		const zone = zones[(Number(name.split('-')[1]) - 1) % zones.length]!;
		const {clock} = this;
		const logger = new SilentLogger();
		const metrics = new MetricsRegistry();
		const control = new ControlClient({
			group,
			replicas: [{name: 'control', address: 'control'}],
			transport,
			clock,
			logger,
			session: {
				node: name, incarnation: address, peerAddress: address, publicAddress: address, zone, region: 'sicily', site: 'sicily',
			},
			takeAnnouncedBackends: () => this.#listAliveBackends(),
			getEffectiveDigest: () => '',
			onConfiguration: () => undefined,
			onSessionLost() {
				requests.abandonAll();
			},
			onAssigned(records) {
				requests.takeOver(records);
			},
		});
		const requests = new RequestService({
			node: name,
			zone,
			control,
			transport,
			router: new LeastLoadedRouter(),
			engine: {
				stream: call => this.#stream(transport, call),
				exportCache: async call => this.backends.exportCache(call),
				importCache: async (call, cache) => this.backends.importCache(call, cache),
			},
			plain: {run: async call => this.#run(transport, call)},
			clock,
			logger,
			metrics,
			admission: new AdmissionQueue({clock, quota: new EvenQuota(() => ({hosts: 1, rank: 0}))}),
			createRequestId: () => this.#createRequestId(),
			getRetryPolicy: () => ({maxAttempts: 4, budgetRatio: 1}),
			getReclaimPolicy: () => ({costWeight: 1, recomputeWeight: 1}),
		});
		control.start();
		const host = {
			name, transport, control, requests, metrics,
		};
		this.hosts.set(name, host);
		return host;
	}

	/** Kills a host as `kill -9` does: it takes no further step and replies to no call. */
	kill(name: string): void {
		const host = this.hosts.get(name);
		if (host !== undefined) {
			this.hosts.delete(name);
			this.#dead.add(host.transport.address);
			host.transport.kill();
			host.requests.dispose();
			void host.control.dispose();
		}
	}

	/** Partitions a host from all others. Returns the address of its process. */
	cut(name: string): string {
		const {address} = this.getHost(name).transport;
		this.#cut.add(address);
		return address;
	}

	/** Ends the network partition of an address. */
	heal(address: string): void {
		this.#cut.delete(address);
	}

	/** Starts a back end and registers it with the control group, with the version of its software if it states one. */
	startBackend(id: string, kind: 'engine' | 'plain', version?: string): void {
		this.backends.start(id);
		void this.#announce(id, kind, version);
	}

	/** Announces the reclaim of a back end, and kills it when the notice has passed. */
	async reclaim(id: string, noticeMs: number): Promise<void> {
		const host = [...this.hosts.values()].find(({control}) => control.isFresh());
		await host?.control.propose({
			kind: 'leaveBackend', id, incarnation: id, leavesAt: this.clock.wallTime() + noticeMs,
		});
		await this.clock.sleep(noticeMs);
		this.backends.kill(id);
	}

	/** Advances virtual time until the condition holds. Throws when it does not hold within the limit. */
	async until(isReached: () => boolean, limitMs = startLimitMs): Promise<void> {
		if (!await this.clock.runUntil(isReached, limitMs)) {
			throw new Error(`Condition not reached within ${limitMs} ms: ${String(isReached)}.`);
		}
	}

	/** Advances virtual time until a promise settles, and returns its value. */
	async settle<Value>(promise: Promise<Value>): Promise<Value> {
		const state = {isSettled: false};
		void (async () => {
			await Promise.allSettled([promise]);
			state.isSettled = true;
		})();

		await this.until(() => state.isSettled);
		return promise;
	}

	/** Kills all hosts and stops the control group. */
	async dispose(): Promise<void> {
		this.#disposal.abort();
		for (const name of this.hosts.keys()) {
			this.kill(name);
		}

		await this.clock.runFor(1);
	}

	#listAliveBackends(): Array<{id: string; incarnation: string}> {
		return this.state.listBackends().filter(({id}) => this.backends.isAlive(id)).map(({id, incarnation}) => ({id, incarnation}));
	}

	#createRequestId(): string {
		this.#requestCount += 1;
		return `${createHash('sha256').update(String(this.#requestCount)).digest('hex').slice(0, 8)}-${this.#requestCount}`;
	}

	async #startControl(): Promise<void> {
		const transport = this.network.join('control');
		const {clock, state} = this;
		const logger = new SilentLogger();
		const account = new AccountStore(new MemoryLog());
		await account.load();
		const replica = new Replica({
			group,
			name: 'control',
			peers: [{name: 'control', address: 'control'}],
			store: new MemoryLog(),
			transport,
			clock,
			random: new SeededRandom(1),
			logger,
			machine: state,
			account,
		});
		new ControlService({
			group, name: 'control', replica, state, account, transport, clock, logger,
		}).start();
		await replica.start();
		this.#disposal.signal.addEventListener('abort', () => {
			void replica.dispose();
		});
	}

	async #announce(id: string, kind: 'engine' | 'plain', version?: string): Promise<void> {
		while (!this.#disposal.signal.aborted && this.backends.isAlive(id) && this.state.getBackend(id) === undefined) {
			const host = [...this.hosts.values()].find(({control}) => control.isFresh());
			try {
				await host?.control.propose({
					kind: 'registerBackend',
					id,
					incarnation: id,
					address: id,
					zone: zones[(Number(id.split('-')[1]) - 1) % zones.length]!,
					machineClass: 'small',
					services: [kind === 'engine' ? 'advice' : 'bookings'],
					backendKind: kind,
					version,
					capabilities: {slots: 32, checksFencing: false, movesCache: this.movesCache},
				});
			} catch {
				// The next iteration registers the back end again.
			}

			await this.clock.sleep(announceIntervalMs, this.#disposal.signal);
		}
	}

	async * #stream(transport: ProcessTransport, call: BackendCall): AsyncGenerator<string, void> {
		await transport.pass('before', 'dispatch');
		for await (const token of this.backends.stream(call, this.isRestarting)) {
			await transport.pass('after', 'token');
			yield token;
		}

		await transport.pass('after', 'dispatch');
	}

	async #run(transport: ProcessTransport, call: BackendCall) {
		await transport.pass('before', 'dispatch');
		const running = this.backends.run(call);
		running.catch(() => {
			// Awaited below unless the host is killed first; this handler avoids an unhandled rejection.
		});
		await transport.pass('after', 'send');
		const answer = await running;
		await transport.pass('after', 'dispatch');
		return answer;
	}
}
