/** Tells crashes that a content may have caused from those of an outage, which no content caused. */

/** Time in milliseconds within which several back ends crash in an outage. */
const outageMs = 100;
/** Number of back ends that crash in an outage at least. */
const outageBackends = 3;

/** Times in milliseconds at which back ends crashed, by incarnation. */
export type CrashTimes = {
	/** Of those that ran the content. */
	readonly charged: ReadonlyMap<string, number>;
	/** Of all. */
	readonly crashedAt: ReadonlyMap<string, number>;
	/** Crashes that are less than this time, in milliseconds, apart count as one. */
	readonly sameCrashMs: number;
};

/**
Returns the number of separate crashes that speak against a content. Several that crash at about the same time are an outage and count for nothing, unless
each of them ran the content: then they count as one crash, since an outage can't be excluded.

@example
```
const crashes = countCrashes({charged: new Map([['i-1/1', 0]]), crashedAt: new Map([['i-1/1', 0], ['i-2/1', 10], ['i-3/1', 20]]), sameCrashMs: 0});
```
*/
export function countCrashes({charged, crashedAt, sameCrashMs}: CrashTimes): number {
	let count = 0;
	let countedAt = Number.NEGATIVE_INFINITY;
	for (const at of [...charged.values()].toSorted((left, right) => left - right)) {
		const together = [...crashedAt].filter(([, time]) => Math.abs(time - at) <= outageMs);
		const isTogether = together.length >= outageBackends;
		const isOutage = isTogether && together.some(([incarnation]) => !charged.has(incarnation));
		const isSameCrash = at - countedAt < sameCrashMs || (isTogether && at - countedAt <= outageMs);
		if (!isOutage && !isSameCrash) {
			count += 1;
			countedAt = at;
		}
	}

	return count;
}
