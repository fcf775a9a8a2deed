/** The base class of all errors that leave a module. Each error has a code, a message and a next step for its reader. */

/** Structured data of an error, which is sent to other processes too: for example a retry delay or the winner of a conflict. */
export type FailureDetails = Readonly<Record<string, string | number | boolean>>;

/** Optional properties of an error. */
export type FailureOptions = {
	readonly details?: FailureDetails;
	/** The error that caused this one. It is not sent to other processes. */
	readonly cause?: unknown;
};

/** The JSON form in which an error is sent to other processes. */
export type WireFailure = {
	readonly code: string;
	readonly message: string;
	readonly nextStep: string;
	readonly details: FailureDetails;
};

/**
An error with a stable code.

@example
```
throw new CodedError('timeout', 'No answer within 500 ms.', 'Try again.');
```
*/
export class CodedError extends Error {
	override readonly name: string = 'CodedError';

	/** Structured data, which is sent to other processes too. */
	readonly details: FailureDetails;

	constructor(readonly code: string, message: string, readonly nextStep: string, options: FailureOptions = {}) {
		super(message, {cause: options.cause});
		this.details = options.details ?? {};
	}

	/** Returns the form that is sent to other processes, without cause and stack trace. */
	toWire(): WireFailure {
		return {
			code: this.code, message: this.message, nextStep: this.nextStep, details: this.details,
		};
	}
}

/**
Creates an error from the form that another process sent. It is a plain `CodedError`, so compare its code, not its class.

@example
```
throw createErrorFromWire(reply.error.data);
```
*/
export function createErrorFromWire(wire: WireFailure): CodedError {
	return new CodedError(wire.code, wire.message, wire.nextStep, {details: wire.details});
}

/**
Reports whether a value that another process sent is an error in its JSON form.

@example
```
if (isWireFailure(reply.error)) { … }
```
*/
export function isWireFailure(value: unknown): value is WireFailure {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {code, message, nextStep, details}: Partial<Record<keyof WireFailure, unknown>> = value;
	return typeof code === 'string' && typeof message === 'string' && typeof nextStep === 'string' && typeof details === 'object' && details !== null;
}

/**
Reports whether a value is a `CodedError` with the given code. Works for errors from other processes too.

@example
```
if (hasCode(error, 'not_leader')) { … }
```
*/
export function hasCode(value: unknown, code: string): value is CodedError {
	return value instanceof CodedError && value.code === code;
}

/**
Returns the message of any thrown value.

@example
```
logger.log(events.taskFailed, {reason: getMessage(error)});
```
*/
export function getMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

/**
Returns the code of a Node.js system error, for example `ENOENT`, or `undefined` when the value has no code.

@example
```
if (getSystemCode(error) === 'ENOENT') { … }
```
*/
export function getSystemCode(error: unknown): string | undefined {
	return error instanceof Error && 'code' in error && typeof error.code === 'string' ? error.code : undefined;
}
