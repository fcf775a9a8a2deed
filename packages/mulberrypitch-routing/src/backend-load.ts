/** Estimates the load of back ends from the requests of this host and from delayed load reports. */
import type {Candidate, LoadReport} from './types.js';

/** Cost of a back end in another zone, as a share of its slots. */
const crossZoneCost = 0.05;

/** What this host knows about the load of one back end. */
type LoadState = {
	/** This host's requests that are in progress. */
	inFlight: number;
	/** Last load report of the back end that was used in an estimate. */
	report: LoadReport | undefined;
	/** Requests that this host has started since the report, minus those that have finished since then. */
	sinceReport: number;
};

/** Tracks the load of each back end. */
export class BackendLoad {
	readonly #states = new Map<string, LoadState>();

	/** Counts the start of a request. */
	begin(backend: string): void {
		const state = this.#get(backend);
		state.inFlight += 1;
		state.sinceReport += 1;
	}

	/** Counts the end of a request. */
	finish(backend: string): void {
		const state = this.#get(backend);
		state.inFlight -= 1;
		state.sinceReport -= 1;
	}

	/** Returns the number of this host's requests that are in progress on a back end. */
	getOwn(backend: string): number {
		return this.#get(backend).inFlight;
	}

	/** Returns the estimated load of a back end as a share of its slots, and adopts the candidate's load report if it is new. */
	getLoad({id, slots, load}: Candidate): number {
		const state = this.#get(id);
		if (load === undefined) {
			return state.inFlight / slots;
		}

		if (load.at !== state.report?.at) {
			state.report = load;
			state.sinceReport = 0;
		}

		return Math.max(state.inFlight, load.inFlight + state.sinceReport) / slots;
	}

	/** Returns the load plus a small cost if the back end is in another zone. */
	getCost(candidate: Candidate, zone: string): number {
		return this.getLoad(candidate) + (candidate.zone === zone ? 0 : crossZoneCost);
	}

	#get(backend: string): LoadState {
		let state = this.#states.get(backend);
		if (state === undefined) {
			state = {inFlight: 0, report: undefined, sinceReport: 0};
			this.#states.set(backend, state);
		}

		return state;
	}
}
