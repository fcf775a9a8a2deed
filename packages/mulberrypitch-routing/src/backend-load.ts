/** What this host knows of the load of back ends: its own work and lagged reports. */
import type {Candidate, LoadReport} from './types.js';

const zoneCost = 0.05;

type Known = {
	inFlight: number;
	report: LoadReport | undefined;
	/** Dispatches of this host since the report, less those that ended. */
	sinceReport: number;
};

/** Loads by back end. */
export class BackendLoad {
	readonly #known = new Map<string, Known>();

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

	/** Gives the load as a part of the slots. */
	getLoad({id, slots, load}: Candidate): number {
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
			known = {inFlight: 0, report: undefined, sinceReport: 0};
			this.#known.set(backend, known);
		}

		return known;
	}
}
