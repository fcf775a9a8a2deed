/** The order in which callers are told of entry hosts. */
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {EntryAddress} from './types.js';

/** What ranking knows of an entry host. */
export type RankedEntry = EntryAddress & {
	/** Stops, so that it takes no new callers. */
	readonly isDraining: boolean;
	/** Has an old view or a long queue. */
	readonly isOverloaded: boolean;
};

/**
Gives the addresses in rotation from a random start, overloaded hosts last and draining hosts left out.

@example
```
const entries = rankEntries(known, new SeededRandom(1));
```
*/
export function rankEntries(entries: readonly RankedEntry[], random: Random): EntryAddress[] {
	const staying = entries.filter(({isDraining}) => !isDraining);
	const able = staying.filter(({isOverloaded}) => !isOverloaded);
	const overloaded = staying.filter(({isOverloaded}) => isOverloaded);
	return [...rotate(able, random), ...rotate(overloaded, random)].map(({address, zone}) => ({address, zone}));
}

function rotate<Item>(items: readonly Item[], random: Random): Item[] {
	const start = Math.floor(random.next() * items.length);
	return [...items.slice(start), ...items.slice(0, start)];
}
