/** Tests the choice of back ends on virtual time with fixed seeds. */
import t from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {AffinityRouter} from '../affinity-router.js';
import {RetryBudget} from '../retry-budget.js';
import {getSubset} from '../subset.js';
import type {Candidate, RoutingRequest} from '../types.js';

const request: RoutingRequest = {service: 's', prefix: 'p', excluded: new Set()};

function createRouter(clock: VirtualClock, host = 'entry-1') {
	return new AffinityRouter({
		host, zone: 'zone-0', clock, random: new SeededRandom(1), getRetryRatio: () => 0.2,
	});
}

function createCandidates(count: number): Candidate[] {
	return Array.from({length: count}, (_, index) => ({
		id: `engine-${index}`, zone: `zone-${index % 3}`, slots: 16, isLeaving: false,
	}));
}

await t.test('sends a prefix to the same back end from every host', async t => {
	const clock = new VirtualClock();
	const chosen = ['entry-1', 'entry-2', 'entry-3'].map(host => createRouter(clock, host).choose(createCandidates(6), request)!.backend);
	t.equal(new Set(chosen).size, 1);
});

await t.test('spreads a prefix over several back ends when it would overload one', async t => {
	const router = createRouter(new VirtualClock());
	const chosen = Array.from({length: 60}, () => router.choose(createCandidates(6), request)!.backend);
	const counts = new Map<string, number>();
	for (const id of chosen) {
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	t.equal(counts.size, 6);
	t.ok(Math.max(...counts.values()) <= 16);
});

await t.test('sends no requests to leaving or excluded back ends', async t => {
	const router = createRouter(new VirtualClock());
	const candidates = createCandidates(2).map((candidate, index) => ({...candidate, isLeaving: index === 0}));
	for (let index = 0; index < 20; index += 1) {
		t.equal(router.choose(candidates, request)!.backend, 'engine-1');
	}

	t.equal(router.choose(candidates, {...request, excluded: new Set(['engine-1'])}), undefined);
});

await t.test('prefers the back end that reported the prefix as cached', async t => {
	const clock = new VirtualClock();
	const router = createRouter(clock);
	const first = router.choose(createCandidates(6), request)!;
	first.finish({isFailure: false});
	const other = createCandidates(6).find(({id}) => id !== first.backend)!.id;
	router.recordCacheEvent({
		prefix: 'p', backend: other, isCached: true, at: clock.now(),
	});
	t.equal(router.choose(createCandidates(6), request)!.backend, other);
});

await t.test('ejects failing back ends, but not a whole zone', async t => {
	const router = createRouter(new VirtualClock());
	const candidates = createCandidates(6);
	const seen = new Set<string>();
	for (let index = 0; index < 200; index += 1) {
		const dispatch = router.choose(candidates, {...request, prefix: String(index)})!;
		dispatch.finish({isFailure: dispatch.backend === 'engine-0'});
		if (index >= 100) {
			seen.add(dispatch.backend);
		}
	}

	t.notOk(seen.has('engine-0'));
	t.equal(seen.size, 5);
	const zone = candidates.filter(candidate => candidate.zone === 'zone-0');
	for (let index = 0; index < 50; index += 1) {
		router.choose(zone, request)!.finish({isFailure: true});
	}

	t.ok(router.choose(zone, request));
});

await t.test('limits retries in proportion to first requests', async t => {
	const budget = new RetryBudget(new VirtualClock(), () => 0.2);
	let retries = 0;
	for (let index = 0; index < 1000; index += 1) {
		budget.addDispatch();
		retries += budget.tryRetry() ? 1 : 0;
	}

	t.ok(retries <= 10 + (0.2 * 1000));
	t.ok(retries >= 0.2 * 1000);
});

await t.test('uses a stable subset of many back ends that spans all zones', async t => {
	const candidates = createCandidates(600);
	const subset = getSubset('entry-1', candidates);
	t.ok(subset.length <= 33);
	t.equal(new Set(subset.map(({zone}) => zone)).size, 3);
	const without = getSubset('entry-1', candidates.filter(({id}) => id !== subset[0]!.id));
	t.equal(subset.filter(candidate => without.includes(candidate)).length, subset.length - 1);
});

await t.test('excludes leaving and ejected back ends from the slots', async t => {
	const router = createRouter(new VirtualClock());
	const candidates = createCandidates(6).map((candidate, index) => ({...candidate, isLeaving: index === 5}));
	t.equal(router.getSlots(candidates), 5 * 16);
	for (let index = 0; index < 200; index += 1) {
		const dispatch = router.choose(candidates, {...request, prefix: String(index)})!;
		dispatch.finish({isFailure: dispatch.backend === 'engine-0'});
	}

	t.equal(router.getSlots(candidates), 4 * 16);
});

// Guards against a back end that asks for a pause and is sent requests all the same, or is ejected for asking.
await t.test('a back end that asks for a pause gets nothing until its end, and is no failure', async t => {
	const clock = new VirtualClock();
	const router = createRouter(clock);
	const candidates = createCandidates(2);
	const first = router.choose(candidates, request)!;
	first.finish({isFailure: true, pauseMs: 2000});
	await clock.runFor(1999);
	for (let index = 0; index < 20; index += 1) {
		t.not(router.choose(candidates, request)!.backend, first.backend);
	}

	t.equal(router.getSlots(candidates), 16);
	await clock.runFor(500);
	t.equal(router.getSlots(candidates), 32);
	t.ok(Array.from({length: 40}, () => router.choose(candidates, {...request, prefix: ''})!.backend).includes(first.backend));
});
