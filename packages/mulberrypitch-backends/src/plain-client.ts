/** HTTP client for plain services, which send one complete response to each call. */
import {Agent, type Dispatcher} from 'undici';
import {BackendFailedError} from '@mulberrypitch/errors/catalogue';
import {readText} from '@mulberrypitch/lifecycle/read-text';
import {createBackendFailure} from './failure.js';
import {getPauseMs} from './retry-after.js';
import type {BackendCall, PlainAnswer, PlainService} from './types.js';

const connectTimeoutMs = 1000;
/** Maximum time without data before the response or between parts of its body, in milliseconds. */
const inactivityTimeoutMs = 10_000;
/** Maximum number of connections to each plain service. */
const maxConnections = 256;
const maxResponseBytes = 1024 * 1024;

/** The parts of a response that tell how its body ends. */
type ResponseHead = Pick<Dispatcher.ResponseData, 'statusCode' | 'headers'>;

/** Highest status that HTTP defines. */
const highestStatus = 599;
/** Statuses of responses that have no body. */
const bodilessStatuses = new Set([204, 304]);

/** Calls plain services over HTTP. Refuses answers that end with their connection: the HTTP client takes a reset for such an end too. */
export class PlainClient implements PlainService {
	readonly #agent = new Agent({
		connect: {timeout: connectTimeoutMs}, connections: maxConnections, bodyTimeout: inactivityTimeoutMs, headersTimeout: inactivityTimeoutMs,
	});

	async run(call: BackendCall): Promise<PlainAnswer> {
		try {
			const {method, text, contentType} = call.body;
			const {origin, basePath} = splitBaseAddress(call.address);
			const response = await this.#agent.request({
				origin,
				// Not as part of a URL, which would be changed: `/a/../b` to `/b`, and a backslash to a slash.
				path: `${basePath}${call.body.path}`,
				method,
				signal: call.signal,
				headers: {
					'content-type': contentType, 'x-request-id': call.requestId, 'x-attempt': String(call.attempt),
				},
				...(method !== 'GET' && {body: text}),
			});
			const fault = findFault(response);
			if (fault !== undefined) {
				await response.body.dump();
				throw new BackendFailedError(`Back end ${call.address} answered ${response.statusCode} ${fault}.`, {isNotSent: false, status: response.statusCode});
			}

			const pauseMs = getPauseMs(response);
			return {
				...(pauseMs !== undefined && {pauseMs}),
				status: response.statusCode,
				contentType: String(response.headers['content-type'] ?? 'application/octet-stream'),
				body: await readText(response.body, {maxBytes: maxResponseBytes, subject: 'The response of a back end'}),
			};
		} catch (error) {
			throw createBackendFailure(error, call.address);
		}
	}

	async dispose(): Promise<void> {
		await this.#agent.destroy();
	}
}

/** Returns the parts of an address such as `http://127.0.0.1:8000/base`: its origin, and the path to which those of calls are added. */
function splitBaseAddress(address: string): {readonly origin: string; readonly basePath: string} {
	const {origin, pathname} = new URL(address);
	return {origin, basePath: pathname === '/' && !address.endsWith('/') ? '' : pathname};
}

/** Returns what keeps a response from counting as an answer, or `undefined`. */
function findFault(response: ResponseHead): string | undefined {
	if (response.statusCode > highestStatus) {
		return 'which is no status of HTTP';
	}

	return isFramed(response) ? undefined : 'with neither Content-Length nor chunks, so that a complete answer looks like a broken one';
}

/** Reports whether the end of the response's body is marked by its length or a last chunk. Any other transfer coding ends with the connection. */
function isFramed({statusCode, headers}: ResponseHead): boolean {
	return bodilessStatuses.has(statusCode) || headers['content-length'] !== undefined || String(headers['transfer-encoding']).trim().toLowerCase() === 'chunked';
}
