/** Runs a policy of admission and routing against emulated engines on virtual time, with open-loop load. */
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import type {HostDemand} from '@mulberrypitch/admission/demand-quota';
import type {Ticket} from '@mulberrypitch/admission/types';
import type {Candidate, Dispatch} from '@mulberrypitch/routing/types';
import {BatchingEngine, type EngineAnswer, type EngineSpeed} from './batching-engine.js';
import {EntryChoice, getImbalance, type CallerModel} from './entry-choice.js';
import type {Arm, EntryPolicies} from './experiment-arms.js';
import {ResultRecorder, requestOutcomes, type ExperimentResult} from './experiment-result.js';
import {
	drawArrivals, engineSpeed, getCapacity, plainSpeed, requestClasses, type Arrival, type Deployment,
} from './workload.js';

const zoneCount = 3;
const maxAttempts = 4;
/** Delay before the next choice when no back end can be chosen. */
const noBackendRetryDelayMs = 100;
/** Interval at which back ends publish their load, and so the largest age of what routers see. */
const reportLagMs = 1000;
/** Interval and delay of the exchange of demand among the entry hosts. */
const exchangeLagMs = 500;
const queueLimit = 256;
/** Time in which the last requests end; longer than the longest deadline, 120 s. */
const drainMs = 130_000;

/** Settings of one run. */
export type Experiment = {
	readonly deployment: Deployment;
	readonly arm: Arm;
	/** Offered load as a multiple of the capacity of the engines. */
	readonly load: number;
	readonly seed: number;
	readonly durationMs: number;
	readonly warmUpMs: number;
	/** Failure of some engines; no engine fails when absent. */
	readonly outage?: Outage;
	/** Share of the requests that all go to the first entry host; the others are spread evenly. */
	readonly busiestEntryShare?: number;
	/** Callers that reuse their entry host for a while; each request draws its own when absent. */
	readonly callers?: CallerModel;
};

/** A failure of engines, which reject all new requests from a point in time on. */
export type Outage = {
	/** Time since the start of the run in milliseconds. */
	readonly atMs: number;
	/** Share of the engines that fail. */
	readonly share: number;
};

type Backend = {
	readonly id: string;
	readonly zone: string;
	readonly speed: EngineSpeed;
	readonly engine: BatchingEngine;
	/** The load that routers see, and the time at which it was published. */
	reported: {readonly inFlight: number; readonly at: number};
};

/**
Runs an experiment and returns its measurements.

@example
```
const result = await runExperiment({deployment, arm: arms.roundRobin, load: 1.3, seed: 1, durationMs: 240_000, warmUpMs: 60_000});
```
*/
export async function runExperiment(experiment: Experiment): Promise<ExperimentResult> {
	return new Run(experiment).run();
}

class Run {
	readonly #experiment: Experiment;
	readonly #clock = new VirtualClock();
	readonly #recorder: ResultRecorder;
	readonly #entries: readonly EntryPolicies[];
	readonly #engines: readonly Backend[];
	readonly #plainBackends: readonly Backend[];
	readonly #entryChoice: EntryChoice | undefined;
	#hostDemands: readonly HostDemand[] = [];

