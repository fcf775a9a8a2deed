/** A stand-in for the cloud: reclaims machines one by one and zone by zone, and refuses some starts. */
import {CodedError} from '@mulberrypitch/errors/coded-error';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';

const hourMs = 3_600_000;

/** One offer with how often its machines are reclaimed. */
export type FakeOffer = {
	readonly zone: string;
	readonly machineClass: string;
	readonly market: 'reclaimable' | 'onDemand';
	readonly pricePerHour: number;
	readonly tokensPerSecond: number;
	readonly reclaimsPerHour: number;
};

/** How the cloud behaves. */
export type FakeCloudOptions = {
	readonly clock: Clock;
	/** Source of reclaims of single machines and of refusals. */
	readonly random: Random;
	/** Source of waves, apart so that all policies meet the same ones. */
	readonly waveRandom: Random;
	readonly offers: readonly FakeOffer[];
	/** Reclaims of all reclaimable machines of one zone. */
	readonly wavesPerZoneHour: number;
	/** Time after a wave in which the zone has no reclaimable machines. */
	readonly scarceMs: number;
	readonly refusalShare: number;
};

type Running = {
	readonly id: string;
	readonly offer: FakeOffer;
};

/** Machines in memory. Time passes by `pass` alone. */
export class FakeCloud {
	cost = 0;
	reclaims = 0;
	starts = 0;
	readonly #options: FakeCloudOptions;
	readonly #machines = new Map<string, Running>();
	readonly #scarceUntil = new Map<string, number>();

	constructor(options: FakeCloudOptions) {
		this.#options = options;
	}

	async listOffers(): Promise<readonly FakeOffer[]> {
		return this.#options.offers;
	}

	async listMachines(): Promise<readonly Running[]> {
		return [...this.#machines.values()];
	}

	async start(wanted: {readonly zone: string; readonly machineClass: string; readonly market: string}): Promise<string> {
		const {clock, random, offers, refusalShare} = this.#options;
		const offer = offers.find(({zone, machineClass, market}) => zone === wanted.zone && machineClass === wanted.machineClass && market === wanted.market)!;
		const isScarce = clock.now() < (this.#scarceUntil.get(offer.zone) ?? 0);
		if (offer.market === 'reclaimable' && (isScarce || random.next() < refusalShare)) {
			throw new CodedError('no_capacity', `Zone ${offer.zone} has no ${offer.machineClass}.`, 'Take another class.');
		}

		this.starts += 1;
		const id = `machine-${this.starts}`;
		this.#machines.set(id, {id, offer});
		return id;
	}

	async stop(id: string): Promise<void> {
		this.#machines.delete(id);
	}

	/** Charges for the time that passed and reclaims machines. */
	pass(durationMs: number): void {
		const hours = durationMs / hourMs;
		this.#passWaves(hours);
		for (const {id, offer} of this.#machines.values()) {
			this.cost += offer.pricePerHour * hours;
			if (offer.market === 'reclaimable' && this.#options.random.next() < offer.reclaimsPerHour * hours) {
				this.#reclaim(id);
			}
		}
	}

	#passWaves(hours: number): void {
		const {offers, waveRandom, wavesPerZoneHour, clock, scarceMs} = this.#options;
		for (const zone of new Set(offers.map(offer => offer.zone))) {
			if (waveRandom.next() >= wavesPerZoneHour * hours) {
				continue;
			}

			this.#scarceUntil.set(zone, clock.now() + scarceMs);
			for (const {id, offer} of this.#machines.values()) {
				if (offer.zone === zone && offer.market === 'reclaimable') {
					this.#reclaim(id);
				}
			}
		}
	}

	#reclaim(id: string): void {
		this.#machines.delete(id);
		this.reclaims += 1;
	}
}
