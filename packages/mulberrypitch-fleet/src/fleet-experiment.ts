/** Compares the cost of fleet policies in a simulation, and the share of time in which they lack capacity for the latency target. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {Logger} from '@mulberrypitch/logger/logger';
import {FleetReconciler} from './fleet-reconciler.js';
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
/** Lowest demand of the day, at midnight, as a share of the peak. */
const minDemandShare = 0.4;
/** Simulated time in which the first machines start; excluded from the results. */
const warmUpMs = hourMs;

/** A simulated cloud and weight store. Each policy runs in a new one with the same initial state. */
export type FleetSimulation = {
	readonly clock: Clock;
	readonly random: Random;
	readonly cloud: Cloud;
	readonly weightStore: WeightStore;
	readonly logger: Logger;
	/** Advances the simulated time. */
	advance(durationMs: number): Promise<void>;
	/** Returns the price paid for all machines so far. */
	getCost(): number;
	/** Returns the number of machines started so far. */
	getStarts(): number;
	/** Returns the number of machines reclaimed so far. */
	getReclaims(): number;
};

/** Demand, duration and environment of a comparison. */
export type FleetExperimentOptions = {
	/** Creates the environment of one policy; all calls must return equal ones. */
	readonly createSimulation: () => FleetSimulation;
	/** Simulated time that is measured, after the warm-up. */
	readonly durationMs: number;
	/** Highest demand of the day. */
	readonly peakTokensPerSecond: number;
	/** Time from the start of a machine until it serves. */
	readonly startupMs: number;
};

/** Result of one policy. */
export type FleetResult = {
	readonly policy: string;
	/** Price paid for all machines, per hour. */
	readonly costPerHour: number;
	/** Share of steps in which the ready machines could not serve the demand. */
	readonly shareBelowTarget: number;
	readonly startsPerHour: number;
	readonly reclaimsPerHour: number;
};

type Policy = {
	readonly name: string;
	readonly reclaimPrice: number;
	plan(input: PlanInput): FleetPlan;
};

const policies: readonly Policy[] = [
	{name: 'planner', reclaimPrice: 0, plan: planFleet},
	{name: 'planner, 0.1 a reclaim', reclaimPrice: 0.1, plan: planFleet},
	{name: 'planner, 0.5 a reclaim', reclaimPrice: 0.5, plan: planFleet},
	{name: 'planner without reclaim rates', reclaimPrice: 0, plan: input => planFleet({...input, getUsefulShare: () => 1})},
	{name: 'all on demand', reclaimPrice: 0, plan: input => planFleet({...input, offers: input.offers.filter(({market}) => market === markets.onDemand)})},
	{name: 'cheapest first', reclaimPrice: 0, plan: input => planCheapestFirst(input, 1)},
	{name: 'cheapest first, 1.5 times the need', reclaimPrice: 0, plan: input => planCheapestFirst(input, 1.5)},
	{name: 'cheapest first, 2 times the need', reclaimPrice: 0, plan: input => planCheapestFirst(input, 2)},
];

/**
Runs each policy in its own simulation, all with the same initial state, and returns their results in the order of the policies.

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
	const simulation = options.createSimulation();
	const reconciler = new FleetReconciler({
		...simulation, startupMs: options.startupMs, reclaimPrice: policy.reclaimPrice, plan: policy.plan,
	});
	let warmUpCost = 0;
	let warmUpStarts = 0;
	let warmUpReclaims = 0;
	let steps = 0;
	let stepsBelowTarget = 0;
	for (let time = 0; time < warmUpMs + options.durationMs; time += stepMs) {
		const demand = getDemand(time, options.peakTokensPerSecond);
		await reconciler.step(demand);
		await simulation.advance(stepMs);
		if (time < warmUpMs) {
			warmUpCost = simulation.getCost();
			warmUpStarts = simulation.getStarts();
			warmUpReclaims = simulation.getReclaims();
			continue;
		}

		const machines = await simulation.cloud.listMachines();
		const running = new Set(machines.map(({id}) => id));
		const tokens = reconciler.ready.filter(({id}) => running.has(id)).reduce((sum, {offer}) => sum + offer.tokensPerSecond, 0);
		steps += 1;
		stepsBelowTarget += tokens < demand ? 1 : 0;
	}

	return {
		policy: policy.name,
		costPerHour: (simulation.getCost() - warmUpCost) / (options.durationMs / hourMs),
		shareBelowTarget: stepsBelowTarget / steps,
		startsPerHour: (simulation.getStarts() - warmUpStarts) / (options.durationMs / hourMs),
		reclaimsPerHour: (simulation.getReclaims() - warmUpReclaims) / (options.durationMs / hourMs),
	};
}

/** Returns the demand in tokens per second: a daily cosine with its minimum at midnight and its peak at noon. */
function getDemand(time: number, peak: number): number {
	const wave = (1 - Math.cos(2 * Math.PI * time / dayMs)) / 2;
	return peak * (minDemandShare + ((1 - minDemandShare) * wave));
}

/** Plans machines by price per token only, without regard to zones and reclaim rates. The need is the demand times `factor`. */
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
