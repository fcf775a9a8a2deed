/** Subsetting: limits the number of back ends that one host uses. */
import {hashText, rankNodes} from './rendezvous.js';
import type {Candidate} from './types.js';

/** Number of back ends above which a host uses only a subset, and the approximate size of the subset. */
const subsetSize = 32;

/**
Returns a stable subset of the candidates for one host, with the same number from each zone if it has that many, or all
candidates if there are few.

@example
```
const subset = getSubset('entry-1', candidates);
```
*/
export function getSubset(host: string, candidates: readonly Candidate[]): readonly Candidate[] {
	if (candidates.length <= subsetSize) {
		return candidates;
	}

	const zones = [...new Set(candidates.map(({zone}) => zone))];
	const perZone = Math.ceil(subsetSize / zones.length);
	const key = hashText(host);
	return zones.flatMap(zone => rankNodes(key, candidates.filter(candidate => candidate.zone === zone), ({id}) => id).slice(0, perZone));
}
