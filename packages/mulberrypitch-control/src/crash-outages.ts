/** Tells crashes that a content may have caused from those of an outage, which no content caused. */

/** Time in milliseconds within which several back ends crash in an outage. */
const outageMs = 100;
/** Number of back ends that crash in an outage at least. */
const outageBackends = 3;
/** Crashes that are less than this time, in milliseconds, apart count as one: they may have one cause outside of the requests. */
const sameCrashMs = 250;

/**
Returns the number of separate crashes that speak against a content, given the times in milliseconds at which back ends crashed: `charged` of the
incarnations that ran the content, `crashedAt` of all. Several that crash at about the same time are an outage and count for nothing, unless each of them ran
the content: then they count as one crash, since an outage can't be excluded.

@example
```
const crashes = countCrashes(new Map([['i-1/1', 0]]), new Map([['i-1/1', 0], ['i-2/1', 10], ['i-3/1', 20]]));
```
*/
export function countCrashes(charged: ReadonlyMap<string, number>, crashedAt: ReadonlyMap<string, number>): number {
	const times = [...charged].filter(([, at]) => !isInOutage(at, charged, crashedAt)).map(([, at]) => at);
	let count = 0;
	let countedAt = Number.NEGATIVE_INFINITY;
	for (const at of times.toSorted((left, right) => left - right)) {
		if (at - countedAt >= sameCrashMs) {
			count += 1;
			countedAt = at;
		}
	}

	return count;
}

function isInOutage(at: number, charged: ReadonlyMap<string, number>, crashedAt: ReadonlyMap<string, number>): boolean {
	const together = [...crashedAt].filter(([, time]) => Math.abs(time - at) <= outageMs);
	return together.length >= outageBackends && together.some(([incarnation]) => !charged.has(incarnation));
}
