/** Plans the cheapest fleet that still meets the latency target after the loss of any one zone. */
import {getOfferKey} from './offer-key.js';
import type {Machine, Offer} from './types.js';

/** Limits the zones considered, since every subset of them is planned. */
const maxZones = 8;

/** Demand, offers and running machines from which a plan is made. */
export type PlanInput = {
	/** Throughput that the demand needs at the latency target. */
	readonly tokensPerSecond: number;
	readonly offers: readonly Offer[];
	/** Running machines. A plan can keep them even while their offer is unavailable. */
	readonly machines: readonly Machine[];
	/** Reports whether further machines of the offer can be requested now. */
	readonly isAvailable: (offer: Offer) => boolean;
	/** Returns the share of paid time in which a machine of the offer serves. */
	readonly getUsefulShare: (offer: Offer) => number;
	/** Returns the price of one machine for an hour, including the expected cost of reclaims. */
	readonly getPrice: (offer: Offer) => number;
};

/** Planned number of machines of one offer. */
export type PlannedMachines = {
	readonly offer: Offer;
	readonly count: number;
};

/** Planned machines, their price, and whether they tolerate the loss of a zone. */
export type FleetPlan = {
	readonly machines: readonly PlannedMachines[];
	/** Price of all machines, including the expected cost of reclaims. */
	readonly pricePerHour: number;
	/** Whether the demand is still met after the loss of any one zone. */
	readonly isZoneLossCovered: boolean;
};

/** An offer with the price and the useful throughput of one machine, and the number of machines that a plan may use. */
type PricedOffer = {
	readonly offer: Offer;
	readonly pricePerHour: number;
	readonly usefulTokensPerSecond: number;
	readonly maxCount: number;
};

/**
Returns the cheapest fleet. Tries every subset of at least two zones: with n zones, each must carry 1/(n - 1) of the demand, so
that the others still meet it when one is lost. Falls back to the cheapest single zone, and to an empty plan when no zone suffices.

@example
```
const {machines} = planFleet(input);
```
*/
export function planFleet(input: PlanInput): FleetPlan {
	const byZone = groupOffersByZone(input);
	const zones = [...byZone.keys()].slice(0, maxZones);
	const plans = listSubsets(zones)
		.filter(subset => subset.length > 1)
		.flatMap(subset => planZones(subset, byZone, input.tokensPerSecond / (subset.length - 1)) ?? []);
	const covered = plans.toSorted(comparePrice)[0];
	if (covered !== undefined) {
		return {...covered, isZoneLossCovered: true};
	}

	const single = zones.flatMap(zone => planZones([zone], byZone, input.tokensPerSecond) ?? []).toSorted(comparePrice)[0];
	return {...single ?? {machines: [], pricePerHour: 0}, isZoneLossCovered: false};
}

/**
Returns the useful tokens per second that remain after the loss of the zone with the most.

@example
```
const isCovered = getTokensWithoutLargestZone(machines, () => 1) >= need;
```
*/
export function getTokensWithoutLargestZone(machines: readonly Machine[], getUsefulShare: (offer: Offer) => number): number {
	const byZone = new Map<string, number>();
	for (const {offer} of machines) {
		byZone.set(offer.zone, (byZone.get(offer.zone) ?? 0) + (offer.tokensPerSecond * getUsefulShare(offer)));
	}

	const tokens = [...byZone.values()];
	return tokens.reduce((sum, value) => sum + value, 0) - Math.max(0, ...tokens);
}

/** Groups the offers by zone, each sorted by price per useful token. The price puts on-demand machines last. */
function groupOffersByZone({
	offers, machines, isAvailable, getUsefulShare, getPrice,
}: PlanInput): Map<string, PricedOffer[]> {
	const byZone = new Map<string, PricedOffer[]>();
	for (const offer of offers) {
		const running = machines.filter(machine => getOfferKey(machine.offer) === getOfferKey(offer)).length;
		const pricedOffer = {
			offer,
			pricePerHour: getPrice(offer),
			usefulTokensPerSecond: offer.tokensPerSecond * getUsefulShare(offer),
			maxCount: isAvailable(offer) ? Number.POSITIVE_INFINITY : running,
		};
		byZone.set(offer.zone, [...byZone.get(offer.zone) ?? [], pricedOffer].toSorted(comparePricePerUsefulToken));
	}

	return byZone;
}

function planZones(zones: readonly string[], byZone: ReadonlyMap<string, readonly PricedOffer[]>, tokensPerZone: number): Omit<FleetPlan, 'isZoneLossCovered'> | undefined {
	const machines: PlannedMachines[] = [];
	let pricePerHour = 0;
	for (const zone of zones) {
		const pricedOffers = byZone.get(zone)!;
		const planned = planZone(pricedOffers, tokensPerZone);
		if (planned === undefined) {
			return undefined;
		}

		machines.push(...planned);
		pricePerHour += getTotalPrice(planned, pricedOffers);
	}

	return {machines, pricePerHour};
}

/**
Takes machines of the cheapest offers while each is fully used, then the cheapest single machine that covers the remainder.
Returns nothing when the offers of the zone do not suffice.
*/
function planZone(pricedOffers: readonly PricedOffer[], tokensPerSecond: number): PlannedMachines[] | undefined {
	const planned: PlannedMachines[] = [];
	let remaining = tokensPerSecond;
	for (const [index, pricedOffer] of pricedOffers.entries()) {
		const count = Math.min(pricedOffer.maxCount, Math.floor(remaining / pricedOffer.usefulTokensPerSecond));
		remaining -= count * pricedOffer.usefulTokensPerSecond;
		const covering = remaining > 0 && count < pricedOffer.maxCount ? findCheapestCovering(pricedOffers.slice(index), remaining) : undefined;
		addCount(planned, pricedOffer.offer, count);
		if (covering !== undefined) {
			addCount(planned, covering.offer, 1);
			remaining = 0;
		}

		if (remaining <= 0) {
			return planned;
		}
	}

	return undefined;
}

function getTotalPrice(planned: readonly PlannedMachines[], pricedOffers: readonly PricedOffer[]): number {
	const prices = new Map(pricedOffers.map(({offer, pricePerHour}) => [offer, pricePerHour]));
	return planned.reduce((sum, {offer, count}) => sum + (count * prices.get(offer)!), 0);
}

function findCheapestCovering(pricedOffers: readonly PricedOffer[], remaining: number): PricedOffer | undefined {
	return pricedOffers
		.filter(({usefulTokensPerSecond, maxCount}) => usefulTokensPerSecond >= remaining && maxCount > 0)
		.toSorted((left, right) => left.pricePerHour - right.pricePerHour)[0];
}

function addCount(planned: PlannedMachines[], offer: Offer, count: number): void {
	if (count === 0) {
		return;
	}

	const index = planned.findIndex(known => known.offer === offer);
	if (index === -1) {
		planned.push({offer, count});
	} else {
		planned[index] = {offer, count: planned[index]!.count + count};
	}
}

/** Returns every subset of the zones; the bits of a counter select its members. */
function listSubsets(zones: readonly string[]): string[][] {
	return Array.from({length: 2 ** zones.length}, (_, bits) => zones.filter((_, index) => Math.floor(bits / (2 ** index)) % 2 === 1));
}

function comparePricePerUsefulToken(left: PricedOffer, right: PricedOffer): number {
	return (left.pricePerHour / left.usefulTokensPerSecond) - (right.pricePerHour / right.usefulTokensPerSecond);
}

function comparePrice(left: {readonly pricePerHour: number}, right: {readonly pricePerHour: number}): number {
	return left.pricePerHour - right.pricePerHour;
}
