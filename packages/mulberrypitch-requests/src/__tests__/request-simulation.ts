/** One randomised run on virtual time with callers, crashes, network partitions and reclaims, and a check of what each caller received. */
import {ends} from '@mulberrypitch/control/types';
import {codes} from '@mulberrypitch/errors/catalogue';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {countTokens} from '@mulberrypitch/fakes/memory-backends';
import {getRandomBetween, SeededRandom} from '@mulberrypitch/lifecycle/random';
import {createBooking, createDocument, isWhole} from './cluster-calls.js';
import {RequestCluster} from './request-cluster.js';
import {SimulatedCaller} from './simulated-caller.js';

/** Number of back-end crashes during one request after which the control group must assume that the request causes them, so that its quarantine is correct. */
const deathsToQuarantine = 2;
const hostCount = 5;
const engineCount = 4;
const callerCount = 24;
const faultPeriodMs = 20_000;
const endLimitMs = 120_000;
const reclaimNoticeMs = 3000;
const maxFaultMs = 8000;
const maxFaultGapMs = 2500;
/** Time without host faults after each host fault of a mild run: one lease, and time to copy all requests to new standbys. */
const recoveryMs = 9000;

/** Result of one run. */
export type SimulationReport = {
	readonly seed: number;
	readonly problems: readonly string[];
	/** Number of requests by kind and end. */
	readonly counts: Readonly<Record<string, number>>;
};

/**
One run that is determined by its seed. In a mild run (odd seeds) one host fails at a time, and no request may be lost.

@example
```
const {problems} = await new RequestSimulation(1).run();
```
*/
export class RequestSimulation {
	readonly #seed: number;
	readonly #isMild: boolean;
	readonly #random: SeededRandom;
	readonly #cluster: RequestCluster;
	readonly #callers: SimulatedCaller[] = [];
	readonly #failures: string[] = [];
	/** Identifiers of engines that were killed without notice. */
	readonly #killed = new Set<string>();
	#engines = 0;
	#finished = 0;
	#quietUntil = 0;

	constructor(seed: number) {
		this.#seed = seed;
		this.#isMild = seed % 2 === 1;
		this.#random = new SeededRandom(seed);
		this.#cluster = new RequestCluster(seed);
	}

