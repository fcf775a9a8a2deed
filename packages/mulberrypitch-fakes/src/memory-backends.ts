/** Back ends in memory: engines that sample their tokens, and plain services that count what they ran. */
import {BackendFailedError} from '@mulberrypitch/errors/catalogue';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {
	BackendCall, Engine, PlainAnswer, PlainService,
} from '@mulberrypitch/backends/types';

const defaultMaxTokens = 64;
const poisonMarker = 'poison';
const sampleRange = 1_000_000;

/** How the back ends behave. Times are in milliseconds. */
export type MemoryBackendsOptions = {
	readonly clock: Clock;
	/** Source of sampled tokens: two runs of one prompt differ, as with a real engine. */
	readonly random: Random;
	readonly firstTokenMs: number;
	readonly tokenMs: number;
	readonly answerMs: number;
};

/** One call that a back end began to run. */
export type MemoryCall = {
	readonly requestId: string;
	readonly attempt: number;
	readonly address: string;
	readonly body: string;
	readonly startedAt: number;
	/** Tokens that the call brought along. */
	readonly resumedTokens: number;
};

/** All back ends of one simulated run, by address. */
export class MemoryBackends implements Engine, PlainService {
	readonly calls: MemoryCall[] = [];
	readonly #options: MemoryBackendsOptions;
	readonly #alive = new Set<string>();
	#generated = 0;
	#deaths = 0;

	constructor(options: MemoryBackendsOptions) {
		this.#options = options;
	}

	/** Tokens generated so far. */
	get generated(): number {
		return this.#generated;
	}

	/** Back ends that a poisonous request killed. */
	get deaths(): number {
		return this.#deaths;
	}

	/** Starts the back end of an address. */
	start(address: string): void {
		this.#alive.add(address);
	}

	/** Ends a back end at once; its calls break off. */
	kill(address: string): void {
		this.#alive.delete(address);
	}

	isAlive(address: string): boolean {
		return this.#alive.has(address);
	}

	async * stream(call: BackendCall): AsyncGenerator<string, void> {
		this.#begin(call);
		const {firstTokenMs, tokenMs, random} = this.#options;
		const body = assumeType<{prompt: string; max_tokens?: number}>(JSON.parse(call.body.text));
		const count = body.max_tokens ?? defaultMaxTokens;
		await this.#work(call, firstTokenMs);
		for (let position = call.tokens.length; position < count; position += 1) {
			this.#generated += 1;
			yield `${body.prompt}/${position}/${Math.floor(random.next() * sampleRange)} `;
			await this.#work(call, tokenMs);
		}
	}

	async run(call: BackendCall): Promise<PlainAnswer> {
		this.#begin(call);
		await this.#work(call, this.#options.answerMs);
		return {status: 200, contentType: 'application/json', body: JSON.stringify({booked: call.body.text})};
	}

	#begin(call: BackendCall): void {
		if (!this.#alive.has(call.address)) {
			throw new BackendFailedError(`Back end ${call.address} refused the connection.`, {isNotSent: true});
		}

		this.calls.push({
			requestId: call.requestId,
			attempt: call.attempt,
			address: call.address,
			body: call.body.text,
			startedAt: this.#options.clock.now(),
			resumedTokens: call.tokens.length,
		});
	}

	async #work(call: BackendCall, durationMs: number): Promise<void> {
		await this.#options.clock.sleep(durationMs, call.signal);
		if (call.body.text.includes(poisonMarker) && this.#alive.has(call.address)) {
			this.#deaths += 1;
			this.kill(call.address);
		}

		if (call.signal.aborted || !this.#alive.has(call.address)) {
			throw new BackendFailedError(`Back end ${call.address} broke off.`, {isNotSent: false});
		}
	}
}

/**
Gives the number of tokens of a text from `MemoryBackends`, or nothing when it is not one prompt's tokens in order.

@example
```
countTokens('plan/0/17 plan/1/4 ', 'plan'); // 2
```
*/
export function countTokens(text: string, prompt: string): number | undefined {
	const tokens = text.split(' ').slice(0, -1);
	const isInOrder = tokens.every((token, position) => token.startsWith(`${prompt}/${position}/`));
	return isInOrder ? tokens.length : undefined;
}
