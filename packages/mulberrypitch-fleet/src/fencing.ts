/** Fencing tokens: the leader's term and a sequence number within the term, packed into one integer. */
import {assertInvariant} from '@mulberrypitch/errors/catalogue';

const sequencesPerTerm = 2 ** 20;

/**
Returns the fencing token of one order. Tokens increase with the sequence number, and any token of a term is higher than all
tokens of earlier terms. Throws an invariant error when the sequence number exceeds the range of one term.

@example
```
const fencing = createFencingToken(term, sequence);
```
*/
export function createFencingToken(term: number, sequence: number): number {
	const fencing = (term * sequencesPerTerm) + sequence;
	assertInvariant(sequence < sequencesPerTerm && Number.isSafeInteger(fencing), `Term ${term} has no fencing token for sequence number ${sequence}.`);
	return fencing;
}
