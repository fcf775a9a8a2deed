/** Tells crashes of an outage, which no request caused, from crashes that a request may have caused. */

/** Time in milliseconds within which several back ends crash in an outage. */
const outageMs = 100;
/** Number of back ends that crash in an outage at least. */
const outageBackends = 3;

/**
Returns the incarnations that crashed at about the same time as several others, given the times of all crashes in milliseconds. Whatever
they were running is no evidence against any content.

@example
```
const unrelated = findOutages(new Map([['i-1/1', 0], ['i-2/1', 10], ['i-3/1', 20]]));
```
*/
export function findOutages(crashedAt: ReadonlyMap<string, number>): ReadonlySet<string> {
	const times = [...crashedAt.values()];
	const isOutage = (at: number) => times.filter(time => Math.abs(time - at) <= outageMs).length >= outageBackends;
	return new Set([...crashedAt].filter(([, at]) => isOutage(at)).map(([incarnation]) => incarnation));
}
