/** Which requests an entry that is being stopped still takes: those that usually end before its process does. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Route} from '@mulberrypitch/serving/types';
import {UsualDuration} from './usual-duration.js';

/** Factor by which a request may take longer than usual. */
const safetyFactor = 1.25;

/** What decides whether a request is taken during a stop. */
export type StopEstimate = {
	/** Time in milliseconds until the process ends. */
	readonly leftMs: number;
	/** Time in milliseconds that a request of its route usually takes. */
	readonly usualMs: number;
};

/** Knows how long requests take, and from the begin of a stop on when the process ends. */
export class StopWindow {
	readonly #clock: Clock;
	readonly #durations = new Map<string, UsualDuration>();
	/** Monotonic time in milliseconds at which the process ends; infinite while it is not being stopped. */
	#endsAt = Number.POSITIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Begins the stop, at whose end the process cuts off what still runs. */
	begin(durationMs: number): void {
		this.#endsAt = this.#clock.now() + durationMs;
	}

	/** Records how long a request of a route took until its answer was complete. */
	record(route: string, durationMs: number): void {
		let duration = this.#durations.get(route);
		if (duration === undefined) {
			duration = new UsualDuration(this.#clock);
			this.#durations.set(route, duration);
		}

		duration.record(durationMs);
	}

	/** Returns the time that is left, infinite while the process is not being stopped, and the usual time of a route's requests. */
	estimate({name, timeoutMs}: Route): StopEstimate {
		return {leftMs: this.#endsAt - this.#clock.now(), usualMs: this.#durations.get(name)?.ms ?? timeoutMs};
	}

	/** Returns why a request that arrives now is not taken, or `undefined` if it usually ends in time. */
	findLate(route: Route): StopEstimate | undefined {
		const estimate = this.estimate(route);
		return estimate.usualMs * safetyFactor > estimate.leftMs ? estimate : undefined;
	}
}
