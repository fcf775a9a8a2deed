/** Estimates how many slots a class of requests has needed recently. */

/** Time constant of the exponential decay, in milliseconds. */
const decayTimeMs = 20_000;

/**
An exponentially decaying average of the slot time that arriving requests need.

@example
```
const demand = new SlotDemand();
demand.add(costMs, clock.now());
const slots = demand.getSlots(clock.now());
```
*/
export class SlotDemand {
	/** Decayed sum of the expected slot times, in milliseconds. */
	#workMs = 0;
	#updatedAt = 0;

	/** Adds a request with its expected time in a slot, in milliseconds. */
	add(costMs: number, now: number): void {
		this.#decay(now);
		this.#workMs += costMs;
	}

	/** Returns the average number of slots that the recent requests need. */
	getSlots(now: number): number {
		this.#decay(now);
		return this.#workMs / decayTimeMs;
	}

	#decay(now: number): void {
		this.#workMs *= Math.exp((this.#updatedAt - now) / decayTimeMs);
		this.#updatedAt = now;
	}
}