	/** Runs until all requests have ended, and checks what each caller received. */
	async run(): Promise<SimulationReport> {
		const cluster = this.#cluster;
		await cluster.start(hostCount, engineCount);
		this.#engines = engineCount;
		cluster.jitterMs = 20 * this.#random.next();
		cluster.lossRatio = 0.005 * this.#random.next();
		const endAt = cluster.clock.now() + faultPeriodMs;
		void this.#runFaults(endAt);
		for (let index = 0; index < callerCount; index += 1) {
			void this.#runCaller(index);
		}

		await cluster.clock.runUntil(() => this.#finished === callerCount && cluster.clock.now() >= endAt, endLimitMs, 100);
		const report = this.#check();
		await cluster.dispose();
		return report;
	}

	async #runCaller(index: number): Promise<void> {
		const {clock} = this.#cluster;
		await clock.sleep(getRandomBetween(this.#random, 0, faultPeriodMs / 2));
		const key = `key-${index}`;
		const isBooking = index % 2 === 0;
		const tokens = Math.floor(getRandomBetween(this.#random, 20, 300));
		const call = isBooking ? createBooking(`booking-${index}`, key) : createDocument(`document-${index}`, tokens, index % 4 === 1 ? key : undefined);
		const caller = new SimulatedCaller(this.#cluster, this.#random, call);
		this.#callers.push(caller);
		try {
			await caller.run();
		} catch (error) {
			this.#failures.push(String(error));
		}

		this.#finished += 1;
	}

	async #runFaults(endAt: number): Promise<void> {
		const {clock} = this.#cluster;
		while (clock.now() < endAt) {
			await clock.sleep(getRandomBetween(this.#random, 0, maxFaultGapMs));
			const faults = [async () => this.#killHost(), async () => this.#cutHost(), async () => this.#killEngine(), async () => this.#reclaimWave()];
			void faults[Math.floor(this.#random.next() * faults.length)]!();
		}
	}

	#chooseHost(): string | undefined {
		const now = this.#cluster.clock.now();
		if (this.#isMild && now < this.#quietUntil) {
			return undefined;
		}

		this.#quietUntil = now + maxFaultMs + recoveryMs;
		const names = [...this.#cluster.hosts.keys()];
		return names[Math.floor(this.#random.next() * names.length)];
	}

	async #killHost(): Promise<void> {
		const {clock} = this.#cluster;
		const name = this.#chooseHost();
		if (name === undefined || this.#cluster.hosts.size < hostCount - 1) {
			return;
		}

		this.#cluster.kill(name);
		await clock.sleep(getRandomBetween(this.#random, 100, maxFaultMs));
		this.#cluster.startHost(name);
	}

	async #cutHost(): Promise<void> {
		const name = this.#chooseHost();
		const host = name === undefined ? undefined : this.#cluster.hosts.get(name);
		if (host !== undefined) {
			this.#cluster.cut(host.name);
			await this.#cluster.clock.sleep(getRandomBetween(this.#random, 100, maxFaultMs));
			this.#cluster.heal(host.transport.address);
		}
	}

	async #killEngine(): Promise<void> {
		const id = this.#replaceEngine();
		this.#killed.add(id);
		this.#cluster.backends.kill(id);
	}

	async #reclaimWave(): Promise<void> {
		const ids = [this.#replaceEngine(), this.#replaceEngine()];
		await Promise.allSettled(ids.map(async id => this.#cluster.reclaim(id, reclaimNoticeMs)));
	}

	/** Starts a new engine, and returns the identifier of the oldest one, which it replaces. */
	#replaceEngine(): string {
		this.#engines += 1;
		this.#cluster.startBackend(`engine-${this.#engines}`, 'engine');
		return `engine-${this.#engines - engineCount}`;
	}

	#check(): SimulationReport {
		const counts: Record<string, number> = {};
		const problems = [...this.#failures];
		for (const caller of this.#callers) {
			const kind = caller.call.isIdempotent ? 'document' : 'booking';
			const end = caller.received.outcome?.end ?? (caller.isGone ? 'no longer stored' : 'none');
			counts[`${kind} ${end}`] = (counts[`${kind} ${end}`] ?? 0) + 1;
			problems.push(...caller.call.isIdempotent ? this.#checkDocument(caller) : this.#checkBooking(caller));
		}

		return {seed: this.#seed, problems, counts};
	}

	#checkDocument({call, received, requestId, isGone}: SimulatedCaller): string[] {
		const {prompt, max_tokens: tokens} = assumeType<{prompt: string; max_tokens: number}>(JSON.parse(call.body.text));
		const isLost = !this.#isMild && (isGone || received.outcome?.end === ends.failed) && countTokens(received.text, prompt) !== undefined;
		const isQuarantined = received.outcome?.code === codes.quarantined && received.outcome.retryAfterSeconds !== undefined && this.#countDeaths(requestId) >= deathsToQuarantine;
		const isRight = isLost || isQuarantined || isWhole(received, prompt, tokens);
		return isRight ? [] : [`${prompt} (${requestId}) of ${tokens} tokens ended ${received.outcome?.end} ${received.outcome?.code ?? ''} with ${received.text.split(' ').length - 1} tokens`];
	}

	/** Returns how many engines were killed without notice while they ran a request. */
	#countDeaths(countedRequestId: string | undefined): number {
		const engines = this.#cluster.backends.interruptedCalls.filter(({requestId, address}) => requestId === countedRequestId && this.#killed.has(address));
		return new Set(engines.map(({address}) => address)).size;
	}

	#checkBooking({call, received, requestId}: SimulatedCaller): string[] {
		const runs = this.#cluster.backends.calls.filter(({body}) => body === call.body.text).length;
		const end = received.outcome?.end;
		const isRight = (end === ends.answered && runs === 1) || (end === ends.notRun && runs === 0) || (end === ends.unknown && runs <= 1);
		return isRight ? [] : [`${call.body.text} (${requestId}) ended ${end} and ran ${runs} times`];
	}
}
