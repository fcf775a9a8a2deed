/** The largest value of the last seconds. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

type Sample = {
	readonly at: number;
	readonly value: number;
};

/** Keeps a value up for a while after it fell. */
export class RecentMaximum {
	readonly #clock: Clock;
	readonly #windowMs: number;
	#samples: Sample[] = [];

	constructor(clock: Clock, keptMs: number) {
		this.#clock = clock;
		this.#windowMs = keptMs;
	}

	add(value: number): void {
		const at = this.#clock.now();
		this.#samples = [...this.#samples.filter(sample => sample.value > value && sample.at > at - this.#windowMs), {at, value}];
	}

	/** Gives the largest value, or the last one when all are old; nothing before the first. */
	read(): number | undefined {
		const since = this.#clock.now() - this.#windowMs;
		return (this.#samples.find(({at}) => at > since) ?? this.#samples.at(-1))?.value;
	}
}
