/** A model engine on virtual time: continuous batching, serial prefill and a prefix cache of limited size. */
import PQueue from 'p-queue';
import {BackendFailedError} from '@mulberrypitch/errors/catalogue';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Time after which a failing engine rejects a request. */
const failureDelayMs = 50;
/** A sequence with no more remaining tokens than this is complete; it absorbs rounding errors of the virtual time. */
const tokenTolerance = 0.01;

/** Speed and capacity of an engine. */
export type EngineSpeed = {
	/** Requests that run at once. */
	readonly slots: number;
	/** Inter-token latency of an empty batch; each sequence of the batch adds `batchTokenMs`. */
	readonly tokenMs: number;
	/** Time that each sequence of the batch adds to the inter-token latency. */
	readonly batchTokenMs: number;
	/** Prefill time of one prompt token. */
	readonly prefillTokenMs: number;
	/** Number of prompt prefixes that the cache holds. */
	readonly cachedPrefixes: number;
};

/** One request as an engine sees it. */
export type EngineWork = {
	readonly prefix: string;
	readonly prefixTokens: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
};

/** Time of the first token, and tokens of the prompt that came from the prefix cache. */
export type EngineAnswer = {
	readonly firstTokenAt: number;
	readonly cachedTokens: number;
};

type Sequence = {
	remainingTokens: number;
	readonly done: Deferred<void>;
};

/** Queues requests, prefills their prompts one after another and decodes them in one batch. */
export class BatchingEngine {
	/** Whether the engine rejects all new requests. */
	isFailing = false;
	readonly #clock: Clock;
	readonly #speed: EngineSpeed;
	readonly #queue: PQueue;
	readonly #cache = new Set<string>();
	readonly #batch = new Set<Sequence>();
	#prefillEndsAt = 0;
	#advancedAt = 0;
	#timerAbort = new AbortController();

	constructor(clock: Clock, speed: EngineSpeed) {
		this.#clock = clock;
		this.#speed = speed;
		this.#queue = new PQueue({concurrency: speed.slots});
	}

	/** Number of requests that run or wait in the engine. */
	get inFlight(): number {
		return this.#queue.pending + this.#queue.size;
	}

	/** Runs a request. Throws `BackendFailedError` when the engine is failing or the signal aborts. */
	async run(work: EngineWork, signal: AbortSignal, onFirstToken: () => void): Promise<EngineAnswer> {
		if (this.isFailing) {
			await this.#clock.sleep(failureDelayMs);
			throw new BackendFailedError('The engine is failing.');
		}

		const answer = new Deferred<EngineAnswer>();
		void this.#queue.add(async () => {
			try {
				answer.resolve(await this.#run(work, signal, onFirstToken));
			} catch (error) {
				answer.reject(error);
			}
		});
		return answer.promise;
	}

	async #run(work: EngineWork, signal: AbortSignal, onFirstToken: () => void): Promise<EngineAnswer> {
		throwIfAborted(signal);
		const cachedTokens = this.#cache.has(work.prefix) ? work.prefixTokens : 0;
		this.#prefillEndsAt = Math.max(this.#clock.now(), this.#prefillEndsAt) + ((work.promptTokens - cachedTokens) * this.#speed.prefillTokenMs);
		await this.#clock.sleep(this.#prefillEndsAt - this.#clock.now(), signal);
		throwIfAborted(signal);
		this.#cachePrefix(work.prefix);
		const firstTokenAt = this.#clock.now();
		onFirstToken();
		await this.#decode(work.answerTokens, signal);
		throwIfAborted(signal);
		return {firstTokenAt, cachedTokens};
	}

	/** Marks the prefix as the most recently used one and evicts the least recently used ones. */
	#cachePrefix(prefix: string): void {
		if (prefix === '') {
			return;
		}

		this.#cache.delete(prefix);
		this.#cache.add(prefix);
		for (const oldest of this.#cache) {
			if (this.#cache.size <= this.#speed.cachedPrefixes) {
				return;
			}

			this.#cache.delete(oldest);
		}
	}

	async #decode(tokens: number, signal: AbortSignal): Promise<void> {
		this.#advance();
		const sequence: Sequence = {remainingTokens: tokens, done: new Deferred()};
		const removeSequence = () => {
			this.#advance();
			this.#batch.delete(sequence);
			sequence.done.resolve();
			this.#schedule();
		};

		signal.addEventListener('abort', removeSequence, {once: true});
		this.#batch.add(sequence);
		this.#schedule();
		await sequence.done.promise;
		signal.removeEventListener('abort', removeSequence);
	}

	/** Subtracts the tokens generated since the last call, at the speed of the current batch. */
	#advance(): void {
		const now = this.#clock.now();
		const tokens = (now - this.#advancedAt) / this.#getStepMs();
		this.#advancedAt = now;
		for (const sequence of this.#batch) {
			sequence.remainingTokens -= tokens;
		}
	}

	#schedule(): void {
		this.#timerAbort.abort();
		this.#timerAbort = new AbortController();
		if (this.#batch.size > 0) {
			void this.#completeSequences(this.#timerAbort.signal);
		}
	}

	async #completeSequences(signal: AbortSignal): Promise<void> {
		const fewestTokens = Math.min(...[...this.#batch].map(sequence => sequence.remainingTokens));
		await this.#clock.sleep(Math.ceil(Math.max(0, fewestTokens) * this.#getStepMs()), signal);
		if (signal.aborted) {
			return;
		}

		this.#advance();
		for (const sequence of this.#batch) {
			if (sequence.remainingTokens <= tokenTolerance) {
				this.#batch.delete(sequence);
				sequence.done.resolve();
			}
		}

		this.#schedule();
	}

	#getStepMs(): number {
		return this.#speed.tokenMs + (this.#speed.batchTokenMs * this.#batch.size);
	}
}

function throwIfAborted(signal: AbortSignal): void {
	if (signal.aborted) {
		throw new BackendFailedError('The request was cancelled.');
	}
}
