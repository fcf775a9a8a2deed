/** Seeded random numbers, so that a run can be repeated. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {skipN} from 'pure-rand/utils/skipN';

const skippedNumbers = 64;

/** A source of random numbers. */
export type Random = {
	/** A number from 0 (included) to 1 (excluded). */
	next(): number;
};

/** Repeatable random numbers from a seed. */
export class SeededRandom implements Random {
	readonly #generator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
		// The first numbers of neighbouring seeds are alike.
		skipN(this.#generator, skippedNumbers);
	}

	next(): number {
		return uniformFloat64(this.#generator);
	}
}

/**
Gives a number between two bounds.

@example
```
const timeoutMs = getBetween(random, 300, 600);
```
*/
export function getBetween(random: Random, low: number, high: number): number {
	return low + (random.next() * (high - low));
}
