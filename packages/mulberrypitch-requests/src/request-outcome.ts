/** Creates the outcomes of requests that holders commit. */
import {Buffer} from 'node:buffer';
import {ends, type End, type Outcome} from '@mulberrypitch/control/types';
import type {AnswerLog} from './answer-log.js';

/** Maximum length of an answer that is stored in the outcome, in UTF-16 code units. */
const maxStoredAnswerLength = 64_000;
/** Time after which the caller may retry a request that ended without an answer. */
const retryAfterSeconds = 2;

/**
Returns the outcome of a request that ended without an answer. It has a retry delay unless the end is `unknown`.

@example
```
const outcome = createOutcomeWithoutAnswer(ends.notRun, codes.noBackend);
```
*/
export function createOutcomeWithoutAnswer(end: End, code: string): Outcome {
	return {
		end, digest: '', lengthBytes: 0, code, ...(end !== ends.unknown && {retryAfterSeconds}),
	};
}

/**
Returns the outcome of an answered request. It contains the answer itself when that has a head and is not too long.

@example
```
const outcome = createAnsweredOutcome(answer);
```
*/
export function createAnsweredOutcome(answer: AnswerLog): Outcome {
	const {head} = answer;
	const text = answer.getText();
	const isStored = head !== undefined && text.length <= maxStoredAnswerLength;
	return {
		end: ends.answered,
		digest: answer.getDigest(),
		lengthBytes: Buffer.byteLength(text),
		chunkCount: answer.length,
		...(isStored && {answer: {...head, body: text}}),
	};
}
