/** What this host knows of the load of back ends: its own work and lagged reports. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Candidate, LoadReport} from './types.js';

const zoneCost = 0.05;

type Known = {
	inFlight: number;
	report: LoadReport | undefined;
	/** Dispatches of this host since the report, less those that ended. */
	sinceReport: number;
	damped: number;
	dampedAt: number;
};

/** Loads by back end. */
export class BackendLoad {
	readonly #clock: Clock;
	/** Time in which a cost follows a change by about two thirds; zero follows at once. */
	readonly #momentumMs: number;
	readonly #known = new Map<string, Known>();

	constructor(clock: Clock, momentumMs: number) {
		this.#clock = clock;
		this.#momentumMs = momentumMs;
	}

	/** Counts a dispatch. */
	begin(backend: string): void {
		const known = this.#get(backend);
		known.inFlight += 1;
		known.sinceReport += 1;
	}

	/** Counts the end of a dispatch. */
	finish(backend: string): void {
		const known = this.#get(backend);
		known.inFlight -= 1;
		known.sinceReport -= 1;
	}

	/** Requests of this host on a back end. */
	getOwn(backend: string): number {
		return this.#get(backend).inFlight;
	}

	/** Gives the load as a part of the slots, damped by the momentum. */
	getLoad(candidate: Candidate): number {
		const raw = this.#getRawLoad(candidate);
		if (this.#momentumMs === 0) {
			return raw;
		}

		const known = this.#get(candidate.id);
		const now = this.#clock.now();
		known.damped += (raw - known.damped) * (1 - Math.exp((known.dampedAt - now) / this.#momentumMs));
		known.dampedAt = now;
		return known.damped;
	}

	#getRawLoad({id, slots, load}: Candidate): number {
		const known = this.#get(id);
		if (load === undefined) {
			return known.inFlight / slots;
		}

		if (load.at !== known.report?.at) {
			known.report = load;
			known.sinceReport = 0;
		}

		return Math.max(known.inFlight, load.inFlight + known.sinceReport) / slots;
	}

	/** Gives the load with a small addition for another zone. */
	getCost(candidate: Candidate, zone: string): number {
		return this.getLoad(candidate) + (candidate.zone === zone ? 0 : zoneCost);
	}

	#get(backend: string): Known {
		let known = this.#known.get(backend);
		if (known === undefined) {
			known = {
				inFlight: 0, report: undefined, sinceReport: 0, damped: 0, dampedAt: this.#clock.now(),
			};
			this.#known.set(backend, known);
		}

		return known;
	}
}
