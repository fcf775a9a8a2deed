/** Counts the runs that began, by workspace and window of wall time. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {UsageCount} from '@mulberrypitch/serving/view-messages';

/** Windows that are told again, so that a new holder of the duty learns them. */
const reportedWindows = 6;

export class UsageCounter {
	readonly #clock: Clock;
	readonly #windowMs: number;
	readonly #windows = new Map<number, Map<string, number>>();

	constructor(clock: Clock, windowMs: number) {
		this.#clock = clock;
		this.#windowMs = windowMs;
	}

	/** Notes that a back end began to run a request, some time ago. */
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

	/** Gives the counts of the last windows. */
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
