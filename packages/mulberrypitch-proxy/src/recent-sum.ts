/** The sum of values over a sliding window. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

type Interval = {
	readonly startedAt: number;
	sum: number;
};

/** Length in milliseconds of an interval whose values are stored as one sum. */
const intervalMs = 250;
/** Length of the window in milliseconds. */
const windowMs = 2000;

/** Sums values by interval, and drops intervals that are older than the window. */
export class RecentSum {
	readonly #clock: Clock;
	#intervals: Interval[] = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Adds a value at the current time. */
	add(value: number): void {
		const now = this.#clock.now();
		let last = this.#intervals.at(-1);
		if (last === undefined || now - last.startedAt >= intervalMs) {
			last = {startedAt: now, sum: 0};
			this.#intervals.push(last);
		}

		last.sum += value;
	}

	/** Returns the sum of the window's values, divided by the length of the window in seconds. */
	readPerSecond(): number {
		const since = this.#clock.now() - windowMs;
		this.#intervals = this.#intervals.filter(({startedAt}) => startedAt >= since);
		return this.#intervals.reduce((total, {sum}) => total + sum, 0) * 1000 / windowMs;
	}
}
