/** A stand-in for the store of model weights, which limits the rate of fetches. */
import {CodedError} from '@mulberrypitch/errors/coded-error';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Rejects a fetch that starts less than `fetchIntervalMs` after the start of the previous accepted one. A fetch takes `fetchMs`. */
export class FakeWeightStore {
	/** Number of accepted fetches. */
	fetches = 0;
	/** Number of rejected fetches. */
	refusals = 0;
	#nextFetchAt = 0;

	constructor(readonly clock: Clock, readonly fetchIntervalMs: number, readonly fetchMs: number) {
		// The constructor only declares parameter properties.
	}

	async fetch(_machineId: string): Promise<void> {
		if (this.clock.now() < this.#nextFetchAt) {
			this.refusals += 1;
			throw new CodedError('rate_limited', 'The weight store received too many fetches.', 'Fetch less often.');
		}

		this.fetches += 1;
		this.#nextFetchAt = this.clock.now() + this.fetchIntervalMs;
		await this.clock.sleep(this.fetchMs);
	}
}
