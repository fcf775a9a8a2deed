/** Routes requests by the number of requests that this host has in progress on each back end. */
import type {
	Candidate, Dispatch, Router, RoutingRequest,
} from './types.js';

/** Chooses the candidate on which this host uses the smallest share of the slots. */
export class LeastLoadedRouter implements Router {
	readonly #inFlight = new Map<string, number>();

	/** Starts a dispatch to the least loaded candidate. Returns `undefined` if all candidates are leaving or excluded. */
	choose(candidates: readonly Candidate[], request: RoutingRequest): Dispatch | undefined {
		let best: Candidate | undefined;
		for (const candidate of candidates) {
			if (candidate.isLeaving || request.excluded.has(candidate.id)) {
				continue;
			}

			if (best === undefined || this.#getLoad(candidate) < this.#getLoad(best)) {
				best = candidate;
			}
		}

		return best === undefined ? undefined : this.#begin(best.id);
	}

	/** Returns the number of slots of the candidates that are not leaving. */
	getSlots(candidates: readonly Candidate[]): number {
		return countSlots(candidates.filter(candidate => !candidate.isLeaving));
	}

	#begin(backend: string): Dispatch {
		this.#inFlight.set(backend, this.#getInFlight(backend) + 1);
		let isFinished = false;
		return {
			backend,
			finish: () => {
				if (!isFinished) {
					isFinished = true;
					this.#inFlight.set(backend, this.#getInFlight(backend) - 1);
				}
			},
		};
	}

	#getInFlight(backend: string): number {
		return this.#inFlight.get(backend) ?? 0;
	}

	#getLoad(candidate: Candidate): number {
		return this.#getInFlight(candidate.id) / candidate.slots;
	}
}

/**
Returns the total number of slots of the candidates.

@example
```
const capacity = countSlots(candidates);
```
*/
export function countSlots(candidates: readonly Candidate[]): number {
	return candidates.reduce((sum, {slots}) => sum + slots, 0);
}
