/** The usual duration of the requests of a route. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Duration of a request so far. */
type RequestDuration = {
	readonly durationMs: number;
	/** Whether its answer was complete; otherwise it would have taken longer than it lasted. */
	readonly isWhole: boolean;
};

/** A request that has ended. */
type EndedRequest = RequestDuration & {
	/** Monotonic time in milliseconds of its end. */
	readonly endedAt: number;
};

/** Time in milliseconds for which an ended request counts. */
const retentionMs = 30_000;
/** Maximum number of requests that count. */
const maxRequests = 500;
/** Share of the requests that take no longer than usual. */
const usualShare = 0.95;
/** Tolerance of the comparison of a product of shares, which is not exact. */
const epsilon = 1e-9;

/** Keeps the durations of one route's ended requests for some seconds. */
export class UsualDuration {
	readonly #clock: Clock;
	#requests: EndedRequest[] = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	Returns the usual duration in milliseconds, given for how long requests in progress have run; `undefined` if none has ended lately, or
	if too many were given up or still run to tell.
	*/
	estimateMs(runningMs: readonly number[]): number | undefined {
		const since = this.#clock.now() - retentionMs;
		const ended = this.#requests.filter(({endedAt}) => endedAt >= since);
		return estimateQuantile([...ended, ...runningMs.map(durationMs => ({durationMs, isWhole: false}))], usualShare);
	}

	/** Records a request that has ended, and whether its answer was complete. */
	record(durationMs: number, isWhole: boolean): void {
		this.#requests.push({endedAt: this.#clock.now(), durationMs, isWhole});
		if (this.#requests.length > 2 * maxRequests) {
			this.#requests = this.#requests.slice(-maxRequests);
		}
	}
}

/**
Returns the duration that the given share of requests does not exceed, by the product-limit (Kaplan-Meier) estimator: a request without a
complete answer counts as running for as long as it has lasted, and not at all from then on. Returns `undefined` if that is longer than any answer took.
*/
function estimateQuantile(requests: readonly RequestDuration[], share: number): number | undefined {
	const sorted = requests.toSorted((left, right) => left.durationMs - right.durationMs || Number(right.isWhole) - Number(left.isWhole));
	let longerShare = 1;
	for (const [index, {durationMs, isWhole}] of sorted.entries()) {
		longerShare *= isWhole ? 1 - (1 / (sorted.length - index)) : 1;
		if (longerShare <= 1 - share + epsilon) {
			return durationMs;
		}
	}

	return undefined;
}
