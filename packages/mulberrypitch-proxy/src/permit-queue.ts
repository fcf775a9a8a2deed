/** Requests that wait for a permit for a back end of one service, the most urgent first. */
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** A request for a permit. */
export type PermitRequest<Permit> = {
	/** Zero is the most urgent. */
	readonly priority: number;
	/** Longest wait in milliseconds; zero doesn't wait. */
	readonly maxWaitMs: number;
	readonly signal: AbortSignal;
	/** Takes a permit if one is free. */
	readonly tryAcquire: () => Permit | undefined;
};

type Waiter<Permit> = {
	readonly request: PermitRequest<Permit>;
	/** Resolves with the permit, or with `undefined` when the wait is over. */
	readonly place: Deferred<Permit | undefined>;
};

/** Priority queue that is first in, first out within a priority. */
export class PermitQueue<Permit> {
	readonly #clock: Clock;
	#waiters: Array<Waiter<Permit>> = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get length(): number {
		return this.#waiters.length;
	}

	/** Resolves with a permit, or `undefined` when none became free in time. */
	async acquire(request: PermitRequest<Permit>): Promise<Permit | undefined> {
		if (!this.#hasAhead(request.priority)) {
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
		const limit = new AbortController();
		void this.#expire(waiter, limit);
		const permit = await waiter.place.promise;
		limit.abort();
		return permit;
	}

	/** Grants free permits to waiting requests. */
	grantWaiting(): void {
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

	#hasAhead(priority: number): boolean {
		return this.#waiters.some(({request}) => request.priority <= priority);
	}

	#insert(waiter: Waiter<Permit>): void {
		const position = this.#waiters.findIndex(({request}) => request.priority > waiter.request.priority);
		this.#waiters.splice(position === -1 ? this.#waiters.length : position, 0, waiter);
	}

	async #expire(waiter: Waiter<Permit>, limit: AbortController): Promise<void> {
		const {signal, maxWaitMs} = waiter.request;
		const stop = () => {
			limit.abort();
		};

		signal.addEventListener('abort', stop, {once: true});
		await this.#clock.sleep(maxWaitMs, limit.signal);
		signal.removeEventListener('abort', stop);
		this.#waiters = this.#waiters.filter(other => other !== waiter);
		waiter.place.resolve(undefined);
	}
}
