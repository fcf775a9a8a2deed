/** HTTP client for plain services, which send one complete response to each call. */
import {Agent, request} from 'undici';
import {TooLargeError} from '@mulberrypitch/errors/catalogue';
import {createBackendFailure} from './failure.js';
import type {BackendCall, PlainAnswer, PlainService} from './types.js';

const connectTimeoutMs = 1000;
/** Maximum time without data before the response or between parts of its body, in milliseconds. */
const inactivityTimeoutMs = 10_000;
/** Maximum number of connections to each plain service. */
const maxConnections = 256;
const maxResponseBytes = 1024 * 1024;

/** Calls plain services over HTTP. */
export class PlainClient implements PlainService {
	readonly #agent = new Agent({
		connect: {timeout: connectTimeoutMs}, connections: maxConnections, bodyTimeout: inactivityTimeoutMs, headersTimeout: inactivityTimeoutMs,
	});

	async run(call: BackendCall): Promise<PlainAnswer> {
		try {
			const {method, text, contentType} = call.body;
			const response = await request(`${call.address}${call.body.path}`, {
				method,
				dispatcher: this.#agent,
				signal: call.signal,
				headers: {
					'content-type': contentType, 'x-request-id': call.requestId, 'x-attempt': String(call.attempt),
				},
				...(method !== 'GET' && {body: text}),
			});
			const body = await response.body.text();
			if (body.length > maxResponseBytes) {
				throw new TooLargeError('The response of a plain service', maxResponseBytes);
			}

			return {
				status: response.statusCode,
				contentType: String(response.headers['content-type'] ?? 'application/octet-stream'),
				body,
			};
		} catch (error) {
			throw createBackendFailure(error, call.address);
		}
	}

	async dispose(): Promise<void> {
		await this.#agent.destroy();
	}
}
