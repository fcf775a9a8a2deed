/** Reclaim rates as seen, for each zone, class and market. */
import {getOfferKey} from './offer-key.js';
import {markets, type Machine, type Offer} from './types.js';

const hourMs = 3_600_000;
/** Weight of the first guess, in hours of one machine. */
const priorHours = 10;
const priorReclaims = 1;
/** Share of seen hours that still counts a day later. */
const decayPerDay = 0.7;
const minUsefulShare = 0.05;

type Seen = {
	hours: number;
	reclaims: number;
};

/** Counts the hours of machines and their reclaims; old ones count less. */
export class ReclaimRates {
	readonly #seen = new Map<string, Seen>();

	/** Counts the time that machines ran. */
	noteRun(machines: readonly Machine[], durationMs: number): void {
		const decay = decayPerDay ** (durationMs / (24 * hourMs));
		for (const seen of this.#seen.values()) {
			seen.hours *= decay;
			seen.reclaims *= decay;
		}

		for (const {offer} of machines) {
			this.#get(offer).hours += durationMs / hourMs;
		}
	}

	noteReclaim(offer: Offer): void {
		this.#get(offer).reclaims += 1;
	}

	/** Gives the reclaims of one machine in an hour. */
	getRate(offer: Offer): number {
		if (offer.market === markets.onDemand) {
			return 0;
		}

		const {hours, reclaims} = this.#get(offer);
		return (reclaims + priorReclaims) / (hours + priorHours);
	}

	/** Gives the share of paid time in which a machine serves, when each reclaim costs one start. */
	getUsefulShare(offer: Offer, startMs: number): number {
		return Math.max(minUsefulShare, 1 - (this.getRate(offer) * startMs / hourMs));
	}

	#get(offer: Offer): Seen {
		const key = getOfferKey(offer);
		const seen = this.#seen.get(key) ?? {hours: 0, reclaims: 0};
		this.#seen.set(key, seen);
		return seen;
	}
}
