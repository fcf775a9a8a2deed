/** The parts of the wire protocol that the deployment chooses. */

/** Names of headers, in lower case, as the deployment's callers and back ends use them. */
export type HeaderNames = {
	/** Identifies one attempt of a caller and the response to it. */
	readonly attemptId: string;
	/** Time in milliseconds that the caller waits. */
	readonly deadline: string;
	/** Signature that proves which back end made the response. */
	readonly signature: string;
	/** Present in responses to requests that the back end did not execute. */
	readonly notRun: string;
	/** Names the only back end that may execute the request. */
	readonly expectedBackend: string;
	/** Tells the back end the caller's workspace. */
	readonly workspace: string;
	/** Identifier of the last event of a stream that was received. */
	readonly lastEventId: string;
	/** Prompt tokens and the most output tokens, separated by a comma. */
	readonly tokenCount: string;
	/** Parts of the prompt as `ID:TOKENS`, separated by commas. */
	readonly promptParts: string;
	/** Priority at the back end; zero is the most urgent. */
	readonly backendPriority: string;
	/** Headers that only the proxy may set; a caller's headers with these names are dropped. */
	readonly reserved: readonly string[];
};

/** Status of a response from another process at the address of the expected back end. */
export const misdirectedStatus = 421;
