/** A stand-in model engine that streams tokens at a fixed rate. Each token depends only on the prompt and its position. */
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {readText, StandInServer, type StandInAddress} from './stand-in-server.js';

const defaultMaxTokens = 64;

/** Address and timing of a stand-in engine. */
export type EngineServerOptions = StandInAddress & {
	/** Time to first token, in milliseconds. */
	readonly firstTokenMs: number;
	/** Inter-token latency in milliseconds; with zero, tokens are sent without pauses. */
	readonly tokenMs: number;
	readonly clock: Clock;
};

type CompletionBody = {
	readonly messages?: unknown;
	readonly prompt?: unknown;
	readonly max_tokens?: number;
	readonly resumeTokens?: readonly string[];
};

/**
Returns the token at a position of the completion of a prompt.

@example
```
getToken('hello', 0); // 'a1b2c3 '
```
*/
export function getToken(prompt: string, position: number): string {
	return createHash('sha256').update(`${prompt}:${position}`).digest('hex').slice(0, 6) + ' ';
}

/**
Returns the prompt of a request body as JSON, the form that `getToken` takes.

@example
```
getPrompt({prompt: 'hello'}); // '"hello"'
```
*/
export function getPrompt(body: {readonly messages?: unknown; readonly prompt?: unknown}): string {
	return JSON.stringify(body.messages ?? body.prompt ?? '');
}

/** Serves streamed completions over HTTP. A request with `resumeTokens` continues after these tokens. */
export class EngineServer implements Resource {
	readonly #options: EngineServerOptions;
	readonly #server: StandInServer;
	#generated = 0;
	#running = 0;

	constructor(options: EngineServerOptions) {
		this.#options = options;
		this.#server = new StandInServer(options, async (request, response) => this.#handleRequest(request, response));
	}

	/** Number of tokens generated so far. */
	get generated(): number {
		return this.#generated;
	}

	/** Number of requests in progress. */
	get running(): number {
		return this.#running;
	}

	/** Starts to listen and returns the base address. */
	async listen(): Promise<string> {
		return this.#server.listen();
	}

	/** Closes all connections immediately, like a reclaimed machine. */
	dispose(): void {
		this.#server.dispose();
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = assumeType<CompletionBody>(JSON.parse(await readText(request)));
		this.#running += 1;
		response.writeHead(200, {'content-type': 'text/event-stream'});
		const prompt = getPrompt(body);
		const count = body.max_tokens ?? defaultMaxTokens;
		const {firstTokenMs, tokenMs, clock} = this.#options;
		await clock.sleep(firstTokenMs);
		for (let position = body.resumeTokens?.length ?? 0; position < count && !response.destroyed; position += 1) {
			const choice = {index: 0, delta: {content: getToken(prompt, position)}};
			response.write(`data: ${JSON.stringify({choices: [choice]})}\n\n`);
			this.#generated += 1;
			if (tokenMs > 0) {
				await clock.sleep(tokenMs);
			}
		}

		this.#running -= 1;
		response.end('data: [DONE]\n\n');
	}
}
