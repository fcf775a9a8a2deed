/** Fleet plans, backoff, the rate limit of the weight store, and the comparison of policies. */
import t from 'tap';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {FakeCloud, type FakeOffer} from '@mulberrypitch/fakes/cloud';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {FakeWeightStore} from '@mulberrypitch/fakes/weight-store';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {compareFleetPolicies, type FleetSimulation} from '../fleet-experiment.js';
import {FleetReconciler} from '../fleet-reconciler.js';
import {planFleet, getTokensWithoutLargestZone, type FleetPlan} from '../fleet-planner.js';
import {OfferBackoff} from '../offer-backoff.js';
import type {Offer} from '../types.js';

const hourMs = 3_600_000;
const startupMs = 300_000;
const zones = ['palermo', 'catania', 'agrigento'];
const offers: FakeOffer[] = zones.flatMap((zone, index) => [
	{
		zone, machineClass: 'small', market: 'reclaimable' as const, pricePerHour: 1 + (index / 10), tokensPerSecond: 100, reclaimsPerHour: 0.05,
	},
	{
		zone, machineClass: 'bargain', market: 'reclaimable' as const, pricePerHour: 0.9, tokensPerSecond: 100, reclaimsPerHour: 2,
	},
	{
		zone, machineClass: 'large', market: 'reclaimable' as const, pricePerHour: 2.7 + (index / 10), tokensPerSecond: 250, reclaimsPerHour: 0.1,
	},
	{
		zone, machineClass: 'small', market: 'onDemand' as const, pricePerHour: 3, tokensPerSecond: 100, reclaimsPerHour: 0,
	},
]);

function toMachines({machines}: FleetPlan) {
	return machines.flatMap(({offer, count}) => Array.from({length: count}, (_, index) => ({id: String(index), offer})));
}

function plan(isAvailable: (offer: Offer) => boolean): FleetPlan {
	return planFleet({
		tokensPerSecond: 900, offers, machines: [], isAvailable, getUsefulShare: () => 1, getPrice: offer => offer.pricePerHour,
	});
}

await t.test('covers the loss of any one zone even when offers are refused, and uses on-demand machines last', t => {
	const unrestricted = plan(() => true);
	t.ok(getTokensWithoutLargestZone(toMachines(unrestricted), () => 1) >= 900);
	t.ok(unrestricted.machines.every(({offer}) => offer.market === 'reclaimable'));
	const fallback = plan(({zone, market}) => zone !== 'palermo' || market === 'onDemand');
	t.ok(getTokensWithoutLargestZone(toMachines(fallback), () => 1) >= 900);
	t.ok(fallback.pricePerHour > unrestricted.pricePerHour);
	const onDemand = plan(({market}) => market === 'onDemand');
	t.ok(getTokensWithoutLargestZone(toMachines(onDemand), () => 1) >= 900);
	t.equal(plan(({zone}) => zone === 'palermo').isZoneLossCovered, false);
	t.end();
});

await t.test('pays more for machines that are reclaimed less often', t => {
	const {machines} = planFleet({
		tokensPerSecond: 1000, offers, machines: [], isAvailable: () => true, getUsefulShare: ({machineClass}) => machineClass === 'bargain' ? 0.5 : 1, getPrice: offer => offer.pricePerHour,
	});
	t.notOk(machines.some(({offer}) => offer.machineClass === 'bargain'));
	t.end();
});

await t.test('backs off longer after each refusal of an offer, without affecting other offers', t => {
	const backoff = new OfferBackoff(new SeededRandom(1));
	const [refused, other] = offers;
	backoff.recordRefusal(refused!, 0);
	t.notOk(backoff.isAvailable(refused!, 10_000));
	t.ok(backoff.isAvailable(refused!, 30_000));
	t.ok(backoff.isAvailable(other!, 10_000));
	backoff.recordRefusal(refused!, 30_000);
	t.notOk(backoff.isAvailable(refused!, 59_000));
	backoff.reset(refused!);
	t.ok(backoff.isAvailable(refused!, 59_000));
	t.end();
});

