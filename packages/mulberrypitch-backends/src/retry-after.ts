/** Reads for how long a back end that turns a request away asks for a pause. */

/** Statuses with which a back end turns a request away. */
const unavailableStatuses = new Set([429, 503]);
/** Longest pause in seconds that a back end may ask for. */
const maxPauseSeconds = 3600;
const decimalNumber = /^\d{1,9}(?:\.\d{1,9})?$/v;

/** The parts of an answer that may ask for a pause. */
export type PausingAnswer = {
	readonly statusCode: number;
	readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
};

/**
Returns the pause in milliseconds for which an answer asks, or `undefined` when it asks for none that can be read.

@example
```
const pauseMs = getPauseMs(response);
```
*/
export function getPauseMs({statusCode, headers}: PausingAnswer): number | undefined {
	const value = headers['retry-after'];
	return unavailableStatuses.has(statusCode) && typeof value === 'string' ? parseRetryAfter(value) : undefined;
}

/**
Returns the pause in milliseconds that a value of `Retry-After` asks for, or `undefined` for a date, any other text that is no number of
seconds, or more than an hour.

@example
```
const pauseMs = parseRetryAfter('2.5');
```
*/
export function parseRetryAfter(text: string): number | undefined {
	const seconds = text.trim();
	return decimalNumber.test(seconds) && Number(seconds) <= maxPauseSeconds ? Number(seconds) * 1000 : undefined;
}
