/** An HTTP client that measures the latency and the number of tokens of its responses. */
import {Agent, request} from 'undici';
import {benchKey, benchServices} from './bench-configuration.js';

const maxConnections = 4096;
/** Text that occurs once per token in a streamed completion. */
const tokenMarker = '"content":';

/** The connection pool that all calls of one run share. */
export const callerAgent = new Agent({connections: maxConnections, bodyTimeout: 0, headersTimeout: 0});

/** The measurements of one streamed completion. Times are in milliseconds from the start of the request. */
export type Completion = {
	readonly firstTokenMs: number;
	readonly durationMs: number;
	readonly tokens: number;
};

/**
Requests a streamed completion from an entry host or an engine, and measures its latency and number of tokens.

@example
```
const {firstTokenMs} = await complete('http://127.0.0.1:8080', 'prompt', 64);
```
*/
export async function complete(address: string, prompt: string, maxTokens: number): Promise<Completion> {
	const startedAt = performance.now();
	const response = await request(`${address}/v1/chat/completions`, {
		method: 'POST',
		dispatcher: callerAgent,
		headers: {authorization: `Bearer ${benchKey}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			// eslint-disable-next-line @typescript-eslint/naming-convention -- The field name is part of the API.
			model: benchServices.engine, prompt, max_tokens: maxTokens, stream: true,
		}),
	});
	let firstTokenAt = Number.NaN;
	let tokens = 0;
	for await (const data of response.body) {
		const newTokens = countTokens(String(data));
		if (newTokens > 0 && tokens === 0) {
			firstTokenAt = performance.now();
		}

		tokens += newTokens;
	}

	return {firstTokenMs: firstTokenAt - startedAt, durationMs: performance.now() - startedAt, tokens};
}

/**
Calls the plain service. Returns the latency in milliseconds and whether the response had status 200.

@example
```
const {durationMs} = await callPlain('http://127.0.0.1:8080', 'stock/1');
```
*/
export async function callPlain(address: string, path: string): Promise<{durationMs: number; isAnswered: boolean}> {
	const startedAt = performance.now();
	const response = await request(`${address}${path}`, {
		method: 'POST', dispatcher: callerAgent, headers: {authorization: `Bearer ${benchKey}`}, body: '{}',
	});
	await response.body.dump();
	return {durationMs: performance.now() - startedAt, isAnswered: response.statusCode === 200};
}

function countTokens(text: string): number {
	return text.split(tokenMarker).length - 1;
}
