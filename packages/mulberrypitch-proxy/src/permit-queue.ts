/**
 * A queue of the requests that wait for a permit, in a fair order of their kinds and workspaces. A permit allows one request to use a connection
 * of one back end of a service. A request waits only as long as it is likely to start in time.
 */
import {FairQueue, type WaitingRequest} from '@mulberrypitch/admission/fair-order';
import {WaitForecast} from '@mulberrypitch/admission/wait-forecast';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Parameters of `PermitQueue.acquire`. */
export type PermitRequest<Permit> = {
	/** Priority of the request that needs the permit; zero is the most urgent. */
	readonly priority: number;
	/** Longest wait in milliseconds; with zero or less, the request doesn't wait. */
	readonly maxWaitMs: number;
	/** Wait in milliseconds while it is not known how soon permits become free; equal to `maxWaitMs` by default. */
	readonly freeWaitMs?: number;
	/** Identifies the requests that share one part of the permits, such as those of one workspace and route. */
	readonly kind?: string;
	/** Expected run time in milliseconds. */
	readonly costMs?: number;
	/** Called when a request that had to wait, or would have had to, gets a permit or none. */
	readonly onWaitEnded?: (wait: EndedWait) => void;
	/** Ends the wait without a permit when it is aborted. If it was aborted before `acquire`, no permit is taken. */
	readonly signal: AbortSignal;
	/** Takes a permit and returns it, or returns `undefined` when none is free. */
	readonly tryAcquire: () => Permit | undefined;
};

/** How a request got on that found no free permit. */
export const waitEnds = {
	started: 'started',
	/** It was not likely to start in time when it arrived. */
	rejected: 'rejected',
	/** It was not likely to start in time any more. */
	hopeless: 'hopeless',
	/** Its longest wait was over. */
	timedOut: 'timedOut',
	/** The caller left. */
	abandoned: 'abandoned',
} as const;
export type WaitEnd = typeof waitEnds[keyof typeof waitEnds];

/** A wait that has ended. */
export type EndedWait = {
	readonly end: WaitEnd;
	readonly waitedMs: number;
	/** Time in milliseconds that the request was expected to wait when it arrived; absent if that was not known. */
	readonly expectedMs: number | undefined;
	/** Number of requests that wait now. */
	readonly waiting: number;
	/** Permits granted a second; zero if that is not known. */
	readonly grantsPerSecond: number;
};

type Waiter<Permit> = WaitingRequest & {
	readonly request: PermitRequest<Permit>;
	/** Whether the forecast allowed the wait, rather than a lack of knowledge. */
	readonly isExpected: boolean;
	/** Resolves with the permit, or with `undefined` when the wait timed out or was aborted. */
	readonly place: Deferred<Permit | undefined>;
};

/** Interval in milliseconds at which permits are offered while requests wait. Back ends become available by time alone, too, as a pause or an ejection ends. */
const offerIntervalMs = 40;

/** Number of requests of one kind for which a permit is sought at a time: if there is none for the first ones, there is seldom one for the next. */
const maxTries = 4;
/**
Number of requests that are refused a permit in one offer until the others are left for the next one. Each try compares all back ends, and dozens of
kinds may wait. Offers at intervals try more, since the first ones may wait for back ends
of their own, such as those of one version.
*/
const maxFailures = {release: 12, interval: 48} as const;
/** Factor between the parts of the permits, by run time, of a priority and of the next less urgent one. */
const priorityFactor = 2;
/** Run time in milliseconds of requests whose time is not known. */
const unknownCostMs = 100;

