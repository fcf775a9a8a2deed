/** Compares fleet policies on virtual time: cost, and how long the latency target could not be met. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {Logger} from '@mulberrypitch/logger/logger';
import {FleetKeeper} from './fleet-keeper.js';
import {
	planFleet, type FleetPlan, type PlanInput, type PlannedMachines,
} from './fleet-planner.js';
import {getOfferKey} from './offer-key.js';
import {
	markets, type Cloud, type Offer, type WeightStore,
} from './types.js';

const stepMs = 60_000;
const hourMs = 3_600_000;
const dayMs = 24 * hourMs;
const lowestShare = 0.4;
/** Time for the first machines to start, which is not measured. */
const warmUpMs = hourMs;

/** Stand-ins that start the same for each policy. */
export type FleetWorld = {
	readonly clock: Clock;
	readonly random: Random;
	readonly cloud: Cloud;
	readonly weightStore: WeightStore;
	readonly logger: Logger;
	/** Lets time pass. */
	advance(durationMs: number): Promise<void>;
	/** Price of all machines so far. */
	getCost(): number;
	/** Machines started so far. */
	getStarts(): number;
};

/** What is compared. */
export type FleetExperimentOptions = {
	readonly createWorld: () => FleetWorld;
	readonly durationMs: number;
	readonly peakTokensPerSecond: number;
	readonly startMs: number;
};

/** What one policy gave. */
export type FleetResult = {
	readonly policy: string;
	readonly costPerHour: number;
	/** Share of time with fewer ready machines than the demand needs. */
	readonly shareBelowTarget: number;
	readonly startsPerHour: number;
};

type Policy = {
	readonly name: string;
	plan(input: PlanInput): FleetPlan;
};

const policies: readonly Policy[] = [
	{name: 'planner', plan: planFleet},
	{name: 'planner without reclaim rates', plan: input => planFleet({...input, getUsefulShare: () => 1})},
	{name: 'all on demand', plan: input => planFleet({...input, offers: input.offers.filter(({market}) => market === markets.onDemand)})},
	{name: 'cheapest first', plan: input => planCheapestFirst(input, 1)},
	{name: 'cheapest first, 1.5 times the need', plan: input => planCheapestFirst(input, 1.5)},
	{name: 'cheapest first, 2 times the need', plan: input => planCheapestFirst(input, 2)},
];

/**
Runs all policies in equal worlds and gives cost and time below the target of each.

@example
```
const results = await compareFleetPolicies(options);
```
*/
export async function compareFleetPolicies(options: FleetExperimentOptions): Promise<FleetResult[]> {
	const results: FleetResult[] = [];
	for (const policy of policies) {
		results.push(await runPolicy(policy, options));
	}

	return results;
}

async function runPolicy(policy: Policy, options: FleetExperimentOptions): Promise<FleetResult> {
	const world = options.createWorld();
	const keeper = new FleetKeeper({...world, startMs: options.startMs, plan: policy.plan});
	let startCost = 0;
	let firstStarts = 0;
	let steps = 0;
	let stepsBelow = 0;
	for (let time = 0; time < warmUpMs + options.durationMs; time += stepMs) {
		const demand = getDemand(time, options.peakTokensPerSecond);
		await keeper.step(demand);
		await world.advance(stepMs);
		if (time < warmUpMs) {
			startCost = world.getCost();
			firstStarts = world.getStarts();
			continue;
		}

		const machines = await world.cloud.listMachines();
		const running = new Set(machines.map(({id}) => id));
		const tokens = keeper.ready.filter(({id}) => running.has(id)).reduce((sum, {offer}) => sum + offer.tokensPerSecond, 0);
		steps += 1;
		stepsBelow += tokens < demand ? 1 : 0;
	}

	return {
		policy: policy.name,
		costPerHour: (world.getCost() - startCost) / (options.durationMs / hourMs),
		shareBelowTarget: stepsBelow / steps,
		startsPerHour: (world.getStarts() - firstStarts) / (options.durationMs / hourMs),
	};
}

/** A day of demand: low at night, its peak at noon. */
function getDemand(time: number, peak: number): number {
	const wave = (1 - Math.cos(2 * Math.PI * time / dayMs)) / 2;
	return peak * (lowestShare + ((1 - lowestShare) * wave));
}

/** Takes the lowest price per token, wherever it is and however often it is reclaimed. */
function planCheapestFirst(input: PlanInput, factor: number): FleetPlan {
	const need = input.tokensPerSecond * factor;
	const machines: PlannedMachines[] = [];
	let tokens = 0;
	for (const offer of input.offers.toSorted(comparePricePerToken)) {
		const running = input.machines.filter(machine => getOfferKey(machine.offer) === getOfferKey(offer)).length;
		const missing = Math.max(0, Math.ceil((need - tokens) / offer.tokensPerSecond));
		const count = input.isAvailable(offer) ? missing : Math.min(missing, running);
		tokens += count * offer.tokensPerSecond;
		machines.push({offer, count});
	}

	return {machines, pricePerHour: machines.reduce((sum, {offer, count}) => sum + (count * offer.pricePerHour), 0), isZoneLossCovered: false};
}

function comparePricePerToken(left: Offer, right: Offer): number {
	return (left.pricePerHour / left.tokensPerSecond) - (right.pricePerHour / right.tokensPerSecond);
}
