/**
 * Decides for how long a coordinator may wait for changes before it answers a poll of an entry. Configurations, leaves and quarantines are told at once
 * in any case; what a poll brings beside them, the load and the spending of the other entries, decides something only while back ends or quotas are scarce.
 */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Dependencies of the pace. */
export type PollPaceOptions = {
	readonly clock: Clock;
	/** Reports whether anything is scarce now that all entries share. */
	readonly isPressed: () => boolean;
	/** Returns the number of requests that were refused for lack of capacity since the entry started. */
	readonly getRefused: () => number;
};

/** Longest wait in milliseconds while something is scarce, and else. */
const pressedWaitMs = 100;
const calmWaitMs = 250;
/** Time in milliseconds for which the entry polls as if something were scarce after it was. */
const alertMs = 2000;

/** Sets the pace of the polls of one entry. */
export class PollPace {
	readonly #options: PollPaceOptions;
	/** Monotonic time in milliseconds until which the entry polls fast. */
	#alertUntil: number;
	#refused = 0;

	constructor(options: PollPaceOptions) {
		this.#options = options;
		this.#alertUntil = options.clock.now() + alertMs;
	}

	/** Makes the entry poll fast for a while, since what it knows may be incomplete. */
	alert(): void {
		this.#alertUntil = this.#options.clock.now() + alertMs;
	}

	/** Returns the longest wait of the next poll in milliseconds. */
	getWaitMs(): number {
		const {clock, isPressed, getRefused} = this.#options;
		const refused = getRefused();
		if (refused > this.#refused || isPressed()) {
			this.alert();
		}

		this.#refused = refused;
		return clock.now() < this.#alertUntil ? pressedWaitMs : calmWaitMs;
	}
}