	constructor(experiment: Experiment) {
		this.#experiment = experiment;
		const {deployment, arm, seed, warmUpMs, callers} = experiment;
		this.#recorder = new ResultRecorder(warmUpMs);
		this.#entryChoice = callers === undefined ? undefined : new EntryChoice(callers, this.#clock, new SeededRandom(seed + 1));
		this.#engines = this.#createBackends(deployment.engineService, deployment.engines, engineSpeed);
		this.#plainBackends = this.#createBackends(deployment.plainService, deployment.plainRunners, plainSpeed);
		this.#entries = Array.from({length: deployment.entries}, (_, index) => arm.createEntry({
			name: getEntryName(index),
			zone: getZone(index),
			clock: this.#clock,
			random: new SeededRandom((seed * 1000) + index),
			entries: deployment.entries,
			rank: index,
			getHosts: () => this.#hostDemands,
		}));
	}

	async run(): Promise<ExperimentResult> {
		const {deployment, arm, load, seed, durationMs, warmUpMs, busiestEntryShare = 0} = this.#experiment;
		const arrivals = drawArrivals(deployment, new SeededRandom(seed), {
			ratePerSecond: load * getCapacity(deployment), durationMs, busiestEntryShare,
		});
		void this.#send(arrivals);
		void this.#publishBackendLoads();
		void this.#failEngines();
		void this.#exchangeDemand();
		await this.#clock.runFor(durationMs + drainMs);
		return this.#recorder.getResult({
			arm: arm.name, load, seed, measuredMs: durationMs - warmUpMs,
		});
	}

	#createBackends(service: string, count: number, speed: EngineSpeed): Backend[] {
		return Array.from({length: count}, (_, index) => ({
			id: `${service}-${index}`,
			zone: getZone(index),
			speed,
			engine: new BatchingEngine(this.#clock, speed),
			reported: {inFlight: 0, at: 0},
		}));
	}

	async #send(arrivals: readonly Arrival[]): Promise<void> {
		for (const arrival of arrivals) {
			await this.#clock.sleep(arrival.at - this.#clock.now());
			const entry = this.#entryChoice?.next(this.#hostDemands, this.#entries.length) ?? arrival.entry;
			void this.#serve({...arrival, entry});
		}
	}

	/** Publishes the load of the back ends at a fixed interval, so that routers see it with a lag. */
	async #publishBackendLoads(): Promise<void> {
		while (this.#clock.now() < this.#experiment.durationMs + drainMs) {
			for (const backend of [...this.#engines, ...this.#plainBackends]) {
				backend.reported = {inFlight: backend.engine.inFlight, at: this.#clock.now()};
			}

			await this.#clock.sleep(reportLagMs);
		}
	}

	/** Exchanges the demand of the entry hosts among them, with a lag. */
	async #exchangeDemand(): Promise<void> {
		while (this.#clock.now() < this.#experiment.durationMs + drainMs) {
			const hosts = this.#entries.map(({admission}, index) => ({name: getEntryName(index), demand: admission.getDemand?.() ?? {}}));
			await this.#clock.sleep(exchangeLagMs);
			this.#hostDemands = hosts;
			this.#recorder.addImbalance(getImbalance(hosts));
			for (const {admission} of this.#entries) {
				admission.refresh?.();
			}
		}
	}

	async #failEngines(): Promise<void> {
		const {outage} = this.#experiment;
		if (outage === undefined) {
			return;
		}

		await this.#clock.sleep(outage.atMs);
		for (const backend of this.#engines.slice(0, Math.floor(this.#engines.length * outage.share))) {
			backend.engine.isFailing = true;
		}
	}

	async #serve(arrival: Arrival): Promise<void> {
		const {admission, router} = this.#entries[arrival.entry]!;
		const startedAt = this.#clock.now();
		const deadline = startedAt + arrival.deadlineMs;
		const backends = arrival.maxTokens > 0 ? this.#engines : this.#plainBackends;
		let ticket: Ticket;
		try {
			ticket = await admission.acquire({
				customer: arrival.workspace.name,
				service: arrival.maxTokens > 0 ? this.#experiment.deployment.engineService : this.#experiment.deployment.plainService,
				share: arrival.workspace.share,
				maxInFlight: arrival.workspace.maxInFlight,
				deadline,
				queueLimit,
				capacity: router.getSlots(backends.map(backend => toCandidate(backend))),
				maxTokens: arrival.maxTokens,
			});
		} catch (error) {
			if (!(error instanceof CodedError)) {
				throw error;
			}

			this.#recorder.addOutcome(arrival, requestOutcomes.refused);
			return;
		}

		const answer = await this.#runAttempts(arrival, backends, deadline);
		ticket.release();
		if (answer !== undefined) {
			this.#recorder.addPrompt(arrival.promptTokens, answer.cachedTokens);
			this.#recorder.addOutcome(arrival, requestOutcomes.good, answer.firstTokenAt - startedAt);
			return;
		}

		this.#recorder.addOutcome(arrival, this.#clock.now() >= deadline ? requestOutcomes.late : requestOutcomes.failed);
	}

	async #runAttempts(arrival: Arrival, backends: readonly Backend[], deadline: number): Promise<EngineAnswer | undefined> {
		const {router} = this.#entries[arrival.entry]!;
		const excluded = new Set<string>();
		let attempts = 0;
		while (attempts < maxAttempts && this.#clock.now() < deadline) {
			const dispatch = router.choose(backends.map(backend => toCandidate(backend)), {
				service: backends[0]!.id, prefix: arrival.prefix, excluded, isRetry: attempts > 0,
			});
			if (dispatch === undefined) {
				excluded.clear();
				await this.#clock.sleep(noBackendRetryDelayMs);
				continue;
			}

			this.#recorder.addDispatch(arrival, dispatch.backend, attempts > 0);
			attempts += 1;
			const backend = backends.find(({id}) => id === dispatch.backend)!;
			const answer = await this.#attempt(arrival, backend, dispatch, deadline);
			if (answer !== undefined) {
				return answer;
			}

			excluded.add(backend.id);
		}

		return undefined;
	}

	async #attempt(arrival: Arrival, backend: Backend, dispatch: Dispatch, deadline: number): Promise<EngineAnswer | undefined> {
		const cancel = new AbortController();
		const done = new AbortController();
		const firstToken = new AbortController();
		const {attemptTimeoutMs} = this.#experiment.arm;
		void this.#cancelAt(deadline, cancel, done.signal);
		if (attemptTimeoutMs !== undefined && arrival.requestClass !== requestClasses.booking) {
			void this.#cancelAt(this.#clock.now() + attemptTimeoutMs, cancel, AbortSignal.any([done.signal, firstToken.signal]));
		}

		const startedAt = this.#clock.now();
		try {
			const answer = await backend.engine.run(arrival, cancel.signal, () => {
				firstToken.abort();
			});
			dispatch.finish({isFailure: false, firstTokenMs: answer.firstTokenAt - startedAt, cachedTokens: answer.cachedTokens});
			return answer;
		} catch (error) {
			if (!(error instanceof CodedError)) {
				throw error;
			}

			dispatch.finish({isFailure: !cancel.signal.aborted});
			return undefined;
		} finally {
			done.abort();
		}
	}

	async #cancelAt(time: number, cancel: AbortController, done: AbortSignal): Promise<void> {
		await this.#clock.sleep(time - this.#clock.now(), done);
		if (!done.aborted) {
			cancel.abort();
		}
	}
}

function toCandidate({id, zone, speed, reported}: Backend): Candidate {
	return {
		id, zone, slots: speed.slots, isLeaving: false, load: reported,
	};
}

function getEntryName(index: number): string {
	return `entry-${index}`;
}

function getZone(index: number): string {
	return `zone-${index % zoneCount}`;
}
