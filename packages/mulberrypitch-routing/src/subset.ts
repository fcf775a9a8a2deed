/** The back ends that one host uses when there are many. */
import {hashText, rankNodes} from './rendezvous.js';
import type {Candidate} from './types.js';

const subsetSize = 32;

/**
Gives a stable part of the candidates that spans all zones evenly, or all of them when they are few.

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