function createSimulation(): FleetSimulation & {readonly weightStore: FakeWeightStore} {
	const clock = new VirtualClock();
	const cloud = new FakeCloud({
		clock, random: new SeededRandom(7), zoneReclaimRandom: new SeededRandom(8), offers, zoneReclaimsPerHour: 1 / 24, zoneUnavailableMs: 45 * 60_000, refusalShare: 0.05,
	});
	return {
		clock,
		random: new SeededRandom(9),
		cloud,
		weightStore: new FakeWeightStore(clock, 20_000, startupMs),
		logger: new SilentLogger(),
		async advance(durationMs) {
			await clock.runFor(durationMs);
			cloud.advance(durationMs);
		},
		getCost: () => cloud.cost,
		getStarts: () => cloud.starts,
		getReclaims: () => cloud.reclaims,
	};
}

await t.test('falls back to another offer in the same step, within the rate limit of the weight store', async t => {
	const simulation = createSimulation();
	const {cloud} = simulation;
	const refusingCloud = {
		listOffers: async () => cloud.listOffers(),
		listMachines: async () => cloud.listMachines(),
		stop: async (id: string) => cloud.stop(id),
		async start(offer: Offer) {
			if (offer.market === 'reclaimable') {
				throw new CodedError('no_capacity', 'None left.', 'Take another.');
			}

			return cloud.start(offer);
		},
	};
	const reconciler = new FleetReconciler({
		...simulation, cloud: refusingCloud, startupMs, reclaimPrice: 0, plan: planFleet,
	});
	for (let minute = 0; minute < 60; minute += 1) {
		await reconciler.step(900);
		await simulation.advance(60_000);
	}

	t.equal(simulation.weightStore.refusals, 0);
	t.ok(reconciler.ready.every(({offer}) => offer.market === 'onDemand'));
	t.ok(getTokensWithoutLargestZone(reconciler.ready, () => 1) >= 900);
});

// Guards against a machine that is paid for and serves nothing, since its weights could not be fetched.
await t.test('a machine whose weights failed to load is stopped and replaced', async t => {
	const {cloud, clock, advance} = createSimulation();
	let failures = 2;
	const fetched: string[] = [];
	const reconciler = new FleetReconciler({
		cloud,
		clock,
		random: new SeededRandom(1),
		logger: new SilentLogger(),
		startupMs,
		reclaimPrice: 1,
		plan: planFleet,
		weightStore: {
			fetchIntervalMs: 0,
			async fetch(id: string) {
				failures -= 1;
				if (failures >= 0) {
					throw new CodedError('unavailable', 'The weight store is unavailable.', 'Try again.');
				}

				fetched.push(id);
			},
		},
	});
	await reconciler.step(300);
	const first = await cloud.listMachines();
	await advance(1000);
	t.equal(reconciler.ready.length, first.length - 2);
	await reconciler.step(300);
	await advance(1000);
	const second = await cloud.listMachines();
	t.ok(getTokensWithoutLargestZone(reconciler.ready, () => 1) >= 300);
	t.equal(reconciler.ready.length, second.length);
	t.equal(fetched.length, second.length);
});

await t.test('the planner costs less than on-demand machines only, and is below the target less often than cheapest first', async t => {
	const results = await compareFleetPolicies({
		createSimulation, durationMs: 48 * hourMs, peakTokensPerSecond: 1500, startupMs,
	});
	for (const {policy, costPerHour, shareBelowTarget, startsPerHour} of results) {
		t.comment(`${policy}: ${costPerHour.toFixed(2)} an hour, ${(shareBelowTarget * 100).toFixed(2)} % below the target, ${startsPerHour.toFixed(1)} starts an hour`);
	}

	const get = (policy: string) => results.find(result => result.policy === policy)!;
	const planner = get('planner');
	t.ok(planner.costPerHour < get('all on demand').costPerHour);
	t.ok(get('planner, 0.5 a reclaim').reclaimsPerHour < planner.reclaimsPerHour);
	t.ok(planner.shareBelowTarget < get('cheapest first').shareBelowTarget);
});
