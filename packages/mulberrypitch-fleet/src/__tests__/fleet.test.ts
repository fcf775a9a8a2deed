/** Plans, back-off, the limit of the weight store, and the comparison of policies. */
import t from 'tap';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {FakeCloud, type FakeOffer} from '@mulberrypitch/fakes/cloud';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {FakeWeightStore} from '@mulberrypitch/fakes/weight-store';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {compareFleetPolicies, type FleetWorld} from '../fleet-experiment.js';
import {FleetKeeper} from '../fleet-keeper.js';
import {planFleet, getTokensWithoutLargestZone, type FleetPlan} from '../fleet-planner.js';
import {OfferBackoff} from '../offer-backoff.js';
import type {Offer} from '../types.js';

const hourMs = 3_600_000;
const startMs = 300_000;
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
		tokensPerSecond: 900, offers, machines: [], isAvailable, getUsefulShare: () => 1,
	});
}

await t.test('covers the loss of any one zone, also when offers are refused, with on-demand machines last', t => {
	const all = plan(() => true);
	t.ok(getTokensWithoutLargestZone(toMachines(all), () => 1) >= 900);
	t.ok(all.machines.every(({offer}) => offer.market === 'reclaimable'));
	const fallback = plan(({zone, market}) => zone !== 'palermo' || market === 'onDemand');
	t.ok(getTokensWithoutLargestZone(toMachines(fallback), () => 1) >= 900);
	t.ok(fallback.pricePerHour > all.pricePerHour);
	const onDemand = plan(({market}) => market === 'onDemand');
	t.ok(getTokensWithoutLargestZone(toMachines(onDemand), () => 1) >= 900);
	t.equal(plan(({zone}) => zone === 'palermo').isZoneLossCovered, false);
	t.end();
});

await t.test('pays more for machines that are reclaimed less', t => {
	const {machines} = planFleet({
		tokensPerSecond: 1000, offers, machines: [], isAvailable: () => true, getUsefulShare: ({machineClass}) => machineClass === 'bargain' ? 0.5 : 1,
	});
	t.notOk(machines.some(({offer}) => offer.machineClass === 'bargain'));
	t.end();
});

await t.test('leaves a refused offer alone for longer each time, and no other', t => {
	const backoff = new OfferBackoff(new SeededRandom(1));
	const [refused, other] = offers;
	backoff.noteRefusal(refused!, 0);
	t.notOk(backoff.isAvailable(refused!, 10_000));
	t.ok(backoff.isAvailable(refused!, 30_000));
	t.ok(backoff.isAvailable(other!, 10_000));
	backoff.noteRefusal(refused!, 30_000);
	t.notOk(backoff.isAvailable(refused!, 59_000));
	backoff.noteStart(refused!);
	t.ok(backoff.isAvailable(refused!, 59_000));
	t.end();
});

function createWorld(): FleetWorld & {readonly weightStore: FakeWeightStore} {
	const clock = new VirtualClock();
	const cloud = new FakeCloud({
		clock, random: new SeededRandom(7), waveRandom: new SeededRandom(8), offers, wavesPerZoneHour: 1 / 24, scarceMs: 45 * 60_000, refusalShare: 0.05,
	});
	return {
		clock,
		random: new SeededRandom(9),
		cloud,
		weightStore: new FakeWeightStore(clock, 20_000, startMs),
		logger: new SilentLogger(),
		async advance(durationMs) {
			await clock.runFor(durationMs);
			cloud.pass(durationMs);
		},
		getCost: () => cloud.cost,
		getStarts: () => cloud.starts,
	};
}

await t.test('falls to another offer in the same step, and keeps within the rate of the weight store', async t => {
	const world = createWorld();
	const {cloud} = world;
	const refusing = {
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
	const keeper = new FleetKeeper({
		...world, cloud: refusing, startMs, plan: planFleet,
	});
	for (let minute = 0; minute < 60; minute += 1) {
		await keeper.step(900);
		await world.advance(60_000);
	}

	t.equal(world.weightStore.refusals, 0);
	t.ok(keeper.ready.every(({offer}) => offer.market === 'onDemand'));
	t.ok(getTokensWithoutLargestZone(keeper.ready, () => 1) >= 900);
});

await t.test('costs less than all on demand and is below the target for less time than cheapest first', async t => {
	const results = await compareFleetPolicies({
		createWorld, durationMs: 48 * hourMs, peakTokensPerSecond: 1500, startMs,
	});
	for (const {policy, costPerHour, shareBelowTarget, startsPerHour} of results) {
		t.comment(`${policy}: ${costPerHour.toFixed(2)} an hour, ${(shareBelowTarget * 100).toFixed(2)} % below the target, ${startsPerHour.toFixed(1)} starts an hour`);
	}

	const get = (policy: string) => results.find(result => result.policy === policy)!;
	const planner = get('planner');
	t.ok(planner.costPerHour < get('all on demand').costPerHour);
	t.ok(planner.shareBelowTarget < get('cheapest first').shareBelowTarget);
});
