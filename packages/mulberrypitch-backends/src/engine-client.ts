/** HTTP client for model engines, which stream OpenAI-compatible completions as server-sent events. */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {Agent, request} from 'undici';
import {BackendFailedError} from '@mulberrypitch/errors/catalogue';
import {ByteBuffer} from '@mulberrypitch/lifecycle/byte-buffer';
import {readText} from '@mulberrypitch/lifecycle/read-text';
import {createBackendFailure} from './failure.js';
import {getPauseMs} from './retry-after.js';
import type {
	BackendCall, CacheCall, Engine, ExportedCache,
} from './types.js';

const connectTimeoutMs = 1000;
/** Maximum wait for the response headers, and between two parts of the body, in milliseconds. */
const inactivityTimeoutMs = 10_000;
/** Maximum number of connections to each engine. */
const maxConnections = 256;
/** Largest reply of the cache API in bytes. */
const maxReplyBytes = 64 * 1024;
/** Largest size in bytes of a line of a stream. */
const maxLineBytes = 256 * 1024;
const lineFeed = 0x0A;
const dataPrefix = 'data: ';
/** Data of the line with which an engine ends a complete stream. */
const finishMarker = '[DONE]';

/** The parts of a completion event that are read: `text` of a completion, or `delta` of a chat completion. */
type Completion = {
	readonly choices?: ReadonlyArray<{
		readonly text?: string;
		readonly delta?: {readonly content?: string};
	}>;
};

/** Streams completions from engines, and exports and imports KV caches to move them between engines. */
export class EngineClient implements Engine {
	readonly #agent = new Agent({
		connect: {timeout: connectTimeoutMs}, connections: maxConnections, bodyTimeout: inactivityTimeoutMs, headersTimeout: inactivityTimeoutMs,
	});

	async * stream(call: BackendCall): AsyncGenerator<string, void> {
		try {
			const response = await request(`${call.address}${call.body.path}`, {
				method: 'POST',
				dispatcher: this.#agent,
				signal: call.signal,
				headers: {
					'content-type': 'application/json', 'x-request-id': call.requestId, 'x-attempt': String(call.attempt),
				},
				body: createRequestBody(call),
			});
			if (response.statusCode !== 200) {
				await response.body.dump();
				const pauseMs = getPauseMs(response);
				throw new BackendFailedError(`Engine ${call.address} answered ${response.statusCode}.`, {
					isNotSent: false, status: response.statusCode, ...(pauseMs !== undefined && {pauseMs}),
				});
			}

			yield * readTokens(response.body, call.address);
		} catch (error) {
			throw createBackendFailure(error, call.address);
		}
	}

	async exportCache(call: CacheCall): Promise<ExportedCache> {
		const {handle, tokens} = await this.#postCache(call, 'export', {requestId: call.requestId});
		if (handle === undefined || tokens === undefined) {
			throw new BackendFailedError(`Engine ${call.address} exported a cache, but its reply has no handle or no token count.`, {isNotSent: false});
		}

		return {handle, tokens, source: call.address};
	}

	async importCache(call: CacheCall, cache: ExportedCache): Promise<void> {
		await this.#postCache(call, 'import', {requestId: call.requestId, ...cache});
	}

	async dispose(): Promise<void> {
		await this.#agent.destroy();
	}

	/** Calls the KV cache API of an engine. Returns the reply, whose fields are not checked. */
	async #postCache(call: CacheCall, operation: 'export' | 'import', body: Readonly<Record<string, string | number>>): Promise<Partial<ExportedCache>> {
		try {
			const response = await request(`${call.address}/v1/cache/${operation}`, {
				method: 'POST',
				dispatcher: this.#agent,
				signal: call.signal,
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(body),
			});
			if (response.statusCode !== 200) {
				await response.body.dump();
				throw new BackendFailedError(`Engine ${call.address} answered ${response.statusCode} to a cache ${operation}.`, {isNotSent: false, status: response.statusCode});
			}

			return assumeType<Partial<ExportedCache>>(JSON.parse(await readText(response.body, {maxBytes: maxReplyBytes, subject: 'The reply of a back end about its cache'})));
		} catch (error) {
			throw createBackendFailure(error, call.address);
		}
	}
}

/** Returns the caller's body with `stream` set, and with the tokens of earlier attempts, if any, after which the engine resumes. */
function createRequestBody(call: BackendCall): string {
	const body = assumeType<Record<string, unknown>>(JSON.parse(call.body.text));
	return JSON.stringify({...body, stream: true, ...(call.tokens.length > 0 && {resumeTokens: call.tokens})});
}

/**
Yields the text of each event that has any; each text counts as one token. Throws `BackendFailedError` when the stream ends without the
`[DONE]` line, a line is too long, or a data line is not JSON.
*/
async function * readTokens(body: AsyncIterable<Uint8Array>, address: string): AsyncGenerator<string, void> {
	const incompleteLine = new ByteBuffer();
	for await (const data of body) {
		const linesEnd = data.lastIndexOf(lineFeed) + 1;
		incompleteLine.append(data.subarray(0, linesEnd));
		const lines = linesEnd === 0 ? [] : incompleteLine.take().toString().split('\n');
		incompleteLine.append(data.subarray(linesEnd));
		if (incompleteLine.lengthBytes > maxLineBytes) {
			throw new BackendFailedError(`Engine ${address} sent a line of more than ${maxLineBytes} bytes.`, {isNotSent: false});
		}

		for (const line of lines) {
			if (!line.startsWith(dataPrefix)) {
				continue;
			}

			const text = line.slice(dataPrefix.length);
			if (text === finishMarker) {
				return;
			}

			const token = parseToken(text, address);
			if (token !== '') {
				yield token;
			}
		}
	}

	throw new BackendFailedError(`Engine ${address} ended the stream without the "data: [DONE]" line.`, {isNotSent: false});
}

function parseToken(text: string, address: string): string {
	try {
		const choice = assumeType<Completion>(JSON.parse(text)).choices?.[0];
		return choice?.delta?.content ?? choice?.text ?? '';
	} catch (error) {
		throw new BackendFailedError(`Engine ${address} sent a data line that is not valid JSON.`, {isNotSent: false}, {cause: error});
	}
}
