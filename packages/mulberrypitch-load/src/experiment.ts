/** Runs a policy against stand-in engines on virtual time, in an open loop. */
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import type {DemandingHost} from '@mulberrypitch/admission/demand-quota';
import type {Ticket} from '@mulberrypitch/admission/types';
import type {Candidate, Dispatch} from '@mulberrypitch/routing/types';
import {BatchingEngine, type EngineAnswer, type EngineSpeed} from './batching-engine.js';
import type {Arm, EntryParts} from './experiment-arms.js';
import {ResultRecorder, runEnds, type ExperimentResult} from './experiment-result.js';
import {
	drawArrivals, engineSpeed, getCapacity, plainSpeed, requestClasses, type Arrival, type Deployment,
} from './workload.js';

const zones = 3;
const maxAttempts = 4;
const waitForBackendMs = 100;
const reportLagMs = 1000;
const exchangeLagMs = 500;
const queueLimit = 256;
const drainMs = 130_000;

/** One run. */
export type Experiment = {
	readonly deployment: Deployment;
	readonly arm: Arm;
	/** Offered load as a part of the capacity of the engines. */
	readonly load: number;
	readonly seed: number;
	readonly durationMs: number;
	readonly warmUpMs: number;
	/** Failure of some engines; none when absent. */
	readonly outage?: Outage;
	/** Part of the callers that all use the first entry; the others are spread evenly. */
	readonly busiestEntryPart?: number;
};

/** Engines that begin to fail all new work. */
export type Outage = {
	readonly atMs: number;
	/** Part of the engines. */
	readonly part: number;
};

type Backend = {
	readonly id: string;
	readonly zone: string;
	readonly speed: EngineSpeed;
	readonly engine: BatchingEngine;
	reported: {readonly inFlight: number; readonly at: number};
};

/**
Runs an experiment and gives its figures.

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
	readonly #entries: readonly EntryParts[];
	readonly #engines: readonly Backend[];
	readonly #plain: readonly Backend[];
	#hosts: readonly DemandingHost[] = [];

	constructor(experiment: Experiment) {
		this.#experiment = experiment;
		const {deployment, arm, seed, warmUpMs} = experiment;
		this.#recorder = new ResultRecorder(warmUpMs);
		this.#engines = this.#createBackends(deployment.engineService, deployment.engines, engineSpeed);
		this.#plain = this.#createBackends(deployment.plainService, deployment.plainRunners, plainSpeed);
		this.#entries = Array.from({length: deployment.entries}, (_, index) => arm.createEntry({
			name: getEntryName(index),
			zone: getZone(index),
			clock: this.#clock,
			random: new SeededRandom((seed * 1000) + index),
			entries: deployment.entries,
			rank: index,
			getHosts: () => this.#hosts,
		}));
	}

	async run(): Promise<ExperimentResult> {
		const {deployment, arm, load, seed, durationMs, warmUpMs, busiestEntryPart = 0} = this.#experiment;
		const arrivals = drawArrivals(deployment, new SeededRandom(seed), {
			ratePerSecond: load * getCapacity(deployment), durationMs, busiestEntryPart,
		});
		void this.#send(arrivals);
		void this.#report();
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
			void this.#serve(arrival);
		}
	}

	/** Publishes the load of the back ends with a lag. */
	async #report(): Promise<void> {
		while (this.#clock.now() < this.#experiment.durationMs + drainMs) {
			for (const backend of [...this.#engines, ...this.#plain]) {
				backend.reported = {inFlight: backend.engine.inFlight, at: this.#clock.now()};
			}

			await this.#clock.sleep(reportLagMs);
		}
	}

	/** Tells all entries the demand of all, with a lag. */
	async #exchangeDemand(): Promise<void> {
		while (this.#clock.now() < this.#experiment.durationMs + drainMs) {
			const hosts = this.#entries.map(({admission}, index) => ({name: getEntryName(index), demand: admission.getDemand?.() ?? {}}));
			await this.#clock.sleep(exchangeLagMs);
			this.#hosts = hosts;
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
		for (const backend of this.#engines.slice(0, Math.floor(this.#engines.length * outage.part))) {
			backend.engine.isFailing = true;
		}
	}

	async #serve(arrival: Arrival): Promise<void> {
		const {admission} = this.#entries[arrival.entry]!;
		const startedAt = this.#clock.now();
		const deadline = startedAt + arrival.deadlineMs;
		const backends = arrival.maxTokens > 0 ? this.#engines : this.#plain;
		let ticket: Ticket;
		try {
			ticket = await admission.acquire({
				customer: arrival.workspace.name,
				service: arrival.maxTokens > 0 ? this.#experiment.deployment.engineService : this.#experiment.deployment.plainService,
				share: arrival.workspace.share,
				maxInFlight: arrival.workspace.maxInFlight,
				deadline,
				queueLimit,
				capacity: backends.reduce((sum, backend) => sum + backend.speed.slots, 0),
				maxTokens: arrival.maxTokens,
			});
		} catch (error) {
			if (!(error instanceof CodedError)) {
				throw error;
			}

			this.#recorder.addEnd(arrival, runEnds.refused);
			return;
		}

		const answer = await this.#runAttempts(arrival, backends, deadline);
		ticket.release();
		if (answer !== undefined) {
			this.#recorder.addPrompt(arrival.promptTokens, answer.cachedTokens);
			this.#recorder.addEnd(arrival, runEnds.good, answer.firstTokenAt - startedAt);
			return;
		}

		this.#recorder.addEnd(arrival, this.#clock.now() >= deadline ? runEnds.late : runEnds.failed);
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
				await this.#clock.sleep(waitForBackendMs);
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
	return `zone-${index % zones}`;
}
