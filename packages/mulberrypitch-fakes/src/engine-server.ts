/** A stand-in model engine: streams tokens that depend only on the prompt, at a set rate. */
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {readText, StandInServer, type StandInAddress} from './stand-in-server.js';

const defaultMaxTokens = 64;

/** How a stand-in engine behaves. Times are in milliseconds. */
export type EngineServerOptions = StandInAddress & {
	readonly firstTokenMs: number;
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
Gives the token of a prompt at a position.

@example
```
getToken('hello', 0); // 'a1b2c3 '
```
*/
export function getToken(prompt: string, position: number): string {
	return createHash('sha256').update(`${prompt}:${position}`).digest('hex').slice(0, 6) + ' ';
}

/**
Gives the prompt text that tokens depend on.

@example
```
getPrompt({prompt: 'hello'}); // '"hello"'
```
*/
export function getPrompt(body: {readonly messages?: unknown; readonly prompt?: unknown}): string {
	return JSON.stringify(body.messages ?? body.prompt ?? '');
}

/** Serves completions. */
export class EngineServer implements Resource {
	readonly #options: EngineServerOptions;
	readonly #server: StandInServer;
	#generated = 0;
	#running = 0;

	constructor(options: EngineServerOptions) {
		this.#options = options;
		this.#server = new StandInServer(options, async (request, response) => this.#answer(request, response));
	}

	/** Tokens generated so far. */
	get generated(): number {
		return this.#generated;
	}

	/** Requests in progress. */
	get running(): number {
		return this.#running;
	}

	/** Starts to listen. Resolves with the base address. */
	async listen(): Promise<string> {
		return this.#server.listen();
	}

	/** Dies at once, as a reclaimed machine does. */
	dispose(): void {
		this.#server.dispose();
	}

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
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
