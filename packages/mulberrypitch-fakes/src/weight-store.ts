/** A stand-in for the store of model weights. */
import {CodedError} from '@mulberrypitch/errors/coded-error';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Refuses a fetch that starts too soon after the one before it. */
export class FakeWeightStore {
	fetches = 0;
	refusals = 0;
	#nextAt = 0;

	constructor(readonly clock: Clock, readonly fetchIntervalMs: number, readonly fetchMs: number) {
		// All three are fixed for one run.
	}

	async fetch(_machineId: string): Promise<void> {
		if (this.clock.now() < this.#nextAt) {
			this.refusals += 1;
			throw new CodedError('rate_limited', 'The weight store is read too often.', 'Fetch less often.');
		}

		this.fetches += 1;
		this.#nextAt = this.clock.now() + this.fetchIntervalMs;
		await this.clock.sleep(this.fetchMs);
	}
}
