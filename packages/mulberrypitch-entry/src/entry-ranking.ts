/** Ranks the entry hosts for the list that callers and back ends receive. */
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {EntryAddress} from './types.js';

/** An entry host with the properties by which it is ranked. */
export type EntryCandidate = EntryAddress & {
	/** Whether the host is stopping and accepts no new requests. */
	readonly isDraining: boolean;
	/** Whether requests wait so long on the host that callers should prefer others. */
	readonly isOverloaded: boolean;
	/** Number of requests that run or wait on the host, as last reported to this host. */
	readonly demand: number;
};

/** Callers are spread over this number of hosts with the least demand. */
const leastLoadedCount = 3;

/**
Returns the addresses of the hosts that are not draining, best first: the hosts with the least demand in an order rotated at
random, then the others by increasing demand, and overloaded hosts last.

@example
```
const entries = rankEntries(known, new SeededRandom(1));
```
*/
export function rankEntries(entries: readonly EntryCandidate[], random: Random): EntryAddress[] {
	const accepting = entries.filter(({isDraining}) => !isDraining);
	const byDemand = accepting.filter(({isOverloaded}) => !isOverloaded).toSorted((left, right) => left.demand - right.demand);
	const overloaded = accepting.filter(({isOverloaded}) => isOverloaded);
	const leastLoaded = rotate(byDemand.slice(0, leastLoadedCount), random);
	return [...leastLoaded, ...byDemand.slice(leastLoadedCount), ...rotate(overloaded, random)].map(({address, zone}) => ({address, zone}));
}

/** Returns the items in the same cyclic order, from a random one on. */
function rotate<Item>(items: readonly Item[], random: Random): Item[] {
	const start = Math.floor(random.next() * items.length);
	return [...items.slice(start), ...items.slice(0, start)];
}
