/**
 * Decides how many back ends of a service to have in each zone. Spot back ends are cheap, but a whole zone of them may be
 * reclaimed at a time; on-demand back ends are ordered only to cover what such a loss would leave missing.
 */
import type {ScalingPolicy} from '@mulberrypitch/serving/types';
import type {CapacityNeed} from './capacity-estimator.js';

/** The back ends of one service that run in one zone. */
export type ZoneFleet = {
	readonly zone: string;
	/** Spot back ends that accept requests. */
	readonly spot: number;
	/** On-demand back ends that accept requests. */
	readonly onDemand: number;
	/** Largest number of back ends of one kind seen serving in this zone. It is planned until the need is known. */
	readonly largestSize: number;
	/** The platform refused an order of spot back ends in this zone recently. */
	readonly isSpotUnavailable: boolean;
};

/** The inputs of a plan. */
export type FleetSituation = {
	readonly policy: ScalingPolicy;
	readonly zones: readonly ZoneFleet[];
	/** Back ends that the current load requires over all zones; absent while unknown. */
	readonly need: CapacityNeed | undefined;
	/** The load has been observed for long enough to scale down. */
	readonly isSettled: boolean;
};

/** The number of back ends to have in one zone, by kind. */
export type ZonePlan = {
	readonly zone: string;
	readonly spot: number;
	readonly onDemand: number;
};

/** Number of zones whose spot back ends the plan assumes may be reclaimed while no new ones are available. */
const assumedZoneLosses = 2;
/** Number of zones from which on each zone holds so little that the need is met in full only for the next loss. */
const manyZones = 5;
/** Part of the need that is met in such a deployment after one more loss, until further back ends have booted. */
const secondLossShare = 0.6;
/** Fraction of a back end that may be missing before another one is ordered. */
const toleratedShortfall = 0.3;

/**
Returns the number of spot and on-demand back ends to have in each zone for one service.

@example
```
for (const {zone, spot, onDemand} of planZones(situation)) { … }
```
*/
export function planZones(situation: FleetSituation): readonly ZonePlan[] {
	const {policy, zones, need, isSettled} = situation;
	const planned = need === undefined ? undefined : distributeSpot(need.comfortable, zones, policy);
	const hasUnavailableSpot = zones.some(({isSpotUnavailable}) => isSpotUnavailable);
	const onDemand = distributeOnDemand(countMissing(situation), zones, policy);
	return zones.map(({zone, spot, largestSize}) => ({
		zone,
		// Spot back ends released while none are available can't be replaced, and a new duty holder knows too little of the load.
		spot: clamp(Math.max(planned?.get(zone) ?? largestSize, hasUnavailableSpot || !isSettled ? spot : 0), Math.max(1, policy.min), policy.max),
		onDemand: onDemand.get(zone) ?? 0,
	}));
}

/**
Returns the fewest spot back ends by zone with which all zones but any one meet the need, as evenly as that allows and in the cheapest zones.
A zone holds no more than the policy allows, even if the need is not met then.
*/
function distributeSpot(need: number, zones: readonly ZoneFleet[], {max, zonePrices}: ScalingPolicy): ReadonlyMap<string, number> {
	const byPrice = zones.toSorted((left, right) => getZonePrice(left, zonePrices) - getZonePrice(right, zonePrices));
	const counts = new Map(zones.map(({zone}) => [zone, 0]));
	for (let level = 1; level <= max; level += 1) {
		for (const {zone} of byPrice) {
			if (isMetWithoutLargest(need, [...counts.values()])) {
				return counts;
			}

			counts.set(zone, level);
		}
	}

	return counts;
}

/** Reports whether the need is met when the zone with the most back ends is lost. The only zone is not taken for lost, since nothing would be left. */
function isMetWithoutLargest(need: number, counts: readonly number[]): boolean {
	const lost = counts.length > 1 ? Math.max(...counts) : 0;
	return sum(counts) - lost >= need;
}

/**
Returns how many on-demand back ends are needed: the shortfall of the spot back ends, assuming that more zones are reclaimed
if no new spot back ends are available.
*/
function countMissing({zones, need}: FleetSituation): number {
	const least = need?.least ?? 0;
	if (!zones.some(({isSpotUnavailable}) => isSpotUnavailable)) {
		// While spot back ends are available, the spread over the other zones compensates for the loss of one zone.
		return countShortfall(least, sum(zones.map(({spot}) => spot)));
	}

	if (zones.length < manyZones) {
		return countShortfall(least, sumAfterLosses(zones, assumedZoneLosses));
	}

	return Math.max(countShortfall(least, sumAfterLosses(zones, 1)), countShortfall(secondLossShare * least, sumAfterLosses(zones, assumedZoneLosses)));
}

function countShortfall(need: number, spots: number): number {
	return Math.max(0, Math.ceil(need - toleratedShortfall) - spots);
}

/** Returns the number of spot back ends that are left when the zones with most of them are reclaimed. */
function sumAfterLosses(zones: readonly ZoneFleet[], losses: number): number {
	const spots = zones.map(({spot}) => spot).toSorted((left, right) => left - right);
	return sum(spots.slice(0, Math.max(0, zones.length - losses)));
}

/** Assigns on-demand back ends to zones: first to those that already run some, then to the cheapest. */
function distributeOnDemand(count: number, zones: readonly ZoneFleet[], {max, zonePrices}: ScalingPolicy): ReadonlyMap<string, number> {
	const byPrice = zones.toSorted((left, right) => getZonePrice(left, zonePrices) - getZonePrice(right, zonePrices));
	const result = new Map<string, number>();
	let remaining = count;
	for (const {zone, onDemand} of byPrice) {
		const kept = clamp(remaining, 0, onDemand);
		result.set(zone, kept);
		remaining -= kept;
	}

	for (const {zone, spot} of byPrice) {
		const here = result.get(zone)!;
		const added = clamp(remaining, 0, Math.max(0, max - spot - here));
		result.set(zone, here + added);
		remaining -= added;
	}

	return result;
}

function getZonePrice({zone}: ZoneFleet, zonePrices: ScalingPolicy['zonePrices']): number {
	return zonePrices[zone] ?? 1;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

function clamp(value: number, low: number, high: number): number {
	return Math.max(low, Math.min(high, value));
}
