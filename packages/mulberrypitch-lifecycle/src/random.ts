/** Seeded random numbers, which make runs reproducible. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {skipN} from 'pure-rand/utils/skipN';

/** Number of outputs of a new generator that are not used. */
const discardedOutputs = 64;

/** A source of random numbers. */
export type Random = {
	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
	next(): number;
};

/** A generator whose sequence of numbers is determined by its seed. */
export class SeededRandom implements Random {
	readonly #generator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
		// The first outputs of consecutive seeds are correlated.
		skipN(this.#generator, discardedOutputs);
	}

	next(): number {
		return uniformFloat64(this.#generator);
	}
}

/**
Returns a random number from `low` (inclusive) to `high` (exclusive).

@example
```
const timeoutMs = getRandomBetween(random, 300, 600);
```
*/
export function getRandomBetween(random: Random, low: number, high: number): number {
	return low + (random.next() * (high - low));
}
