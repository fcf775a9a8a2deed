/** A model engine on virtual time: continuous batching, serial prefill and a prefix cache of limited size. */
import PQueue from 'p-queue';
import {BackendFailedError} from '@mulberrypitch/errors/catalogue';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

const failureDelayMs = 50;
const minStepMs = 0.01;

/** How fast an engine is. */
export type EngineSpeed = {
	readonly slots: number;
	/** Time between tokens of a batch of one. */
	readonly tokenMs: number;
	/** Time that each further sequence of the batch adds. */
	readonly batchTokenMs: number;
	readonly prefillTokenMs: number;
	/** Prompt prefixes that the cache keeps. */
	readonly cachedPrefixes: number;
};

/** One request as an engine sees it. */
export type EngineWork = {
	readonly prefix: string;
	readonly prefixTokens: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
};

/** What an engine tells of a finished request. */
export type EngineAnswer = {
	readonly firstTokenAt: number;
	readonly cachedTokens: number;
};

type Sequence = {
	remainingTokens: number;
	readonly done: Deferred<void>;
};

/** One engine. */
export class BatchingEngine {
	/** Fails all new work. */
	isFailing = false;
	readonly #clock: Clock;
	readonly #speed: EngineSpeed;
	readonly #queue: PQueue;
	readonly #cache = new Set<string>();
	readonly #batch = new Set<Sequence>();
	#prefillEndsAt = 0;
	#advancedAt = 0;
	#timer = new AbortController();

	constructor(clock: Clock, speed: EngineSpeed) {
		this.#clock = clock;
		this.#speed = speed;
		this.#queue = new PQueue({concurrency: speed.slots});
	}

	/** Requests that run or wait in the engine. */
	get inFlight(): number {
		return this.#queue.pending + this.#queue.size;
	}

	/** Runs a request. Throws when the engine fails or the signal aborts. */
	async run(work: EngineWork, signal: AbortSignal, onFirstToken: () => void): Promise<EngineAnswer> {
		if (this.isFailing) {
			await this.#clock.sleep(failureDelayMs);
			throw new BackendFailedError('The engine fails.');
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
		assertRunning(signal);
		const cachedTokens = this.#cache.has(work.prefix) ? work.prefixTokens : 0;
		this.#prefillEndsAt = Math.max(this.#clock.now(), this.#prefillEndsAt) + ((work.promptTokens - cachedTokens) * this.#speed.prefillTokenMs);
		await this.#clock.sleep(this.#prefillEndsAt - this.#clock.now(), signal);
		assertRunning(signal);
		this.#keepPrefix(work.prefix);
		const firstTokenAt = this.#clock.now();
		onFirstToken();
		await this.#decode(work.answerTokens, signal);
		assertRunning(signal);
		return {firstTokenAt, cachedTokens};
	}

	/** Moves the prefix to the end of the cache and evicts the least recently used ones. */
	#keepPrefix(prefix: string): void {
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
		const leave = () => {
			this.#advance();
			this.#batch.delete(sequence);
			sequence.done.resolve();
			this.#schedule();
		};

		signal.addEventListener('abort', leave, {once: true});
		this.#batch.add(sequence);
		this.#schedule();
		await sequence.done.promise;
		signal.removeEventListener('abort', leave);
	}

	/** Credits the tokens generated since the last change of the batch. */
	#advance(): void {
		const now = this.#clock.now();
		const tokens = (now - this.#advancedAt) / this.#getStepMs();
		this.#advancedAt = now;
		for (const sequence of this.#batch) {
			sequence.remainingTokens -= tokens;
		}
	}

	#schedule(): void {
		this.#timer.abort();
		this.#timer = new AbortController();
		if (this.#batch.size > 0) {
			void this.#wake(this.#timer.signal);
		}
	}

	async #wake(signal: AbortSignal): Promise<void> {
		const least = Math.min(...[...this.#batch].map(sequence => sequence.remainingTokens));
		await this.#clock.sleep(Math.ceil(Math.max(0, least) * this.#getStepMs()), signal);
		if (signal.aborted) {
			return;
		}

		this.#advance();
		for (const sequence of this.#batch) {
			if (sequence.remainingTokens <= minStepMs) {
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

function assertRunning(signal: AbortSignal): void {
	if (signal.aborted) {
		throw new BackendFailedError('The request was cancelled.');
	}
}
