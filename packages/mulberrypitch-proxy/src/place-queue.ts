/** Requests that wait for a place at the back ends of one service, the most urgent first. */
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** What a waiting request asks for. */
export type PermitRequest<Permit> = {
	/** Zero is first. */
	readonly priority: number;
	/** Longest wait in milliseconds; zero asks for a place now or not at all. */
	readonly maxWaitMs: number;
	readonly signal: AbortSignal;
	/** Takes a place if there is one. */
	readonly tryAcquire: () => Permit | undefined;
};

type Waiter<Permit> = {
	readonly request: PermitRequest<Permit>;
	readonly place: Deferred<Permit | undefined>;
};

/** First come, first served among equals. */
export class PermitQueue<Permit> {
	readonly #clock: Clock;
	#waiters: Array<Waiter<Permit>> = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get length(): number {
		return this.#waiters.length;
	}

	/** Resolves with a place, or with nothing when none came free in time. */
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

	/** Gives places that came free to those who wait. */
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
