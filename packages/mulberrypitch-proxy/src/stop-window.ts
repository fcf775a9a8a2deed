/** Which requests an entry that is being stopped still takes: those that end before its process does. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {Route} from '@mulberrypitch/serving/types';
import {UsualDuration} from './usual-duration.js';

/** Factor by which a request may take longer than usual. */
const safetyFactor = 1.25;
/**
Time in milliseconds from the begin of a stop for which requests are taken that usually end in time. Callers may count on the answer to each
request that is taken later than 3 s after the signal, which the process may handle late.
*/
const estimatingMs = 2500;
/** Time in milliseconds before the end of the process by which the last reply must be written. */
const replyMarginMs = 100;

/** A request that arrives. */
export type Arrival = {
	/** Identifier that the caller gave the request; absent if it sent none. */
	readonly attemptId: string | undefined;
	readonly route: Route;
	/** Monotonic time in milliseconds by which the caller gets its final response. */
	readonly deadlineAt: number;
};

/** Inputs of the decision whether a request is taken during a stop. Times are in milliseconds. */
export type StopEstimate = {
	/** Time until the process ends. */
	readonly leftMs: number;
	/** Time until the deadline of the request. */
	readonly deadlineMs: number;
	/** Time that a request of its route usually takes. */
	readonly usualMs: number;
};

/** Knows how long requests take, and from the begin of a stop on when the process ends. */
export class StopWindow {
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #listRunningMs: (route: string) => readonly number[];
	readonly #durations = new Map<string, UsualDuration>();
	/** Monotonic times in milliseconds until which requests are taken by estimate, and at which the process ends; infinite while it is not being stopped. */
	#estimatingUntil = Number.POSITIVE_INFINITY;
	#endsAt = Number.POSITIVE_INFINITY;

	/** `listRunningMs` returns for how long, in milliseconds, each request in progress of a route has lasted. */
	constructor(clock: Clock, logger: Logger, listRunningMs: (route: string) => readonly number[]) {
		this.#clock = clock;
		this.#logger = logger;
		this.#listRunningMs = listRunningMs;
	}

	/** Begins the stop, at whose end the process cuts off what still runs. */
	begin(durationMs: number): void {
		const now = this.#clock.now();
		this.#estimatingUntil = now + estimatingMs;
		this.#endsAt = now + durationMs;
	}

	/** Records how long a request of a route took until it ended, and whether its answer was complete. */
	record(route: string, durationMs: number, isWhole: boolean): void {
		let duration = this.#durations.get(route);
		if (duration === undefined) {
			duration = new UsualDuration(this.#clock);
			this.#durations.set(route, duration);
		}

		duration.record(durationMs, isWhole);
	}

	/** Returns why a request that arrives now is not taken, or `undefined` if it is. Logs the decision during a stop. */
	judge({attemptId, route, deadlineAt}: Arrival): StopEstimate | undefined {
		if (!Number.isFinite(this.#endsAt)) {
			return undefined;
		}

		const late = this.findLate(route, deadlineAt);
		this.#logger.log(events.requestInStop, {
			request: attemptId, route: route.name, ...this.#estimate(route, deadlineAt), isTaken: late === undefined,
		});
		return late;
	}

	/**
	Returns why a request is not sent to a back end now, or `undefined` if it is. A request whose deadline comes before the end of the process
	is sent at any time, another one only early in the stop and if its like usually end in time.
	*/
	findLate(route: Route, deadlineAt: number): StopEstimate | undefined {
		if (deadlineAt + replyMarginMs <= this.#endsAt) {
			return undefined;
		}

		const estimate = this.#estimate(route, deadlineAt);
		const isEarly = this.#clock.now() < this.#estimatingUntil;
		return isEarly && estimate.usualMs * safetyFactor <= estimate.leftMs ? undefined : estimate;
	}

	#estimate({name, timeoutMs}: Route, deadlineAt: number): StopEstimate {
		const now = this.#clock.now();
		const usualMs = this.#durations.get(name)?.estimateMs(this.#listRunningMs(name)) ?? timeoutMs;
		return {leftMs: Math.round(this.#endsAt - now), deadlineMs: Math.round(deadlineAt - now), usualMs: Math.round(usualMs)};
	}
}
