/** A stand-in for a cloud that at random reclaims single machines or all reclaimable machines of a zone, and refuses some starts. */
import {CodedError} from '@mulberrypitch/errors/coded-error';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';

const hourMs = 3_600_000;

/** An offer of the cloud, and how often each of its machines is reclaimed. */
export type FakeOffer = {
	readonly zone: string;
	readonly machineClass: string;
	readonly market: 'reclaimable' | 'onDemand';
	readonly pricePerHour: number;
	readonly tokensPerSecond: number;
	readonly reclaimsPerHour: number;
};

/** Dependencies of the cloud, and its prices and failure rates. Durations are in milliseconds. */
export type FakeCloudOptions = {
	readonly clock: Clock;
	/** Random source for reclaims of single machines and for refused starts. */
	readonly random: Random;
	/** Random source for reclaims of a whole zone. It is separate so that all compared policies see the same zone reclaims. */
	readonly zoneReclaimRandom: Random;
	readonly offers: readonly FakeOffer[];
	/** Expected number of events per zone and hour in which all reclaimable machines of the zone are reclaimed at once. */
	readonly zoneReclaimsPerHour: number;
	/** Time after such an event during which no reclaimable machine can be started in the zone. */
	readonly zoneUnavailableMs: number;
	/** Probability that the start of a reclaimable machine is refused. */
	readonly refusalShare: number;
};

/** A running machine. */
type FakeMachine = {
	readonly id: string;
	readonly offer: FakeOffer;
};

/** Simulates machines in memory. Costs grow and machines are reclaimed only when `advance` is called. */
export class FakeCloud {
	/** Cost of all machines so far, in the currency of `pricePerHour`. */
	cost = 0;
	/** Number of reclaimed machines. */
	reclaims = 0;
	/** Number of successful starts. */
	starts = 0;
	readonly #options: FakeCloudOptions;
	readonly #machines = new Map<string, FakeMachine>();
	readonly #unavailableUntil = new Map<string, number>();

	constructor(options: FakeCloudOptions) {
		this.#options = options;
	}

	async listOffers(): Promise<readonly FakeOffer[]> {
		return this.#options.offers;
	}

	async listMachines(): Promise<readonly FakeMachine[]> {
		return [...this.#machines.values()];
	}

	async start(requested: {readonly zone: string; readonly machineClass: string; readonly market: string}): Promise<string> {
		const {clock, random, offers, refusalShare} = this.#options;
		const offer = offers.find(({zone, machineClass, market}) => zone === requested.zone && machineClass === requested.machineClass && market === requested.market)!;
		const isUnavailable = clock.now() < (this.#unavailableUntil.get(offer.zone) ?? 0);
		if (offer.market === 'reclaimable' && (isUnavailable || random.next() < refusalShare)) {
			throw new CodedError('no_capacity', `Zone ${offer.zone} has no capacity for machine class ${offer.machineClass}.`, 'Try another machine class.');
		}

		this.starts += 1;
		const id = `machine-${this.starts}`;
		this.#machines.set(id, {id, offer});
		return id;
	}

	async stop(id: string): Promise<void> {
		this.#machines.delete(id);
	}

	/** Adds the cost of the machines for the given duration and reclaims machines at random. */
	advance(durationMs: number): void {
		const hours = durationMs / hourMs;
		this.#reclaimZones(hours);
		for (const {id, offer} of this.#machines.values()) {
			this.cost += offer.pricePerHour * hours;
			if (offer.market === 'reclaimable' && this.#options.random.next() < offer.reclaimsPerHour * hours) {
				this.#reclaim(id);
			}
		}
	}

	#reclaimZones(hours: number): void {
		const {offers, zoneReclaimRandom, zoneReclaimsPerHour, clock, zoneUnavailableMs} = this.#options;
		for (const zone of new Set(offers.map(offer => offer.zone))) {
			if (zoneReclaimRandom.next() >= zoneReclaimsPerHour * hours) {
				continue;
			}

			this.#unavailableUntil.set(zone, clock.now() + zoneUnavailableMs);
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
