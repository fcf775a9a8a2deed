/** The base of every failure that leaves a module: a code, a message and a next step. */

/** Facts that travel with a failure, for example a retry delay or the winner of a conflict. */
export type FailureDetails = Readonly<Record<string, string | number | boolean>>;

/** What a failure may carry besides its text. */
export type FailureOptions = {
	readonly details?: FailureDetails;
	/** What caused the failure; it stays in this process. */
	readonly cause?: unknown;
};

/** The form in which a failure crosses a process boundary. */
export type WireFailure = {
	readonly code: string;
	readonly message: string;
	readonly nextStep: string;
	readonly details: FailureDetails;
};

/**
A failure with a stable code.

@example
```
throw new CodedError('timeout', 'No answer within 500 ms.', 'Try again.');
```
*/
export class CodedError extends Error {
	override readonly name: string = 'CodedError';

	/** Facts that travel with the failure. */
	readonly details: FailureDetails;

	constructor(readonly code: string, message: string, readonly nextStep: string, options: FailureOptions = {}) {
		super(message, {cause: options.cause});
		this.details = options.details ?? {};
	}

	/** Gives the form that crosses process boundaries; causes and stacks stay behind. */
	toWire(): WireFailure {
		return {
			code: this.code, message: this.message, nextStep: this.nextStep, details: this.details,
		};
	}
}

/**
Restores a failure that came from another process.

@example
```
throw createErrorFromWire(reply.error.data);
```
*/
export function createErrorFromWire(wire: WireFailure): CodedError {
	return new CodedError(wire.code, wire.message, wire.nextStep, {details: wire.details});
}

/**
Tells whether a value is a failure with the given code, also when it came from another process.

@example
```
if (hasCode(error, 'not_leader')) { … }
```
*/
export function hasCode(value: unknown, code: string): value is CodedError {
	return value instanceof CodedError && value.code === code;
}

/**
Gives the message of anything that was thrown.

@example
```
logger.log(events.taskFailed, {reason: getMessage(error)});
```
*/
export function getMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

/**
Gives the code that Node puts on system errors, for example `ENOENT`.

@example
```
if (getSystemCode(error) === 'ENOENT') { … }
```
*/
export function getSystemCode(error: unknown): string | undefined {
	return error instanceof Error && 'code' in error && typeof error.code === 'string' ? error.code : undefined;
}