/**
Grants permits by weighted fair queueing over kinds, so that urgent ones come first and none starves. Within a kind the request with the earliest
latest start comes first. A request is passed over while its `tryAcquire` fails.
*/
export class PermitQueue<Permit> {
	readonly #clock: Clock;
	readonly #waiters = new Set<Waiter<Permit>>();
	readonly #order = new FairQueue<Waiter<Permit>>();
	readonly #forecast: WaitForecast;
	#isOffering = false;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#forecast = new WaitForecast(() => clock.now());
	}

	/** Time in milliseconds until a permit is expected to be free for one more request; absent if that is not known. */
	get expectedMs(): number | undefined {
		const workMs = [...this.#waiters].reduce((sum, {costMs}) => sum + costMs, 0);
		return this.#forecast.getExpectedMs(workMs);
	}

	/** Number of waiting requests. */
	get length(): number {
		return this.#waiters.size;
	}

	/**
	Resolves with a permit, or with `undefined` when none became free in time or the signal was aborted. A request takes a free
	permit at once only if none of the same or a more urgent priority waits.
	*/
	async acquire(request: PermitRequest<Permit>): Promise<Permit | undefined> {
		if (request.signal.aborted) {
			return undefined;
		}

		const {priority, maxWaitMs, freeWaitMs = maxWaitMs, kind = '', costMs = unknownCostMs} = request;
		const now = this.#clock.now();
		if (!this.#hasWaiterAhead(priority)) {
			const permit = request.tryAcquire();
			if (permit !== undefined) {
				this.#forecast.recordGrant(costMs);
				return permit;
			}
		}

		const waiting: WaitingRequest = {
			customer: `${priority} ${kind}`, share: priorityFactor ** -priority, limit: Number.POSITIVE_INFINITY, isShort: true, costMs, latestStart: now + maxWaitMs,
		};
		const waiter: Waiter<Permit> = {
			...waiting, request, isExpected: false, place: new Deferred(),
		};
		const decision = maxWaitMs > 0
			? this.#forecast.decide({budgetMs: maxWaitMs, freeMs: freeWaitMs, workBeforeMs: this.#order.getWorkBefore(waiter)})
			: {maxWaitMs: 0};
		const expected = {expectedMs: decision.expectedMs, startedAt: now};
		if (decision.maxWaitMs <= 0) {
			this.#report(request, waitEnds.rejected, expected);
			return undefined;
		}

		const admitted = {...waiter, isExpected: decision.expectedMs !== undefined, latestStart: now + decision.maxWaitMs};
		const end = await this.#wait(admitted);
		this.#report(request, end, expected);
		return admitted.place.promise;
	}

	/** Offers free permits to the waiting requests in their order, until a number of them got none. A request whose `tryAcquire` returns `undefined` keeps its place and is passed over. */
	grantPermits(maxFailed: number = maxFailures.release): void {
		let failures = 0;
		const tryStart = ({request, place}: Waiter<Permit>) => {
			const permit = request.signal.aborted || failures >= maxFailed ? undefined : request.tryAcquire();
			if (permit === undefined) {
				failures += request.signal.aborted ? 0 : 1;
				return false;
			}

			place.resolve(permit);
			return true;
		};

		for (;;) {
			const started = this.#waiters.size === 0 ? undefined : this.#order.takeWhere(tryStart, maxTries);
			if (started === undefined) {
				return;
			}

			this.#waiters.delete(started);
			this.#forecast.recordGrant(started.costMs);
		}
	}

	#hasWaiterAhead(priority: number): boolean {
		return [...this.#waiters].some(({request}) => request.priority <= priority);
	}

	/** Resolves when the request has got a permit or will get none, with which of these. */
	async #wait(waiter: Waiter<Permit>): Promise<WaitEnd> {
		const {signal} = waiter.request;
		this.#waiters.add(waiter);
		this.#order.add(waiter);
		const timerAbort = new AbortController();
		void this.#removeAfterWait(waiter, timerAbort);
		void this.#offerWhileWaiting();
		const permit = await waiter.place.promise;
		const isTimedOut = !timerAbort.signal.aborted;
		timerAbort.abort();
		if (permit !== undefined) {
			return waitEnds.started;
		}

		if (signal.aborted) {
			return waitEnds.abandoned;
		}

		return isTimedOut && this.#clock.now() >= waiter.latestStart ? waitEnds.timedOut : waitEnds.hopeless;
	}

	/** Offers permits at intervals until no request waits, and rejects requests that have become hopeless. */
	async #offerWhileWaiting(): Promise<void> {
		if (this.#isOffering) {
			return;
		}

		this.#isOffering = true;
		while (this.#waiters.size > 0) {
			await this.#clock.sleep(offerIntervalMs);
			this.grantPermits(maxFailures.interval);
			this.#rejectHopeless();
		}

		this.#isOffering = false;
	}

	#rejectHopeless(): void {
		const now = this.#clock.now();
		for (const waiter of [...this.#waiters].toReversed()) {
			// What waits behind a request in its own kind counts as work before it too, so the last ones are rejected first.
			if (waiter.isExpected && this.#forecast.isHopeless(waiter.latestStart - now, this.#order.getWorkBefore(waiter) - waiter.costMs)) {
				this.#remove(waiter);
				waiter.place.resolve(undefined);
			}
		}
	}

	#remove(waiter: Waiter<Permit>): void {
		if (this.#waiters.delete(waiter)) {
			this.#order.remove(waiter);
		}
	}

	#report({onWaitEnded}: PermitRequest<Permit>, end: WaitEnd, {expectedMs, startedAt}: {readonly expectedMs: number | undefined; readonly startedAt: number}): void {
		onWaitEnded?.({
			end, expectedMs, waitedMs: this.#clock.now() - startedAt, waiting: this.#waiters.size, grantsPerSecond: this.#forecast.grantsPerSecond,
		});
	}

	/** Removes a waiter when its wait has ended by a grant, by the timeout or by its signal. */
	async #removeAfterWait(waiter: Waiter<Permit>, timerAbort: AbortController): Promise<void> {
		const {signal} = waiter.request;
		const stop = () => {
			timerAbort.abort();
		};

		signal.addEventListener('abort', stop, {once: true});
		await this.#clock.sleep(waiter.latestStart - this.#clock.now(), timerAbort.signal);
		signal.removeEventListener('abort', stop);
		this.#remove(waiter);
		waiter.place.resolve(undefined);
	}
}
