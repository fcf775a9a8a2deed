/** The order in which callers are told of entry hosts. */
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {EntryAddress} from './types.js';

/** What ranking knows of an entry host. */
export type RankedEntry = EntryAddress & {
	/** Stops, so that it takes no new callers. */
	readonly isDraining: boolean;
	/** Has an old view or a long queue. */
	readonly isOverloaded: boolean;
	/** Requests that run or wait on it, as far as this host knows. */
	readonly demand: number;
};

/** Entries with the least demand that callers are spread over. */
const shortListLength = 3;

/**
Gives the addresses: a rotation of the few with the least demand, then the others by demand, overloaded hosts last.
Draining hosts are left out.

@example
```
const entries = rankEntries(known, new SeededRandom(1));
```
*/
export function rankEntries(entries: readonly RankedEntry[], random: Random): EntryAddress[] {
	const staying = entries.filter(({isDraining}) => !isDraining);
	const able = staying.filter(({isOverloaded}) => !isOverloaded).toSorted((left, right) => left.demand - right.demand);
	const overloaded = staying.filter(({isOverloaded}) => isOverloaded);
	const shortList = rotate(able.slice(0, shortListLength), random);
	return [...shortList, ...able.slice(shortListLength), ...rotate(overloaded, random)].map(({address, zone}) => ({address, zone}));
}

function rotate<Item>(items: readonly Item[], random: Random): Item[] {
	const start = Math.floor(random.next() * items.length);
	return [...items.slice(start), ...items.slice(0, start)];
}
