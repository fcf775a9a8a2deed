/** This entry's part of the budget for sending requests again, by service. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

export type RetryBudgetOptions = {
	readonly clock: Clock;
	/** Repeats for each request, over all entries. */
	readonly ratio: number;
	/** Repeats in one window beyond the ratio, over all entries. */
	readonly slack: number;
	readonly windowMs: number;
	readonly getEntryCount: () => number;
};

type Window = {
	requests: number[];
	retries: number[];
};

/** Part of the budget that is used, since entries see each other's number late. */
const usedShare = 0.75;

/** Counts requests and repeats of the last window. */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	readonly #windows = new Map<string, Window>();

	constructor(options: RetryBudgetOptions) {
		this.#options = options;
	}

	/** Notes a request for a service. */
	add(service: string): void {
		this.#get(service).requests.push(this.#options.clock.now());
	}

	/** Takes one repeat if there is one left. */
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
