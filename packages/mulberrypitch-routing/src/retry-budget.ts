/** Limits retries in proportion to first requests, so that failing back ends cause no retry storm. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Rate at which the budget refills regardless of requests, in retries per second. */
const minRetriesPerSecond = 0.5;
/** Capacity of the token bucket. One token allows one retry. */
const maxTokens = 10;

/**
A token bucket that first requests fill and retries drain. It also refills at a small constant rate, so that some retries are
allowed when traffic is low.

@example
```
const budget = new RetryBudget(clock, () => 0.2);
budget.addDispatch();
if (budget.tryRetry()) { … }
```
*/
export class RetryBudget {
	readonly #clock: Clock;
	readonly #getRatio: () => number;
	#tokens = maxTokens;
	#refilledAt: number;

	constructor(clock: Clock, getRatio: () => number) {
		this.#clock = clock;
		this.#getRatio = getRatio;
		this.#refilledAt = clock.now();
	}

	/** Adds what a first request contributes: the ratio of retries to first requests, in tokens. */
	addDispatch(): void {
		this.#add(this.#getRatio());
	}

	/** Takes one retry from the budget. Returns whether one was left. */
	tryRetry(): boolean {
		const now = this.#clock.now();
		this.#add((now - this.#refilledAt) * minRetriesPerSecond / 1000);
		this.#refilledAt = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}

	#add(tokens: number): void {
		this.#tokens = Math.min(maxTokens, this.#tokens + tokens);
	}
}
