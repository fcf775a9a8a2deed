/** How long a request of a route may wait for a permit, by the times of the route's answers. */
import {ServiceTimes} from '@mulberrypitch/admission/service-times';
import type {AnswerTimes} from './backend-speeds.js';

/** A request that needs a permit. */
export type BudgetedRequest = {
	readonly route: string;
	readonly tokens: number;
	/** Target of the time to the first part of the answer, in milliseconds from the arrival. */
	readonly targetMs: number;
	/** Time in milliseconds since the arrival. */
	readonly elapsedMs: number;
	/** Time in milliseconds until the deadline. */
	readonly leftMs: number;
};

/** Limits of a wait, and the expected run time of the request, in milliseconds. */
export type WaitBudget = {
	/** Longest wait after which the answer can still begin in time. */
	readonly maxWaitMs: number;
	/** Wait while it is not known how soon permits become free. */
	readonly freeWaitMs: number;
	/** Absent while no answer of the route and size is known. */
	readonly costMs?: number;
};

/** Share of the target time after which a rejection still costs the caller nothing. */
const freeShare = 0.12;

/** Learns the times of answers by route and by the size of the prompt. */
export class WaitBudgets {
	readonly #times = new Map<string, {readonly first: ServiceTimes; readonly whole: ServiceTimes}>();

	/** Records the times of a good answer. */
	record({route, tokens}: Pick<BudgetedRequest, 'route' | 'tokens'>, {firstPartMs, wholeMs}: AnswerTimes): void {
		const times = this.#times.get(route) ?? {first: new ServiceTimes(), whole: new ServiceTimes()};
		this.#times.set(route, times);
		times.first.add(tokens, firstPartMs);
		times.whole.add(tokens, wholeMs);
	}

	/** Returns how long a request may wait. */
	get({route, tokens, targetMs, elapsedMs, leftMs}: BudgetedRequest): WaitBudget {
		const times = this.#times.get(route);
		const firstMs = times?.first.getBound(tokens);
		const freeWaitMs = Math.min(freeShare * targetMs, leftMs);
		const latestMs = firstMs === undefined ? 0 : targetMs - elapsedMs - firstMs;
		return {
			maxWaitMs: Math.min(leftMs, Math.max(freeWaitMs, latestMs)),
			freeWaitMs,
			...(firstMs !== undefined && {costMs: times!.whole.getMean(tokens)}),
		};
	}
}
