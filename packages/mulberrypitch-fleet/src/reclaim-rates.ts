/** Observed reclaim rates, for each zone, machine class and market. */
import {getOfferKey} from './offer-key.js';
import {markets, type Machine, type Offer} from './types.js';

const hourMs = 3_600_000;
/** The estimate of each offer starts as if one reclaim in ten machine hours had been observed. */
const priorHours = 10;
const priorReclaims = 1;
/** Factor by which the weight of observed hours and reclaims is multiplied each day. */
const decayPerDay = 0.7;
/** Lower bound of the useful share, the share of paid time in which a machine serves. The fleet planner divides prices by the throughput times this share, which must not be zero. */
const minUsefulShare = 0.05;

type ReclaimCounts = {
	hours: number;
	reclaims: number;
};

/** Estimates reclaim rates from machine hours and reclaims, whose weight decays over time. */
export class ReclaimRates {
	readonly #counts = new Map<string, ReclaimCounts>();

	/**
	Decays earlier observations by the elapsed time, and adds the elapsed time for each running machine. Each call decays the
	counts of all offers, so it must be made once per interval with all running machines.
	*/
	recordUptime(machines: readonly Machine[], durationMs: number): void {
		const decay = decayPerDay ** (durationMs / (24 * hourMs));
		for (const counts of this.#counts.values()) {
			counts.hours *= decay;
			counts.reclaims *= decay;
		}

		for (const {offer} of machines) {
			this.#getOrCreateCounts(offer).hours += durationMs / hourMs;
		}
	}

	/** Records the reclaim of one machine. */
	recordReclaim(offer: Offer): void {
		this.#getOrCreateCounts(offer).reclaims += 1;
	}

	/** Returns the expected reclaims of one machine per hour; zero for on-demand machines. */
	getRate(offer: Offer): number {
		if (offer.market === markets.onDemand) {
			return 0;
		}

		const {hours, reclaims} = this.#getOrCreateCounts(offer);
		return (reclaims + priorReclaims) / (hours + priorHours);
	}

	/** Returns the share of paid time in which a machine serves, at least 5 %, assuming that each reclaim costs the startup time of another machine. */
	getUsefulShare(offer: Offer, startupMs: number): number {
		return Math.max(minUsefulShare, 1 - (this.getRate(offer) * startupMs / hourMs));
	}

	#getOrCreateCounts(offer: Offer): ReclaimCounts {
		const key = getOfferKey(offer);
		const counts = this.#counts.get(key) ?? {hours: 0, reclaims: 0};
		this.#counts.set(key, counts);
		return counts;
	}
}
