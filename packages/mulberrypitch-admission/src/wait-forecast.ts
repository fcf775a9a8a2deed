/** Predicts how long a request waits for a place, from the rate at which places were granted, and decides whether it may wait. */

/** What is known of a request that would wait. */
export type WaitProspect = {
	/** Time in milliseconds within which the request must start to be of use. */
	readonly budgetMs: number;
	/** Time in milliseconds for which any request may wait, since a rejection after it costs the caller nothing. */
	readonly freeMs: number;
	/** Expected run time in milliseconds of the waiting requests that start before it. */
	readonly workBeforeMs: number;
};

/** A decision on a wait. */
export type WaitDecision = {
	/** Longest wait in milliseconds; zero if the request is to be rejected at once. */
	readonly maxWaitMs: number;
	/** Expected wait in milliseconds; absent while too few places were granted lately. */
	readonly expectedMs?: number;
};

/** A place that was granted. */
type Grant = {
	/** Monotonic time in milliseconds. */
	readonly at: number;
	/** Expected run time of the request in milliseconds. */
	readonly costMs: number;
};

/** Time in milliseconds for which a grant counts. */
const windowMs = 2000;
/** Smallest number of grants in the window that give a rate. */
const minGrants = 6;
/**
Ratios of the time that is left to the expected wait. Waits are about exponentially distributed, so these are chances of 0.63 and 0.1 to start in
time. From the first one on a request may wait for as long as that is of use; below the second one it is rejected at once, also while it
waits; in between it waits for as long as a rejection costs nothing.
*/
const likelyRatio = 1;
const hopelessRatio = 1 / 10;

/**
Keeps the grants of the last seconds.

@example
```
const forecast = new WaitForecast(() => clock.now());
forecast.recordGrant(120);
const {maxWaitMs} = forecast.decide({budgetMs: 800, freeMs: 120, workBeforeMs: 360});
```
*/
export class WaitForecast {
	readonly #now: () => number;
	#grants: Grant[] = [];

	constructor(now: () => number) {
		this.#now = now;
	}

	/** Number of places granted a second; zero while too few were granted lately. */
	get grantsPerSecond(): number {
		const {length} = this.#getRecent();
		return length < minGrants ? 0 : length * 1000 / windowMs;
	}

	/** Records that a request with an expected run time in milliseconds got a place, with or without a wait. */
	recordGrant(costMs: number): void {
		const recent = this.#getRecent();
		this.#grants = recent.length < minGrants ? this.#grants.slice(-minGrants) : recent;
		this.#grants.push({at: this.#now(), costMs});
	}

	/** Returns the expected time in milliseconds until a request starts behind others with the given run time, or `undefined` while it is not known. */
	getExpectedMs(workBeforeMs: number): number | undefined {
		const recent = this.#getRecent();
		return recent.length < minGrants ? undefined : getExpectedMs(recent, windowMs, workBeforeMs);
	}

	/** Decides on the wait of a request that has just arrived. One that is unlikely to start in time is rejected while that costs it nothing. */
	decide({budgetMs, freeMs, workBeforeMs}: WaitProspect): WaitDecision {
		const expectedMs = this.getExpectedMs(workBeforeMs);
		if (expectedMs === undefined) {
			return {maxWaitMs: Math.min(budgetMs, freeMs)};
		}

		if (budgetMs >= likelyRatio * expectedMs) {
			return {maxWaitMs: budgetMs, expectedMs};
		}

		return {maxWaitMs: budgetMs < hopelessRatio * expectedMs ? 0 : Math.min(budgetMs, freeMs), expectedMs};
	}

	/** Reports whether a request that waits is no longer likely to start in the time that is left. The longer no place is granted, the less likely it is. */
	isHopeless(leftMs: number, workBeforeMs: number): boolean {
		const last = this.#grants.slice(-minGrants);
		const sinceMs = last.length < minGrants ? 0 : this.#now() - last[0]!.at;
		const expectedMs = sinceMs > windowMs ? getExpectedMs(last, sinceMs, workBeforeMs) : this.getExpectedMs(workBeforeMs);
		return expectedMs !== undefined && leftMs < hopelessRatio * expectedMs;
	}

	#getRecent(): Grant[] {
		const since = this.#now() - windowMs;
		return this.#grants.filter(({at}) => at > since);
	}
}

/** Returns the expected time until a request starts, given the grants within a time. */
function getExpectedMs(grants: readonly Grant[], withinMs: number, workBeforeMs: number): number {
	const grantedMs = grants.reduce((sum, {costMs}) => sum + costMs, 0);
	return withinMs * ((workBeforeMs / Math.max(1, grantedMs)) + (1 / grants.length));
}
