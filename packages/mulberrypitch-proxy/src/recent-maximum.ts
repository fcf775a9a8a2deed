/** The maximum of a value over a sliding window. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

type Sample = {
	readonly at: number;
	readonly value: number;
};

/** Holds each value until one at least as large is added. Values older than the window are used only if there is no newer one. */
export class RecentMaximum {
	readonly #clock: Clock;
	readonly #windowMs: number;
	#samples: Sample[] = [];

	constructor(clock: Clock, windowMs: number) {
		this.#clock = clock;
		this.#windowMs = windowMs;
	}

	/** Adds a value at the current time. */
	add(value: number): void {
		const at = this.#clock.now();
		this.#samples = [...this.#samples.filter(sample => sample.value > value && sample.at > at - this.#windowMs), {at, value}];
	}

	/** Returns the maximum of the window, or the last value when all are older; `undefined` before the first value. */
	read(): number | undefined {
		const since = this.#clock.now() - this.#windowMs;
		return (this.#samples.find(({at}) => at > since) ?? this.#samples.at(-1))?.value;
	}
}
