/** Counts the requests that back ends ran, by workspace and window of wall time. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {UsageCount} from '@mulberrypitch/serving/view-messages';

/** Number of past windows that are reported again, so that a coordinator that takes over the usage reports receives them. */
const reportedWindows = 6;

/** Holds the counts of the last windows. */
export class UsageCounter {
	readonly #clock: Clock;
	readonly #windowMs: number;
	readonly #windows = new Map<number, Map<string, number>>();

	constructor(clock: Clock, windowMs: number) {
		this.#clock = clock;
		this.#windowMs = windowMs;
	}

	/** Counts a request that a back end began to run `agoMs` milliseconds ago. */
	add(workspace: string, agoMs = 0): void {
		const window = Math.floor((this.#clock.wallTime() - agoMs) / this.#windowMs);
		let counts = this.#windows.get(window);
		if (counts === undefined) {
			counts = new Map();
			this.#windows.set(window, counts);
			this.#dropUpTo(window - reportedWindows);
		}

		counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
	}

	/** Returns the counts of the current and the last windows. */
	getCounts(): readonly UsageCount[] {
		return [...this.#windows].map(([window, counts]) => ({window, counts: Object.fromEntries(counts)}));
	}

	#dropUpTo(upTo: number): void {
		for (const window of this.#windows.keys()) {
			if (window <= upTo) {
				this.#windows.delete(window);
			}
		}
	}
}
