/** When the parts of one answer went to the caller. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** What the log tells of an answer's timing, in milliseconds. */
export type ResponseTimes = {
	/** From the request to the first part of the answer; absent without any. */
	readonly firstPartMs?: number;
	/** Longest pause between two parts. */
	readonly longestPauseMs?: number;
};

/** Follows the parts of one answer. */
export class ResponseTiming {
	readonly #clock: Clock;
	readonly #arrivedAt: number;
	#firstAt: number | undefined;
	#lastAt = 0;
	#longestPauseMs = 0;

	constructor(clock: Clock, arrivedAt: number) {
		this.#clock = clock;
		this.#arrivedAt = arrivedAt;
	}

	/** Notes that a part was written. */
	note(): void {
		const now = this.#clock.now();
		if (this.#firstAt === undefined) {
			this.#firstAt = now;
		} else {
			this.#longestPauseMs = Math.max(this.#longestPauseMs, now - this.#lastAt);
		}

		this.#lastAt = now;
	}

	read(): ResponseTimes {
		return this.#firstAt === undefined
			? {}
			: {
				firstPartMs: Math.round(this.#firstAt - this.#arrivedAt), longestPauseMs: Math.round(this.#longestPauseMs),
			};
	}
}
