/** Back-off after refusals, for each zone, class and market. */
import {getBetween, type Random} from '@mulberrypitch/lifecycle/random';
import {getOfferKey} from './offer-key.js';
import type {Offer} from './types.js';

const firstDelayMs = 30_000;
const maxDelayMs = 15 * 60_000;

type Refusals = {
	readonly count: number;
	readonly until: number;
};

/** Remembers which offers were refused of late. */
export class OfferBackoff {
	readonly #random: Random;
	readonly #refusals = new Map<string, Refusals>();

	constructor(random: Random) {
		this.#random = random;
	}

	isAvailable(offer: Offer, now: number): boolean {
		return now >= (this.#refusals.get(getOfferKey(offer))?.until ?? now);
	}

	/** Doubles the delay with each refusal, with jitter. */
	noteRefusal(offer: Offer, now: number): void {
		const key = getOfferKey(offer);
		const count = (this.#refusals.get(key)?.count ?? 0) + 1;
		const delayMs = Math.min(maxDelayMs, firstDelayMs * (2 ** (count - 1)));
		this.#refusals.set(key, {count, until: now + getBetween(this.#random, delayMs / 2, delayMs)});
	}

	noteStart(offer: Offer): void {
		this.#refusals.delete(getOfferKey(offer));
	}
}
