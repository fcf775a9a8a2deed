/** Measures when the parts of one response were written to the caller. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** The timing of a response in milliseconds, for the log. */
export type ResponseTimes = {
	/** Time from the arrival of the request to the first part of the response; absent when nothing was written. */
	readonly firstPartMs?: number;
	/** Longest pause between two consecutive parts. */
	readonly longestPauseMs?: number;
};

/** Records the times of the parts of one response. */
export class ResponseTiming {
	readonly #clock: Clock;
	readonly #arrivedAt: number;
	#firstAt: number | undefined;
	#lastAt = 0;
	#longestPauseMs = 0;
	#listener: ((at: number) => void) | undefined;

	constructor(clock: Clock, arrivedAt: number) {
		this.#clock = clock;
		this.#arrivedAt = arrivedAt;
	}

	/** Calls a listener at each part from now on, with the monotonic time in milliseconds. */
	observe(listener: (at: number) => void): void {
		this.#listener = listener;
	}

	/** Records that a part was written. */
	recordPart(): void {
		const now = this.#clock.now();
		if (this.#firstAt === undefined) {
			this.#firstAt = now;
		} else {
			this.#longestPauseMs = Math.max(this.#longestPauseMs, now - this.#lastAt);
		}

		this.#lastAt = now;
		this.#listener?.(now);
	}

	/** Returns the times recorded so far. */
	read(): ResponseTimes {
		return this.#firstAt === undefined
			? {}
			: {
				firstPartMs: Math.round(this.#firstAt - this.#arrivedAt), longestPauseMs: Math.round(this.#longestPauseMs),
			};
	}
}
