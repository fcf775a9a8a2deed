/** The parts of the HTTP protocol between callers, proxy and back ends that the deployment chooses. */

/** Names of headers, in lower case, as the deployment's callers and back ends use them. */
export type HeaderNames = {
	/** Identifies one request that a caller sends, and the response to it. */
	readonly attemptId: string;
	/** Time in milliseconds for which the sender waits for the response. */
	readonly deadline: string;
	/** Signature that proves which back end made the response. */
	readonly signature: string;
	/** Present in responses to requests that the back end did not run. */
	readonly notRun: string;
	/** Identifier of the only back end that may run the request. */
	readonly expectedBackend: string;
	/** Name of the caller's workspace, for the back end. */
	readonly workspace: string;
	/** Identifier of the last received event of a stream, after which the stream is to be resumed. */
	readonly lastEventId: string;
	/** Identifier of the attempt that brought the first event of a stream that the caller takes up again. */
	readonly resumedAttempt: string;
	/** Number of prompt tokens and maximum number of output tokens, separated by a comma. */
	readonly tokenCount: string;
	/** Parts of the prompt as `ID:TOKENS`, separated by commas. */
	readonly promptParts: string;
	/** Priority of the request at the back end; zero is the most urgent. */
	readonly backendPriority: string;
	/** Present in a request that another entry passes on, which takes no further hop. */
	readonly hop: string;
	/** Headers that only the proxy may set; a caller's headers with these names are dropped. */
	readonly reserved: readonly string[];
};

/** Status with which a process replies to a request that names another back end as the expected one. */
export const misdirectedStatus = 421;

/** Statuses that promise the caller that no back end has run the request, and that none will. */
const promiseStatuses = new Set([408, misdirectedStatus, 429, 503]);

/**
Reports whether a status promises the caller that no back end has run the request, and that none will. A back end that means this states it in a
header too; its status alone says nothing of whether the request has run.

@example
```
promisesNotRun(503); // true
```
*/
export function promisesNotRun(status: number): boolean {
	return promiseStatuses.has(status);
}
