/**
 * A queue of the requests that wait for a permit, the most urgent first. A permit allows one request to use a connection of one
 * back end of a service.
 */
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Parameters of `PermitQueue.acquire`. */
export type PermitRequest<Permit> = {
	/** Priority of the request that needs the permit; zero is the most urgent. */
	readonly priority: number;
	/** Longest wait in milliseconds; with zero or less, the request doesn't wait. */
	readonly maxWaitMs: number;
	/** Ends the wait without a permit when it is aborted. If it was aborted before `acquire`, no permit is taken. */
	readonly signal: AbortSignal;
	/** Takes a permit and returns it, or returns `undefined` when none is free. */
	readonly tryAcquire: () => Permit | undefined;
};

type Waiter<Permit> = {
	readonly request: PermitRequest<Permit>;
	/** Resolves with the permit, or with `undefined` when the wait timed out or was aborted. */
	readonly place: Deferred<Permit | undefined>;
};

/** Interval in milliseconds at which permits are offered while requests wait. Back ends become available by time alone, too, as a pause or an ejection ends. */
const offerIntervalMs = 40;

/** Priority queue that is first in, first out within a priority, except that a request is passed over while its `tryAcquire` fails. */
export class PermitQueue<Permit> {
	readonly #clock: Clock;
	#waiters: Array<Waiter<Permit>> = [];
	#isOffering = false;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of waiting requests. */
	get length(): number {
		return this.#waiters.length;
	}

	/**
	Resolves with a permit, or with `undefined` when none became free in time or the signal was aborted. A request takes a free
	permit at once only if none of the same or a more urgent priority waits.
	*/
	async acquire(request: PermitRequest<Permit>): Promise<Permit | undefined> {
		if (request.signal.aborted) {
			return undefined;
		}

		if (!this.#hasWaiterAhead(request.priority)) {
			const permit = request.tryAcquire();
			if (permit !== undefined) {
				return permit;
			}
		}

		if (request.maxWaitMs <= 0) {
			return undefined;
		}

		const waiter: Waiter<Permit> = {request, place: new Deferred()};
		this.#insert(waiter);
		const timerAbort = new AbortController();
		void this.#removeAfterWait(waiter, timerAbort);
		void this.#offerWhileWaiting();
		const permit = await waiter.place.promise;
		timerAbort.abort();
		return permit;
	}

	/** Offers free permits to the waiting requests in their order. A request whose `tryAcquire` returns `undefined` keeps its place and is passed over. */
	grantPermits(): void {
		const waiting: Array<Waiter<Permit>> = [];
		for (const waiter of this.#waiters) {
			const permit = waiter.request.signal.aborted ? undefined : waiter.request.tryAcquire();
			if (permit === undefined) {
				waiting.push(waiter);
			} else {
				waiter.place.resolve(permit);
			}
		}

		this.#waiters = waiting;
	}

	#hasWaiterAhead(priority: number): boolean {
		return this.#waiters.some(({request}) => request.priority <= priority);
	}

	#insert(waiter: Waiter<Permit>): void {
		const position = this.#waiters.findIndex(({request}) => request.priority > waiter.request.priority);
		this.#waiters.splice(position === -1 ? this.#waiters.length : position, 0, waiter);
	}

	/** Offers permits at intervals until no request waits. */
	async #offerWhileWaiting(): Promise<void> {
		if (this.#isOffering) {
			return;
		}

		this.#isOffering = true;
		while (this.#waiters.length > 0) {
			await this.#clock.sleep(offerIntervalMs);
			this.grantPermits();
		}

		this.#isOffering = false;
	}

	/** Removes a waiter when its wait has ended by a grant, by the timeout or by its signal. */
	async #removeAfterWait(waiter: Waiter<Permit>, timerAbort: AbortController): Promise<void> {
		const {signal, maxWaitMs} = waiter.request;
		const stop = () => {
			timerAbort.abort();
		};

		signal.addEventListener('abort', stop, {once: true});
		await this.#clock.sleep(maxWaitMs, timerAbort.signal);
		signal.removeEventListener('abort', stop);
		this.#waiters = this.#waiters.filter(other => other !== waiter);
		waiter.place.resolve(undefined);
	}
}
