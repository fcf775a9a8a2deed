/** Spaces the sends to one back end evenly. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';

/** Allows one send per interval, at a rate that may change. Unused intervals are not saved up. */
export class SendPacer {
	readonly #clock: Clock;
	readonly #random: Random;
	/** Sends per second; infinite while they are not limited. */
	#rate = Number.POSITIVE_INFINITY;
	/** Monotonic time in milliseconds from which the interval to the next send counts. */
	#intervalStartedAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, random: Random) {
		this.#clock = clock;
		this.#random = random;
	}

	/** Time in milliseconds until a send is allowed; zero if one is now, infinite if the rate is zero. */
	get waitMs(): number {
		if (this.#rate === 0) {
			return Number.POSITIVE_INFINITY;
		}

		return Math.max(0, this.#intervalStartedAt + (1000 / this.#rate) - this.#clock.now());
	}

	/** Sets the sends per second; infinite for no limit, zero for none. */
	setRate(rate: number): void {
		const wasPacing = this.#rate > 0 && this.#rate < Number.POSITIVE_INFINITY;
		this.#rate = rate;
		if (!wasPacing && rate > 0) {
			// Entries begin at different points of their first interval, so that they don't send at the same moments.
			this.#intervalStartedAt = this.#clock.now() - (this.#random.next() * 1000 / rate);
		}
	}

	/** Records a send. */
	recordSend(): void {
		this.#intervalStartedAt = this.#clock.now();
	}
}
