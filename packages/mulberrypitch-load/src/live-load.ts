/** Sends requests to a live system in an open loop: their times don't depend on the answers. */
import {build, type Histogram} from 'hdr-histogram-js';
import {request, type Dispatcher} from 'undici';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';

const percentile = 95;
const longPart = 0.1;
const longTokens = 800;
const shortTokens = 60;
const okStatus = 200;
const maxTokensField = 'max_tokens';

/** What to send and where. */
export type LiveLoad = {
	/** Base address of an entry host. */
	readonly host: string;
	/** Key of the workspace. */
	readonly key: string;
	/** Engine service to ask. */
	readonly service: string;
	readonly ratePerSecond: number;
	readonly durationMs: number;
	readonly clock: Clock;
	readonly random: Random;
};

/** What was measured. */
export type LiveResult = {
	readonly sent: number;
	/** Answers received whole. */
	readonly answered: number;
	/** Refusals and failures, by HTTP status or `broken`. */
	readonly failures: Readonly<Record<string, number>>;
	readonly firstTokenP95Ms: number;
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
	readonly #whole = build();
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
			pending.push(this.#send(next, random.next() < longPart ? longTokens : shortTokens));
			next += -Math.log(1 - random.next()) * 1000 / ratePerSecond;
		}

		await Promise.all(pending);
		return {
			sent: this.#sent,
			answered: this.#whole.totalCount,
			failures: Object.fromEntries(this.#failures),
			firstTokenP95Ms: getPercentile(this.#firstToken),
			wholeP95Ms: getPercentile(this.#whole),
		};
	}

	/** Sends one request. Its latency counts from the time at which it was due. */
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
		this.#whole.recordValue(Math.round(Math.max(0, this.#load.clock.now() - dueAt)));
	}

	#addFailure(kind: string): void {
		this.#failures.set(kind, (this.#failures.get(kind) ?? 0) + 1);
	}
}

function getPercentile(histogram: Histogram): number {
	return histogram.getValueAtPercentile(percentile);
}
