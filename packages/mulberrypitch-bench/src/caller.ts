/** A caller that measures what it gets. */
import {Agent, request} from 'undici';
import {benchKey, benchServices} from './bench-configuration.js';

const maxConnections = 4096;
const tokenMark = '"content":';

/** Connections of all callers of one run. */
export const callerAgent = new Agent({connections: maxConnections, bodyTimeout: 0, headersTimeout: 0});

/** What one streamed completion gave. Times are in milliseconds. */
export type Completion = {
	readonly firstTokenMs: number;
	readonly durationMs: number;
	readonly tokens: number;
};

/**
Streams a completion from an entry or an engine and counts its tokens.

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
			// eslint-disable-next-line @typescript-eslint/naming-convention -- The wire format's own name.
			model: benchServices.engine, prompt, max_tokens: maxTokens, stream: true,
		}),
	});
	let firstTokenAt = Number.NaN;
	let tokens = 0;
	for await (const data of response.body) {
		const found = countMarks(String(data));
		if (found > 0 && tokens === 0) {
			firstTokenAt = performance.now();
		}

		tokens += found;
	}

	return {firstTokenMs: firstTokenAt - startedAt, durationMs: performance.now() - startedAt, tokens};
}

/**
Calls the plain service and gives the time it took in milliseconds and whether it was answered.

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

function countMarks(text: string): number {
	return text.split(tokenMark).length - 1;
}
