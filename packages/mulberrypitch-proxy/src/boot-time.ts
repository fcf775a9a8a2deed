/** Time that also counts the suspension of the machine, read seldom enough to be asked at each choice of a back end. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Longest time in milliseconds for which a reading is used. */
const maxReadingAgeMs = 50;

/** Reads the time since boot at most once in some milliseconds, and adds the monotonic time that has passed since. */
export class BootTime {
	readonly #clock: Clock;
	readonly #read: () => number;
	#bootTime = 0;
	/** Monotonic and wall time in milliseconds of the reading. */
	#readAt = Number.NEGATIVE_INFINITY;
	#wallTimeAtReading = Number.NEGATIVE_INFINITY;

	/** `read` returns the time in milliseconds since a fixed moment, with any suspension. */
	constructor(clock: Clock, read: () => number) {
		this.#clock = clock;
		this.#read = read;
	}

	/** Returns the time in milliseconds. Just after a suspension that the wall clock doesn't show either, it is too early for up to 50 ms. */
	now(): number {
		const now = this.#clock.now();
		const wallTime = this.#clock.wallTime();
		// The monotonic clock may stand still during a suspension, and the wall clock tells of it without a system file being read.
		if (now - this.#readAt >= maxReadingAgeMs || Math.abs(wallTime - this.#wallTimeAtReading) >= maxReadingAgeMs) {
			this.#bootTime = this.#read();
			this.#readAt = now;
			this.#wallTimeAtReading = wallTime;
		}

		return this.#bootTime + (now - this.#readAt);
	}
}
