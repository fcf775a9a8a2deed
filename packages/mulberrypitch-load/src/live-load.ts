/** Open-loop load generator for a live system: the times of the requests don't depend on the answers. */
import {build, type Histogram} from 'hdr-histogram-js';
import {request, type Dispatcher} from 'undici';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';

const percentile = 95;
const longAnswerShare = 0.1;
const longAnswerTokens = 800;
const shortAnswerTokens = 60;
const okStatus = 200;
const maxTokensField = 'max_tokens';

/** Target and rate of the load. */
export type LiveLoad = {
	/** Base URL of an entry host. */
	readonly host: string;
	/** API key of the workspace. */
	readonly key: string;
	/** Engine service that receives the requests. */
	readonly service: string;
	readonly ratePerSecond: number;
	readonly durationMs: number;
	readonly clock: Clock;
	readonly random: Random;
};

/** Measurements of a run. */
export type LiveResult = {
	readonly sent: number;
	/** Answers received completely. */
	readonly answered: number;
	/** Number of refused and failed requests, by HTTP status, or `broken` for a lost connection or an incomplete answer. */
	readonly failures: Readonly<Record<string, number>>;
	/** 95th percentile of the time to the first token, of complete answers. */
	readonly firstTokenP95Ms: number;
	/** 95th percentile of the time to the end of the answer. */
	readonly wholeP95Ms: number;
};

/**
Sends the load and waits for all answers.

@example
```
const result = await runLiveLoad({host, key, service: 'advice', ratePerSecond: 5, durationMs: 10_000, clock, random});
```
*/
export async function runLiveLoad(load: LiveLoad): Promise<LiveResult> {
	return new LiveRun(load).run();
}

class LiveRun {
	readonly #load: LiveLoad;
	readonly #firstToken = build();
	readonly #wholeAnswer = build();
	readonly #failures = new Map<string, number>();
	#sent = 0;

	constructor(load: LiveLoad) {
		this.#load = load;
	}

	async run(): Promise<LiveResult> {
		const {clock, random, ratePerSecond, durationMs} = this.#load;
		const end = clock.now() + durationMs;
		const pending: Array<Promise<void>> = [];
		let next = clock.now();
		while (next < end) {
			await clock.sleep(next - clock.now());
			pending.push(this.#send(next, random.next() < longAnswerShare ? longAnswerTokens : shortAnswerTokens));
			next += -Math.log(1 - random.next()) * 1000 / ratePerSecond;
		}

		await Promise.all(pending);
		return {
			sent: this.#sent,
			answered: this.#wholeAnswer.totalCount,
			failures: Object.fromEntries(this.#failures),
			firstTokenP95Ms: getPercentile(this.#firstToken),
			wholeP95Ms: getPercentile(this.#wholeAnswer),
		};
	}

	/** Sends one request. Its latency is measured from its due time, so that a delay of the generator itself counts as latency. */
	async #send(dueAt: number, maxTokens: number): Promise<void> {
		const {host, key, service} = this.#load;
		this.#sent += 1;
		try {
			const response = await request(new URL('/v1/chat/completions', host), {
				method: 'POST',
				headers: {authorization: `Bearer ${key}`, 'content-type': 'application/json'},
				body: JSON.stringify({
					model: service, stream: true, [maxTokensField]: maxTokens, messages: [{role: 'user', content: `load ${this.#sent}`}],
				}),
			});
			await this.#read(response, dueAt);
		} catch {
			this.#addFailure('broken');
		}
	}

	async #read({statusCode, body}: Dispatcher.ResponseData, dueAt: number): Promise<void> {
		if (statusCode !== okStatus) {
			await body.dump();
			this.#addFailure(String(statusCode));
			return;
		}

		let text = '';
		let firstAt: number | undefined;
		for await (const part of body) {
			firstAt ??= this.#load.clock.now();
			text += String(part);
		}

		if (!text.includes('[DONE]')) {
			this.#addFailure('broken');
			return;
		}

		this.#firstToken.recordValue(Math.round(Math.max(0, firstAt! - dueAt)));
		this.#wholeAnswer.recordValue(Math.round(Math.max(0, this.#load.clock.now() - dueAt)));
	}

	#addFailure(kind: string): void {
		this.#failures.set(kind, (this.#failures.get(kind) ?? 0) + 1);
	}
}

function getPercentile(histogram: Histogram): number {
	return histogram.getValueAtPercentile(percentile);
}
