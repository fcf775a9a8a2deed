/** Bounds retries by the requests sent, so that failing back ends get no storm. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

const minPerSecond = 0.5;
const maxTokens = 10;

/**
A token bucket that first dispatches fill and retries empty. A small rate fills it when little is sent.

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
	#filledAt: number;

	constructor(clock: Clock, getRatio: () => number) {
		this.#clock = clock;
		this.#getRatio = getRatio;
		this.#filledAt = clock.now();
	}

	/** Counts a first dispatch. */
	addDispatch(): void {
		this.#add(this.#getRatio());
	}

	/** Takes the right to one retry, if there is any. */
	tryRetry(): boolean {
		const now = this.#clock.now();
		this.#add((now - this.#filledAt) * minPerSecond / 1000);
		this.#filledAt = now;
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
