/** A model engine on virtual time with chunked prefill: each step decodes one token of each stream and prefills one chunk of the waiting prompts. */
import type {EventQueue} from './event-queue.js';

/** Speed and capacity of an engine. */
export type EngineModel = {
	/** Requests that run at once. */
	readonly slots: number;
	/** Duration of a step with no sequences. */
	readonly stepMs: number;
	/** Time that each sequence adds to a step. */
	readonly stepMsPerSequence: number;
	/** Time that 1,000 tokens of context add to a step. */
	readonly stepMsPerThousandTokens: number;
	/** Prefill throughput. */
	readonly promptTokensPerMs: number;
	/** Attention cost of prefill: time for a million pairs of a prompt token and a token before it. */
	readonly msPerMillionPairs: number;
	/** Time from the end of prefill to the first token. */
	readonly firstTokenMs: number;
	/** Tokens in each event of a stream. */
	readonly eventTokens: number;
	/** Prompt tokens that one step prefills at most. */
	readonly chunkTokens: number;
	/** Size of the KV cache, shared by running sequences and cached prompt parts. */
	readonly cacheTokens: number;
};

/** A part of a prompt that also occurs in other prompts. */
export type SharedPart = {
	readonly id: string;
	readonly tokens: number;
};

/** One request as an engine sees it. */
export type EngineRequest = {
	readonly promptTokens: number;
	/** Shared parts at the head of the prompt, in their order. */
	readonly parts: readonly SharedPart[];
	readonly answerTokens: number;
	/** Priority of admission; zero is the highest. */
	readonly priority: number;
	readonly onFirstToken: () => void;
	/** Called at the end of the answer with the pauses between the events of the stream. */
	readonly onEnd: (pauses: StreamPauses) => void;
};

/** Pauses between the events of one stream. */
export type StreamPauses = {
	readonly longestMs: number;
	/** Absent for a stream of one event. */
	readonly meanMs?: number;
};

type Sequence = {
	readonly request: EngineRequest;
	pendingPromptTokens: number;
	contextTokens: number;
	generatedTokens: number;
	readyAt: number;
	firstEventAt: number;
	lastEventAt: number;
	eventCount: number;
	longestPauseMs: number;
};

/** Admits requests by priority, prefills prompts in the order of admission and decodes all sequences whose prefill is complete. */
export class EmulatedEngine {
	readonly #queue: EventQueue;
	readonly #model: EngineModel;
	/** Factor of all its work per time. */
	readonly #speed: number;
	readonly #cache = new Map<string, number>();
	#cachedTokens = 0;
	readonly #waiting: EngineRequest[] = [];
	#running: Sequence[] = [];
	#isBusy = false;

	constructor(queue: EventQueue, model: EngineModel, speed = 1) {
		this.#queue = queue;
		this.#model = model;
		this.#speed = speed;
	}

	/** Queues a request. The engine reports its progress through the callbacks of the request. */
	run(request: EngineRequest): void {
		this.#waiting.push(request);
		if (!this.#isBusy) {
			this.#step();
		}
	}

	#step(): void {
		this.#admit();
		this.#isBusy = this.#running.length > 0;
		if (!this.#isBusy) {
			return;
		}

		const {stepMs, stepMsPerSequence, stepMsPerThousandTokens} = this.#model;
		const prefillMs = this.#prefillChunk();
		const contextTokens = this.#running.reduce((sum, sequence) => sum + sequence.contextTokens, 0);
		const ms = stepMs + (stepMsPerSequence * this.#running.length) + (stepMsPerThousandTokens * contextTokens / 1000) + prefillMs;
		this.#queue.add(ms / this.#speed, () => {
			this.#decodeTokens();
			this.#step();
		});
	}

	#admit(): void {
		this.#waiting.sort((left, right) => left.priority - right.priority);
		while (this.#running.length < this.#model.slots && this.#waiting.length > 0) {
			const request = this.#waiting.shift()!;
			const cached = this.#updatePrefixCache(request.parts);
			this.#running.push({
				request, pendingPromptTokens: request.promptTokens - cached, contextTokens: cached, generatedTokens: 0, readyAt: Number.POSITIVE_INFINITY,
				firstEventAt: 0, lastEventAt: 0, eventCount: 0, longestPauseMs: 0,
			});
		}
	}

	/** Returns the cached tokens up to the first missing part, caches all parts and evicts the least recently used ones. */
	#updatePrefixCache(parts: readonly SharedPart[]): number {
		const firstMiss = parts.findIndex(({id}) => !this.#cache.has(id));
		const hits = firstMiss === -1 ? parts : parts.slice(0, firstMiss);
		for (const {id, tokens} of parts) {
			this.#cachedTokens += this.#cache.delete(id) ? 0 : tokens;
			this.#cache.set(id, tokens);
		}

		const inUse = this.#running.reduce((sum, {contextTokens}) => sum + contextTokens, 0);
		for (const [id, tokens] of this.#cache) {
			if (this.#cachedTokens + inUse <= this.#model.cacheTokens) {
				break;
			}

			this.#cache.delete(id);
			this.#cachedTokens -= tokens;
		}

		return hits.reduce((sum, {tokens}) => sum + tokens, 0);
	}

	/** Prefills one chunk of the waiting prompts and returns the time that it takes. */
	#prefillChunk(): number {
		const {chunkTokens, promptTokensPerMs, msPerMillionPairs, firstTokenMs} = this.#model;
		let remaining = chunkTokens;
		let pairs = 0;
		for (const sequence of this.#running.filter(({pendingPromptTokens}) => pendingPromptTokens > 0)) {
			const tokens = Math.min(remaining, sequence.pendingPromptTokens);
			remaining -= tokens;
			pairs += tokens * (sequence.contextTokens + (tokens / 2));
			sequence.pendingPromptTokens -= tokens;
			sequence.contextTokens += tokens;
			if (sequence.pendingPromptTokens <= 0) {
				sequence.readyAt = this.#queue.now + (firstTokenMs / this.#speed);
			}
		}

		return ((chunkTokens - remaining) / promptTokensPerMs) + (msPerMillionPairs * pairs / 1_000_000);
	}

	#decodeTokens(): void {
		const {now} = this.#queue;
		for (const sequence of this.#running) {
			if (sequence.pendingPromptTokens <= 0 && now >= sequence.readyAt) {
				this.#decodeToken(sequence);
			}
		}

		const ended = this.#running.filter(({generatedTokens, request}) => generatedTokens >= request.answerTokens);
		this.#running = this.#running.filter(({generatedTokens, request}) => generatedTokens < request.answerTokens);
		for (const {request, longestPauseMs, firstEventAt, lastEventAt, eventCount} of ended) {
			request.onEnd({longestMs: longestPauseMs, ...(eventCount > 1 && {meanMs: (lastEventAt - firstEventAt) / (eventCount - 1)})});
		}
	}

	#decodeToken(sequence: Sequence): void {
		const {now} = this.#queue;
		const {request} = sequence;
		sequence.generatedTokens += 1;
		sequence.contextTokens += 1;
		if (sequence.generatedTokens === 1) {
			sequence.firstEventAt = now;
			sequence.lastEventAt = now;
			sequence.eventCount = 1;
			request.onFirstToken();
		}

		if (sequence.generatedTokens % this.#model.eventTokens === 0 || sequence.generatedTokens >= request.answerTokens) {
			sequence.longestPauseMs = Math.max(sequence.longestPauseMs, now - sequence.lastEventAt);
			sequence.eventCount += now > sequence.firstEventAt ? 1 : 0;
			sequence.lastEventAt = now;
		}
	}
}
