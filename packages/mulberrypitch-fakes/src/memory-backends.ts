/** In-memory back ends: engines that sample tokens at random, and plain services. Accepted requests are recorded. */
import {BackendFailedError} from '@mulberrypitch/errors/catalogue';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {
	BackendCall, CacheCall, Engine, ExportedCache, PlainAnswer, PlainService,
} from '@mulberrypitch/backends/types';

const defaultMaxTokens = 64;
/** A request whose body contains this text crashes each back end that runs it. */
const poisonMarker = 'poison';
const sampleRange = 1_000_000;

/** Dependencies and timing of the back ends. Times are in milliseconds. */
export type MemoryBackendsOptions = {
	readonly clock: Clock;
	/** Random source for sampled tokens: two runs of the same prompt differ, as on a real engine. */
	readonly random: Random;
	/** Time to first token, without resumed tokens. */
	readonly firstTokenMs: number;
	/** Inter-token latency. */
	readonly tokenMs: number;
	/** Time that a call of a plain service takes. */
	readonly answerMs: number;
	/** Time to recompute the KV cache of one resumed token. */
	readonly recomputeMs?: number;
	/** Time to transfer the KV cache of one token. */
	readonly transferMs?: number;
};

/** A call that a back end accepted. */
export type MemoryCall = {
	readonly requestId: string;
	readonly attempt: number;
	readonly address: string;
	readonly body: string;
	readonly startedAt: number;
	/** Number of tokens of earlier attempts that came with the call. */
	readonly resumedTokens: number;
};

/** All back ends of one simulated run, identified by address. A back end accepts calls after `start` and until `kill`. */
export class MemoryBackends implements Engine, PlainService {
	/** Calls that failed because their back end crashed while it was running them. */
	readonly interruptedCalls: Array<{readonly requestId: string; readonly address: string}> = [];
	/** All accepted calls, oldest first. */
	readonly calls: MemoryCall[] = [];
	readonly #options: MemoryBackendsOptions;
	readonly #alive = new Set<string>();
	/** Number of answer tokens in the KV cache, including those of earlier attempts, by engine and request. */
	readonly #contextTokens = new Map<string, number>();
	/** Number of tokens of each imported KV cache that no stream has used yet, by engine and request. */
	readonly #importedTokens = new Map<string, number>();
	#generated = 0;
	#recomputed = 0;
	#crashes = 0;

	constructor(options: MemoryBackendsOptions) {
		this.#options = options;
	}

	/** Number of tokens generated so far. */
	get generated(): number {
		return this.#generated;
	}

	/** Number of tokens of earlier attempts that were recomputed or decoded again, counted when that work starts. */
	get recomputed(): number {
		return this.#recomputed;
	}

	/** Number of back end crashes caused by poison requests. */
	get deaths(): number {
		return this.#crashes;
	}

	/** Starts the back end at an address. */
	start(address: string): void {
		this.#alive.add(address);
	}

	/**
	Crashes a back end. A running call fails at its next step (the next token, or the end of the call), unless `start` is called
	before that step. KV caches are kept over the crash.
	*/
	kill(address: string): void {
		this.#alive.delete(address);
	}

	/** Reports whether the back end at an address is running. */
	isAlive(address: string): boolean {
		return this.#alive.has(address);
	}

	/**
	Streams the tokens that follow `call.tokens`, those of earlier attempts. An engine first recomputes the tokens of `call.tokens`
	that are in no imported cache, which takes `recomputeMs` each. `isRestarting` simulates a request that starts again from its
	prompt: the engine decodes these tokens again, which takes `tokenMs` each.
	*/
	async * stream(call: BackendCall, isRestarting = false): AsyncGenerator<string, void> {
		this.#beginCall(call);
		const {
			firstTokenMs, tokenMs, random, recomputeMs = 0,
		} = this.#options;
		const body = assumeType<{prompt: string; max_tokens?: number}>(JSON.parse(call.body.text));
		const count = body.max_tokens ?? defaultMaxTokens;
		const key = getContextKey(call);
		const recomputed = Math.max(0, call.tokens.length - (this.#importedTokens.get(key) ?? 0));
		this.#importedTokens.delete(key);
		this.#recomputed += recomputed;
		await this.#simulateWork(call, firstTokenMs + (recomputed * (isRestarting ? tokenMs : recomputeMs)));
		for (let position = call.tokens.length; position < count; position += 1) {
			this.#generated += 1;
			this.#contextTokens.set(key, position + 1);
			yield `${body.prompt}/${position}/${Math.floor(random.next() * sampleRange)} `;
			await this.#simulateWork(call, tokenMs);
		}
	}

	/** Describes the KV cache of a request, for `importCache`. Throws when the engine is not running or has no cache of the request. */
	async exportCache(call: CacheCall): Promise<ExportedCache> {
		const tokens = this.#contextTokens.get(getContextKey(call));
		if (tokens === undefined || !this.#alive.has(call.address)) {
			throw new BackendFailedError(`Back end ${call.address} has no cache of request ${call.requestId}.`, {isNotSent: false});
		}

		return {handle: call.requestId, source: call.address, tokens};
	}

	/**
	Fetches a KV cache from another engine. Throws when the transfer was aborted, or when either engine is not running after it.
	*/
	async importCache(call: CacheCall, cache: ExportedCache): Promise<void> {
		await this.#options.clock.sleep(cache.tokens * (this.#options.transferMs ?? 0), call.signal);
		if (call.signal.aborted || !this.#alive.has(call.address) || !this.#alive.has(cache.source)) {
			throw new BackendFailedError(`Back end ${call.address} could not fetch a cache from ${cache.source}.`, {isNotSent: false});
		}

		this.#importedTokens.set(getContextKey(call), cache.tokens);
	}

	/** Runs a call of a plain service. */
	async run(call: BackendCall): Promise<PlainAnswer> {
		this.#beginCall(call);
		await this.#simulateWork(call, this.#options.answerMs);
		return {status: 200, contentType: 'application/json', body: JSON.stringify({booked: call.body.text})};
	}

	/** Records a call, or throws when its back end is not running. */
	#beginCall(call: BackendCall): void {
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

	/** Waits for the duration, then throws when the call was aborted or its back end crashed. A poison request crashes the back end. */
	async #simulateWork(call: BackendCall, durationMs: number): Promise<void> {
		await this.#options.clock.sleep(durationMs, call.signal);
		if (call.body.text.includes(poisonMarker) && this.#alive.has(call.address)) {
			this.#crashes += 1;
			this.kill(call.address);
		}

		if (!call.signal.aborted && !this.#alive.has(call.address)) {
			this.interruptedCalls.push({requestId: call.requestId, address: call.address});
		}

		if (call.signal.aborted || !this.#alive.has(call.address)) {
			throw new BackendFailedError(`Back end ${call.address} closed the connection before the response was complete.`, {isNotSent: false});
		}
	}
}

function getContextKey({address, requestId}: {readonly address: string; readonly requestId: string}): string {
	return `${address}/${requestId}`;
}

/**
Returns the number of tokens in a text from `MemoryBackends`, or `undefined` when the text is not the prompt's tokens in order.

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
