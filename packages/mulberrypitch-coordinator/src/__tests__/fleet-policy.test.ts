/** Tests the planned fleet under various loads and losses of zones. */
import t from 'tap';
import type {ScalingPolicy} from '@mulberrypitch/serving/types';
import {planZones, type ZoneFleet, type ZonePlan} from '../fleet-policy.js';

const policy: ScalingPolicy = {
	min: 1, max: 6, bootMs: 4000, spotPrice: 0.2, zonePrices: {a: 0.85, b: 1.2, c: 1},
};

function createZones(...fleets: ReadonlyArray<Partial<ZoneFleet>>): readonly ZoneFleet[] {
	return ['a', 'b', 'c'].map((zone, index) => ({
		zone, spot: 0, onDemand: 0, largestSize: 0, isSpotUnavailable: false, ...fleets[index],
	}));
}

function createNeed(count: number) {
	return {least: count, comfortable: count};
}

function count(plan: readonly ZonePlan[], kind: 'spot' | 'onDemand'): number {
	return plan.reduce((total, zonePlan) => total + zonePlan[kind], 0);
}

function getPrice(plan: readonly ZonePlan[]): number {
	return plan.reduce((total, {zone, spot, onDemand}) => total + ((onDemand + (spot * policy.spotPrice)) * policy.zonePrices[zone]!), 0);
}

await t.test('normal load: the need is met without any one zone, at a lower price than with on-demand back ends only', async t => {
	const need = 3.2;
	const plan = planZones({
		policy, zones: createZones({spot: 2}, {spot: 2}, {spot: 2}), need: createNeed(need), isSettled: true,
	});
	t.equal(count(plan, 'onDemand'), 0);
	for (const lost of plan) {
		t.ok(count(plan, 'spot') - lost.spot >= Math.floor(need), `without zone ${lost.zone}`);
	}

	const baseline = plan.map(({zone}) => ({zone, spot: 0, onDemand: 2}));
	t.ok(getPrice(plan) < getPrice(baseline) / 2);
});

await t.test('start: the initial size is kept until the need is known', async t => {
	const plan = planZones({
		policy, zones: createZones({onDemand: 2, largestSize: 2}, {onDemand: 1, largestSize: 3}, {onDemand: 1, largestSize: 1}), need: undefined, isSettled: false,
	});
	t.same(plan.map(({spot}) => spot), [2, 3, 1]);
});

await t.test('a zone is reclaimed without spot capacity: on-demand back ends cover zones that may be reclaimed next', async t => {
	const plan = planZones({
		policy, zones: createZones({isSpotUnavailable: true}, {spot: 2}, {spot: 2}), need: createNeed(3.2), isSettled: true,
	});
	t.equal(count(plan, 'onDemand'), 3);
	t.same(plan.map(({spot}) => spot), [2, 2, 2], 'running back ends are kept and reclaimed ones are ordered again');
});

await t.test('a second zone is reclaimed soon after: no further on-demand back ends are ordered', async t => {
	const first = planZones({
		policy, zones: createZones({isSpotUnavailable: true}, {spot: 2}, {spot: 2}), need: createNeed(3.2), isSettled: true,
	});
	const zones = createZones({isSpotUnavailable: true}, {isSpotUnavailable: true}, {spot: 2}).map((fleet, index) => ({...fleet, onDemand: first[index]!.onDemand}));
	const second = planZones({
		policy, zones, need: createNeed(3.2), isSettled: true,
	});
	t.same(second.map(({onDemand}) => onDemand), first.map(({onDemand}) => onDemand));
});

await t.test('spot capacity is back: on-demand back ends are released only once spot back ends serve instead', async t => {
	const starting = planZones({
		policy, zones: createZones({onDemand: 3}, {}, {spot: 1}), need: createNeed(3.2), isSettled: true,
	});
	t.equal(count(starting, 'onDemand'), 2);
	const serving = planZones({
		policy, zones: createZones({onDemand: 3, spot: 2}, {spot: 2}, {spot: 2}), need: createNeed(3.2), isSettled: true,
	});
	t.equal(count(serving, 'onDemand'), 0);
});

await t.test('a burst that needs more than the bounds of the zones: orders stay within the bounds', async t => {
	const plan = planZones({
		policy, zones: createZones({spot: 6}, {spot: 6}, {spot: 6}), need: createNeed(30), isSettled: true,
	});
	t.ok(plan.every(({spot}) => spot <= policy.max));
	t.equal(count(plan, 'onDemand'), 0, 'all zones are at their maximum');
});

await t.test('the need falls without spot capacity: running spot back ends are kept', async t => {
	const plan = planZones({
		policy, zones: createZones({isSpotUnavailable: true}, {spot: 4}, {spot: 4}), need: createNeed(2), isSettled: true,
	});
	t.same(plan.map(({spot}) => spot), [1, 4, 4]);
});

await t.test('a new duty holder after a power loss has observed little of the load: running back ends are kept', async t => {
	const plan = planZones({
		policy, zones: createZones({spot: 4}, {spot: 4}, {spot: 4}), need: createNeed(3.2), isSettled: false,
	});
	t.same(plan.map(({spot}) => spot), [4, 4, 4]);
});

await t.test('one of four zones is reclaimed without spot capacity: the plan relies on one zone only', async t => {
	const zones = createZones({isSpotUnavailable: true}, {spot: 9}, {spot: 9});
	const plan = planZones({
		policy: {...policy, max: 30}, zones: [...zones, {...zones[1]!, zone: 'd'}], need: createNeed(22), isSettled: true,
	});
	t.equal(count(plan, 'onDemand'), 22 - 9);
});

// Guards against a spare back end in each zone where a few of them hold the need without any one zone.
await t.test('spot back ends are as few as hold the need without any one zone, the additional ones in the cheapest zones', async t => {
	const many = {
		...policy, max: 30, zonePrices: {
			a: 0.9, b: 1.2, c: 1, d: 1.1, e: 0.8,
		},
	};
	const zones = ['a', 'b', 'c', 'd', 'e'].map(zone => ({...createZones()[0]!, zone}));
	for (const [need, expected] of [[4.17, [2, 1, 1, 1, 2]], [3.9, [1, 1, 1, 1, 1]], [5.2, [2, 1, 2, 1, 2]], [36, [9, 9, 9, 9, 9]], [36.5, [10, 9, 9, 9, 10]]] as const) {
		const plan = planZones({
			policy: many, zones, need: createNeed(need), isSettled: true,
		});
		t.same(plan.map(({spot}) => spot), expected, `need ${need}`);
		for (const lost of plan) {
			t.ok(count(plan, 'spot') - lost.spot >= need, `need ${need} without zone ${lost.zone}`);
		}
	}
});

// Guards against on-demand back ends for nearly half of the need each time that one of many zones is reclaimed.
await t.test('one of five zones is reclaimed: on-demand back ends meet the need after the next loss, and most of it after one more', async t => {
	const least = 33;
	const fleets = [{isSpotUnavailable: true}, {spot: 9}, {spot: 9}, {spot: 9}, {spot: 9}];
	const zones = ['a', 'b', 'c', 'd', 'e'].map((zone, index) => ({...createZones()[0]!, zone, ...fleets[index]}));
	const plan = planZones({
		policy: {...policy, max: 30}, zones, need: {least, comfortable: 36}, isSettled: true,
	});
	const onDemand = count(plan, 'onDemand');
	t.ok(27 + onDemand >= Math.floor(least), 'after the next loss');
	t.ok(18 + onDemand >= 0.6 * least, 'after one more');
	t.ok(onDemand <= 6, `${onDemand} on-demand back ends`);
});
