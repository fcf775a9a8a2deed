/** Reading requests and writing replies within bounds. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {
	BadRequestError, codes, InvariantError, TooLargeError,
} from '@mulberrypitch/errors/catalogue';

const maxBodyBytes = 1024 * 1024;

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
	[codes.notRun]: 503,
	[codes.notLeader]: 503,
	[codes.peerUnreachable]: 503,
	[codes.timeout]: 503,
	[codes.deadlineExceeded]: 504,
};

/**
Reads a body as text. Throws `TooLargeError` past the bound, in bytes.

@example
```
const text = await readBody(request);
```
*/
export async function readBody(request: IncomingMessage): Promise<string> {
	const parts: Uint8Array[] = [];
	let length = 0;
	for await (const part of request as AsyncIterable<Uint8Array>) {
		length += part.length;
		if (length > maxBodyBytes) {
			throw new TooLargeError('The body', maxBodyBytes);
		}

		parts.push(part);
	}

	return Buffer.concat(parts).toString();
}

/**
Parses a JSON text into an object.

@example
```
const body = parseJson(await readBody(request));
```
*/
export function parseJson(text: string): Record<string, unknown> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		throw new BadRequestError('The body is not JSON.');
	}

	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		throw new BadRequestError('The body is not a JSON object.');
	}

	return {...value};
}

/**
Writes a JSON reply.

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
Writes a failure, with `Retry-After` where there is a time to come back.

@example
```
sendFailure(response, new DrainingError());
```
*/
export function sendFailure(response: ServerResponse, error: unknown): void {
	const failure = error instanceof CodedError ? error : new InvariantError('The request could not be handled.');
	const retryAfter = failure.details.retryAfterSeconds;
	if (retryAfter !== undefined) {
		response.setHeader('retry-after', String(retryAfter));
	}

	sendJson(response, getStatus(failure.code), {error: failure.toWire()});
}

/**
Gives the HTTP status of a failure code.

@example
```
getStatus('overloaded'); // 429
```
*/
export function getStatus(code: string): number {
	return statusByCode[code] ?? 500;
}
