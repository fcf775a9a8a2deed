/** The cheapest machines that meet the latency target while one zone is lost. */
import {getOfferKey} from './offer-key.js';
import type {Machine, Offer} from './types.js';

const maxZones = 8;

/** What a plan is made from. */
export type PlanInput = {
	/** Tokens that the callers need at the latency target, per second. */
	readonly tokensPerSecond: number;
	readonly offers: readonly Offer[];
	/** Machines that run; they count also where their offer is refused now. */
	readonly machines: readonly Machine[];
	readonly isAvailable: (offer: Offer) => boolean;
	/** Share of paid time in which a machine of the offer serves. */
	readonly getUsefulShare: (offer: Offer) => number;
};

/** Machines to have, of one offer. */
export type PlannedMachines = {
	readonly offer: Offer;
	readonly count: number;
};

/** The machines to have. */
export type FleetPlan = {
	readonly machines: readonly PlannedMachines[];
	readonly pricePerHour: number;
	/** The target holds also while any one zone is lost. */
	readonly isZoneLossCovered: boolean;
};

type Choice = {
	readonly offer: Offer;
	readonly usefulTokens: number;
	readonly maxCount: number;
};

/**
Plans the cheapest fleet. Tries each set of zones: with n of them, each must carry 1/(n - 1) of the need.

@example
```
const {machines} = planFleet(input);
```
*/
export function planFleet(input: PlanInput): FleetPlan {
	const byZone = groupChoices(input);
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
Gives the useful tokens per second that are left while the largest zone is lost.

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

/** Sorts what each zone offers by price per useful token. On-demand machines come last by their price. */
function groupChoices({offers, machines, isAvailable, getUsefulShare}: PlanInput): Map<string, Choice[]> {
	const byZone = new Map<string, Choice[]>();
	for (const offer of offers) {
		const running = machines.filter(machine => getOfferKey(machine.offer) === getOfferKey(offer)).length;
		const choice = {
			offer,
			usefulTokens: offer.tokensPerSecond * getUsefulShare(offer),
			maxCount: isAvailable(offer) ? Number.POSITIVE_INFINITY : running,
		};
		byZone.set(offer.zone, [...byZone.get(offer.zone) ?? [], choice].toSorted(compareChoices));
	}

	return byZone;
}

function planZones(zones: readonly string[], byZone: ReadonlyMap<string, readonly Choice[]>, tokensPerZone: number): Omit<FleetPlan, 'isZoneLossCovered'> | undefined {
	const machines: PlannedMachines[] = [];
	for (const zone of zones) {
		const planned = planZone(byZone.get(zone)!, tokensPerZone);
		if (planned === undefined) {
			return undefined;
		}

		machines.push(...planned);
	}

	return {machines, pricePerHour: machines.reduce((sum, {offer, count}) => sum + (count * offer.pricePerHour), 0)};
}

/** Takes whole machines of the cheapest choices, and the cheapest single machine that covers the rest. */
function planZone(choices: readonly Choice[], tokens: number): PlannedMachines[] | undefined {
	const planned: PlannedMachines[] = [];
	let rest = tokens;
	for (const [index, choice] of choices.entries()) {
		const count = Math.min(choice.maxCount, Math.floor(rest / choice.usefulTokens));
		rest -= count * choice.usefulTokens;
		const last = rest > 0 && count < choice.maxCount ? findLast(choices.slice(index), rest) : undefined;
		addCount(planned, choice.offer, count);
		if (last !== undefined) {
			addCount(planned, last.offer, 1);
			rest = 0;
		}

		if (rest <= 0) {
			return planned;
		}
	}

	return undefined;
}

function findLast(choices: readonly Choice[], rest: number): Choice | undefined {
	return choices
		.filter(({usefulTokens, maxCount}) => usefulTokens >= rest && maxCount > 0)
		.toSorted((left, right) => left.offer.pricePerHour - right.offer.pricePerHour)[0];
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

function listSubsets(zones: readonly string[]): string[][] {
	return Array.from({length: 2 ** zones.length}, (_, bits) => zones.filter((_, index) => Math.floor(bits / (2 ** index)) % 2 === 1));
}

function compareChoices(left: Choice, right: Choice): number {
	return (left.offer.pricePerHour / left.usefulTokens) - (right.offer.pricePerHour / right.usefulTokens);
}

function comparePrice(left: {readonly pricePerHour: number}, right: {readonly pricePerHour: number}): number {
	return left.pricePerHour - right.pricePerHour;
}
