/**
 * Divides the limits that back ends state on requests among the entries. An entry that has a part may send one request at any moment, so
 * many entries with small parts could send more together, for a moment, than the limit allows. That is why a low limit is divided
 * among few entries.
 */
import {hashText, rankNodes} from '@mulberrypitch/routing/rendezvous';
import type {LimitShare, StatedLimit} from '@mulberrypitch/serving/view-messages';

/** Time in seconds for which a limit's requests may all arrive at once, and number of requests that may do so beyond that. */
const burstSeconds = 2;
const burstRequests = 4;

/**
Returns the newest statement for each incarnation of a back end. Of two at the same time, the one with a limit holds.

@example
```
const limits = getNewestLimits(statuses.flatMap(({limits}) => limits));
```
*/
export function getNewestLimits(limits: readonly StatedLimit[]): readonly StatedLimit[] {
	const newest = new Map<string, StatedLimit>();
	for (const limit of limits) {
		const key = `${limit.backend} ${limit.startedAt}`;
		const known = newest.get(key);
		const isNewer = known === undefined || limit.ageMs < known.ageMs;
		if (isNewer || (limit.ageMs === known.ageMs && limit.requestsPerSecond !== undefined)) {
			newest.set(key, limit);
		}
	}

	return [...newest.values()];
}

/**
Returns the part of a limit that one entry may use. All coordinators that know the same entries return the same parts, which add up
to one.

@example
```
const {part} = allocateLimit(limit, 'front-1', ['front-1', 'front-2']);
```
*/
export function allocateLimit(limit: StatedLimit, entry: string, entries: readonly string[]): LimitShare {
	const {requestsPerSecond, backend} = limit;
	if (requestsPerSecond === undefined) {
		return {...limit, part: 1};
	}

	const count = Math.min(entries.length, Math.floor(requestsPerSecond * burstSeconds) + burstRequests);
	const chosen = rankNodes(hashText(backend), entries, name => name).slice(0, count);
	return {...limit, part: chosen.includes(entry) ? 1 / count : 0};
}
