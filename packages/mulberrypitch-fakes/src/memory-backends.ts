/** Back ends in memory: engines that sample their tokens, and plain services that count what they ran. */
import {BackendFailedError} from '@mulberrypitch/errors/catalogue';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {
	BackendCall, CacheCall, Engine, ExportedCache, PlainAnswer, PlainService,
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
	/** Time to recompute a token that came with the call. */
	readonly recomputeMs?: number;
	/** Time to move the cache of a token. */
	readonly transferMs?: number;
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
	/** Calls that the death of their back end broke off. */
	readonly brokenOff: Array<{readonly requestId: string; readonly address: string}> = [];
	readonly calls: MemoryCall[] = [];
	readonly #options: MemoryBackendsOptions;
	readonly #alive = new Set<string>();
	/** Tokens of the running requests and of imported caches, by engine and request. */
	readonly #contexts = new Map<string, number>();
	readonly #imported = new Map<string, number>();
	#generated = 0;
	#recomputed = 0;
	#deaths = 0;

	constructor(options: MemoryBackendsOptions) {
		this.#options = options;
	}

	/** Tokens generated so far. */
	get generated(): number {
		return this.#generated;
	}

	/** Tokens of earlier attempts that were computed again. */
	get recomputed(): number {
		return this.#recomputed;
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

	/** Streams tokens; an engine that restarts decodes the known ones again before it gives a new one. */
	async * stream(call: BackendCall, isRestarting = false): AsyncGenerator<string, void> {
		this.#begin(call);
		const {
			firstTokenMs, tokenMs, random, recomputeMs = 0,
		} = this.#options;
		const body = assumeType<{prompt: string; max_tokens?: number}>(JSON.parse(call.body.text));
		const count = body.max_tokens ?? defaultMaxTokens;
		const key = getKey(call);
		const recomputed = Math.max(0, call.tokens.length - (this.#imported.get(key) ?? 0));
		this.#imported.delete(key);
		this.#recomputed += recomputed;
		await this.#work(call, firstTokenMs + (recomputed * (isRestarting ? tokenMs : recomputeMs)));
		for (let position = call.tokens.length; position < count; position += 1) {
			this.#generated += 1;
			this.#contexts.set(key, position + 1);
			yield `${body.prompt}/${position}/${Math.floor(random.next() * sampleRange)} `;
			await this.#work(call, tokenMs);
		}
	}

	async exportCache(call: CacheCall): Promise<ExportedCache> {
		const tokens = this.#contexts.get(getKey(call));
		if (tokens === undefined || !this.#alive.has(call.address)) {
			throw new BackendFailedError(`Back end ${call.address} has no cache of request ${call.requestId}.`, {isNotSent: false});
		}

		return {handle: call.requestId, source: call.address, tokens};
	}

	async importCache(call: CacheCall, cache: ExportedCache): Promise<void> {
		await this.#options.clock.sleep(cache.tokens * (this.#options.transferMs ?? 0), call.signal);
		if (!this.#alive.has(call.address) || !this.#alive.has(cache.source)) {
			throw new BackendFailedError(`Back end ${call.address} could not fetch a cache from ${cache.source}.`, {isNotSent: false});
		}

		this.#imported.set(getKey(call), cache.tokens);
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

		if (!call.signal.aborted && !this.#alive.has(call.address)) {
			this.brokenOff.push({requestId: call.requestId, address: call.address});
		}

		if (call.signal.aborted || !this.#alive.has(call.address)) {
			throw new BackendFailedError(`Back end ${call.address} broke off.`, {isNotSent: false});
		}
	}
}

function getKey({address, requestId}: {readonly address: string; readonly requestId: string}): string {
	return `${address}/${requestId}`;
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
