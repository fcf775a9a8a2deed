/** Backoff after refusals by the cloud, for each zone, machine class and market. */
import {getRandomBetween, type Random} from '@mulberrypitch/lifecycle/random';
import {getOfferKey} from './offer-key.js';
import type {Offer} from './types.js';

/** Delay after the first refusal. */
const firstDelayMs = 30_000;
const maxDelayMs = 15 * 60_000;

type Refusals = {
	/** Refusals in a row. */
	readonly count: number;
	/** Monotonic time in milliseconds before which the offer is not requested again. */
	readonly until: number;
};

/** Tracks refused offers and when each may be requested again. */
export class OfferBackoff {
	readonly #random: Random;
	readonly #refusals = new Map<string, Refusals>();

	constructor(random: Random) {
		this.#random = random;
	}

	/** Reports whether the offer may be requested at the time `now`. */
	isAvailable(offer: Offer, now: number): boolean {
		return now >= (this.#refusals.get(getOfferKey(offer))?.until ?? now);
	}

	/** Delays the next request for the offer. The delay doubles with each refusal in a row, with jitter. */
	recordRefusal(offer: Offer, now: number): void {
		const key = getOfferKey(offer);
		const count = (this.#refusals.get(key)?.count ?? 0) + 1;
		const delayMs = Math.min(maxDelayMs, firstDelayMs * (2 ** (count - 1)));
		this.#refusals.set(key, {count, until: now + getRandomBetween(this.#random, delayMs / 2, delayMs)});
	}

	/** Clears the delay of an offer, after a machine of it has started. */
	reset(offer: Offer): void {
		this.#refusals.delete(getOfferKey(offer));
	}
}
