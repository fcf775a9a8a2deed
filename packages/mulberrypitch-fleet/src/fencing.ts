/** Fencing numbers: the leader's term and a sequence within it, as one integer. */
import {assertInvariant} from '@mulberrypitch/errors/catalogue';

const sequencesPerTerm = 2 ** 20;

/**
Gives the fencing number of one order.

@example
```
const fencing = createFencingNumber(term, sequence);
```
*/
export function createFencingNumber(term: number, sequence: number): number {
	const fencing = (term * sequencesPerTerm) + sequence;
	assertInvariant(sequence < sequencesPerTerm && Number.isSafeInteger(fencing), `Term ${term} has no fencing number ${sequence}.`);
	return fencing;
}
