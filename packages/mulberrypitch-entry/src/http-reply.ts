/** Reads and parses HTTP request bodies, and sends JSON responses. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import type {BodyStore} from '@mulberrypitch/lifecycle/body-store';
import {
	BadRequestError, codes, InternalError, OverloadedError, TooLargeError,
} from '@mulberrypitch/errors/catalogue';

const maxBodyBytes = 1024 * 1024;
/** Time in seconds after which a request that found too many bodies may be sent again. */
const crowdedRetrySeconds = 1;

/** HTTP status of each error code that does not lead to status 500. */
const statusByCode: Readonly<Record<string, number>> = {
	[codes.badRequest]: 400,
	[codes.settings]: 400,
	[codes.unauthorized]: 401,
	[codes.notFound]: 404,
	[codes.conflict]: 409,
	[codes.tooLarge]: 413,
	[codes.quarantined]: 422,
	[codes.overloaded]: 429,
	[codes.backendFailed]: 502,
	[codes.outcomeUnknown]: 502,
	[codes.draining]: 503,
	[codes.staleView]: 503,
	[codes.noBackend]: 503,
	[codes.versionGone]: 503,
	[codes.notRun]: 503,
	[codes.notLeader]: 503,
	[codes.peerUnreachable]: 503,
	[codes.timeout]: 503,
	[codes.deadlineExceeded]: 504,
};

/**
Reads the body of a request as UTF-8 text. Throws `TooLargeError` when it is larger than 1 MiB, and `OverloadedError` when the bodies of all requests together
take too much memory.

@example
```
const text = await readBody(request, bodies);
```
*/
export async function readBody(request: IncomingMessage, bodies: BodyStore): Promise<string> {
	const stored = await bodies.read(request, maxBodyBytes);
	if (stored.kind === 'whole') {
		return Buffer.from(stored.body).toString();
	}

	throw stored.kind === 'tooLong' ? new TooLargeError('The request body', maxBodyBytes) : new OverloadedError('Too many bodies are being sent.', crowdedRetrySeconds);
}

/**
Parses a text as a JSON object. Throws `BadRequestError` when it is anything else.

@example
```
const body = parseJson(await readBody(request, bodies));
```
*/
export function parseJson(text: string): Record<string, unknown> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		throw new BadRequestError('The request body is not valid JSON.');
	}

	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		throw new BadRequestError('The request body is not a JSON object.');
	}

	return {...value};
}

/**
Sends a value as a JSON response.

@example
```
sendJson(response, 200, {status: 'ok'});
```
*/
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(value) + '\n');
}

/**
Returns the error with which a request is answered: the error itself, or an `InternalError` for an error without a code.

@example
```
metrics.count('failures', 'Failures by code.', {code: toFailure(error).code});
```
*/
export function toFailure(error: unknown): CodedError {
	return error instanceof CodedError ? error : new InternalError({cause: error});
}

/**
Sends an error as a JSON response, with a `Retry-After` header when the error has a retry delay. An error without a code is sent
with the code `internal` and without its message.

@example
```
sendFailure(response, new DrainingError());
```
*/
export function sendFailure(response: ServerResponse, error: unknown): void {
	const failure = toFailure(error);
	const retryAfter = failure.details.retryAfterSeconds;
	if (retryAfter !== undefined) {
		response.setHeader('retry-after', String(retryAfter));
	}

	sendJson(response, getStatus(failure.code), {error: failure.toWire()});
}

/**
Returns the HTTP status for an error code: 500 for codes without a status of their own.

@example
```
getStatus('overloaded'); // 429
```
*/
export function getStatus(code: string): number {
	return statusByCode[code] ?? 500;
}
