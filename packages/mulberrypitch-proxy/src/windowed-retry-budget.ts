/** This entry's share of the retry budget of each service. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Dependencies and settings of a retry budget. */
export type WindowedRetryBudgetOptions = {
	readonly clock: Clock;
	/** Maximum number of retries per request, across all entries. */
	readonly ratio: number;
	/** Number of retries that are allowed per window in addition to the ratio, across all entries. */
	readonly slack: number;
	readonly windowMs: number;
	/** Returns the number of entries in the deployment. */
	readonly getEntryCount: () => number;
};

/** Monotonic times in milliseconds of a service's requests and retries in the last window. */
type Window = {
	requests: number[];
	retries: number[];
};

/** Share of the budget that is used, since entries are informed of changes in their number with a delay. */
const usedShare = 0.75;

/** Allows retries in proportion to the requests of the last window. */
export class WindowedRetryBudget {
	readonly #options: WindowedRetryBudgetOptions;
	readonly #windows = new Map<string, Window>();

	constructor(options: WindowedRetryBudgetOptions) {
		this.#options = options;
	}

	/** Counts a request for a service. */
	add(service: string): void {
		this.#get(service).requests.push(this.#options.clock.now());
	}

	/** Takes back the last request that was counted for a service, since another entry counts it. */
	withdraw(service: string): void {
		this.#get(service).requests.pop();
	}

	/** Takes one retry from the budget of a service. Returns whether one was left; one retry per window is always allowed. */
	take(service: string): boolean {
		const {ratio, slack, getEntryCount, clock} = this.#options;
		const window = this.#get(service);
		const allowed = usedShare * ((ratio * window.requests.length) + (slack / getEntryCount()));
		if (window.retries.length + 1 > Math.max(1, allowed)) {
			return false;
		}

		window.retries.push(clock.now());
		return true;
	}

	#get(service: string): Window {
		let window = this.#windows.get(service);
		if (window === undefined) {
			window = {requests: [], retries: []};
			this.#windows.set(service, window);
		}

		const since = this.#options.clock.now() - this.#options.windowMs;
		dropBefore(window.requests, since);
		dropBefore(window.retries, since);
		return window;
	}
}

function dropBefore(times: number[], since: number): void {
	const first = times.findIndex(time => time >= since);
	times.splice(0, first === -1 ? times.length : first);
}
