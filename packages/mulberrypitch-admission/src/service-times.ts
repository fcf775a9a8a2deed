/** Predicts how long a request occupies a slot, from the requests that have ended. */

/** Weight of a new value in the moving averages. */
const smoothingFactor = 0.1;
/** Number of mean deviations above the mean at which the bound lies. */
const boundDeviations = 2;
/** Assumed time for each token while a size class has no average, in milliseconds. */
const initialTokenMs = 30;
/** Assumed fixed time while a size class has no average, in milliseconds. */
const initialFixedMs = 100;

type Estimate = {
	meanMs: number;
	deviationMs: number;
};

/**
Keeps moving averages of the time in a slot, by size class of the answer.

@example
```
const times = new ServiceTimes();
times.add(100, 2500);
times.getMean(100); // 2500
```
*/
export class ServiceTimes {
	readonly #estimates = new Map<number, Estimate>();

	/** Returns the expected time in milliseconds, by a fixed formula while no request of the size class has ended. */
	getMean(maxTokens: number): number {
		return this.#estimates.get(getSizeClass(maxTokens))?.meanMs ?? initialFixedMs + (maxTokens * initialTokenMs);
	}

	/** Returns a time in milliseconds that few requests exceed, or `undefined` while no request of the size class has ended. */
	getBound(maxTokens: number): number | undefined {
		const estimate = this.#estimates.get(getSizeClass(maxTokens));
		return estimate === undefined ? undefined : estimate.meanMs + (boundDeviations * estimate.deviationMs);
	}

	/** Updates the averages with the time of a request that has ended. */
	add(maxTokens: number, durationMs: number): void {
		const size = getSizeClass(maxTokens);
		const estimate = this.#estimates.get(size);
		if (estimate === undefined) {
			this.#estimates.set(size, {meanMs: durationMs, deviationMs: durationMs / 2});
			return;
		}

		const difference = durationMs - estimate.meanMs;
		estimate.meanMs += smoothingFactor * difference;
		estimate.deviationMs += smoothingFactor * (Math.abs(difference) - estimate.deviationMs);
	}
}

/** Returns the size class of an answer; each class spans one power of two. */
function getSizeClass(maxTokens: number): number {
	return Math.ceil(Math.log2(maxTokens + 1));
}
