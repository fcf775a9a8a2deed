/** How many slots a class of requests has needed lately. */

const windowMs = 20_000;

/** A decaying average of the work asked for. */
export class SlotDemand {
	#workMs = 0;
	#updatedAt = 0;

	/** Counts a request with its expected time in a slot. */
	add(costMs: number, now: number): void {
		this.#decay(now);
		this.#workMs += costMs;
	}

	/** Gives the slots that the requests keep busy on average. */
	getSlots(now: number): number {
		this.#decay(now);
		return this.#workMs / windowMs;
	}

	#decay(now: number): void {
		this.#workMs *= Math.exp((this.#updatedAt - now) / windowMs);
		this.#updatedAt = now;
	}
}
