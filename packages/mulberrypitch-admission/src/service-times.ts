/** Predicts how long requests hold a slot, from those that ended. */

const smoothing = 0.1;
const deviations = 2;
const initialTokenMs = 30;
const initialFixedMs = 100;

type Estimate = {
	meanMs: number;
	deviationMs: number;
};

/** Moving averages by size of the answer. */
export class ServiceTimes {
	readonly #estimates = new Map<number, Estimate>();

	/** Gives the expected time in milliseconds. */
	getMean(maxTokens: number): number {
		return this.#estimates.get(getSize(maxTokens))?.meanMs ?? initialFixedMs + (maxTokens * initialTokenMs);
	}

	/** Gives a time that few requests exceed, or nothing before any has ended. */
	getBound(maxTokens: number): number | undefined {
		const estimate = this.#estimates.get(getSize(maxTokens));
		return estimate === undefined ? undefined : estimate.meanMs + (deviations * estimate.deviationMs);
	}

	/** Learns from a request that ended. */
	add(maxTokens: number, durationMs: number): void {
		const size = getSize(maxTokens);
		const estimate = this.#estimates.get(size);
		if (estimate === undefined) {
			this.#estimates.set(size, {meanMs: durationMs, deviationMs: durationMs / 2});
			return;
		}

		const difference = durationMs - estimate.meanMs;
		estimate.meanMs += smoothing * difference;
		estimate.deviationMs += smoothing * (Math.abs(difference) - estimate.deviationMs);
	}
}

/** Requests of one power of two share an estimate. */
function getSize(maxTokens: number): number {
	return Math.ceil(Math.log2(maxTokens + 1));
}
