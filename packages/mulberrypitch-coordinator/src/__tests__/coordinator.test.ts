/** Tests coordinators that are killed, replaced, wiped and partitioned. */
import fc from 'fast-check';
import t from 'tap';
import type {AnnouncedBackend} from '@mulberrypitch/serving/types';
import {
	CoordinatorGroup, createDocument, leaseMs, type DutyAction,
} from './coordinator-group.js';

const names = ['a', 'b', 'c'];
/** Maximum mean time in milliseconds to find a leader, as a part of the 1.5 s for a whole restart. */
const leaderTargetMs = 50;

function createBackend(changes: Partial<AnnouncedBackend> = {}): AnnouncedBackend {
	return {
		id: 'i-1', startedAt: 100, sequence: 1, service: 's', address: '10.0.0.1:80', zone: 'a', slots: 4, isLeaving: false, isSpot: false, ...changes,
	};
}

/** Returns the first violation of fencing in the actions that the platform receives from all holders, if there is any. */
function findFencingViolation(actions: readonly DutyAction[]): string | undefined {
	for (const [index, action] of actions.entries()) {
		const previous = actions.slice(0, index);
		const last = previous.at(-1);
		if (last !== undefined && action.token < last.token) {
			return `token ${action.token} after ${last.token}`;
		}

		if (previous.some(other => other.token === action.token && other.holder !== action.holder)) {
			return `token ${action.token} of two holders`;
		}

		const lastOwn = previous.findLast(other => other.holder === action.holder);
		if (lastOwn !== undefined && last!.holder !== action.holder && action.at - lastOwn.at < leaseMs) {
			return `${action.holder} acts again within its lease`;
		}
	}

	return undefined;
}

await t.test('a configuration committed through one coordinator is read from all, and an older or equal version has no effect', async t => {
	const group = new CoordinatorGroup();
	await group.startAll();
	t.ok(await group.put(5, names));
	await group.settle(group.get('b').putConfiguration(createDocument(4)));
	await group.settle(group.get('c').putConfiguration(createDocument(5, 'other content')));
	const read = await group.settle(group.get('a').readConfiguration());
	t.equal(read?.value?.document, createDocument(5));
	t.equal(await group.read('b'), 5);
	await group.dispose();
});

await t.test('refuses a document that can not be decoded', async t => {
	const group = new CoordinatorGroup();
	await group.startAll();
	await group.put(1, names);
	await t.rejects(group.get('a').putConfiguration('{"version":'), {code: 'bad_request'});
	t.equal(await group.read('a'), 1);
	await group.dispose();
});

await t.test('an acknowledged configuration can be read within 1.5 s after all coordinators are killed and restarted', async t => {
	const group = new CoordinatorGroup();
	await group.startAll();
	await group.put(7, names);
	for (const name of names) {
		group.kill(name);
	}

	await Promise.all(names.map(async name => group.start(name)));
	const startedAt = group.clock.now();
	while (await group.read('a') !== 7 && group.clock.now() - startedAt < 10_000) {
		await group.clock.runFor(20);
	}

	t.equal(await group.read('a'), 7);
	t.ok(group.clock.now() - startedAt < 1500, `took ${group.clock.now() - startedAt} ms`);
	await group.dispose();
});

await t.test('a leader is found quickly each time all coordinators are killed and restarted', async t => {
	const group = new CoordinatorGroup();
	await group.startAll();
	t.ok(await group.put(1, names));
	const rounds = 20;
	let totalMs = 0;
	for (let round = 0; round < rounds; round += 1) {
		for (const name of names) {
			group.kill(name);
		}

		await group.clock.runFor(500);
		await Promise.all(names.map(async name => group.start(name)));
		const startedAt = group.clock.now();
		while (!names.every(name => group.get(name).isInTouch)) {
			await group.clock.runFor(5);
		}

		totalMs += group.clock.now() - startedAt;
	}

	const meanMs = totalMs / rounds;
	t.comment(`${meanMs} ms on average`);
	t.ok(meanMs < leaderTargetMs, `${meanMs} ms`);
	await group.dispose();
});

await t.test('a new coordinator replaces a lost one, after which the group tolerates another loss', async t => {
	const group = new CoordinatorGroup();
	await group.startAll();
	await group.put(1, names);
	group.kill('b');
	await group.start('d');
	await group.clock.runFor(6000);
	t.ok(await group.put(2, ['a', 'c', 'd']), 'with the new coordinator');
	group.kill('c');
	t.ok(await group.put(3, ['a', 'd']), 'after another loss');
	t.equal(await group.read('d'), 3);
	await group.dispose();
});

await t.test('a coordinator that lost its disk rejoins, and no committed state is lost', async t => {
	const group = new CoordinatorGroup();
	await group.startAll();
	await group.put(1, names);
	group.kill('a');
	group.eraseDisk('a');
	await group.start('a');
	await group.clock.runFor(4000);
	group.kill('b');
	t.ok(await group.put(2, ['a', 'c']));
	t.equal(await group.read('a'), 2);
	await group.dispose();
});

await t.test('the seeds found the group, and others that start at the same time join it', async t => {
	const group = new CoordinatorGroup();
	await Promise.all(['a', 'b', 'c', 'd', 'e'].map(async name => group.start(name, true)));
	await group.put(1, names);
	await group.clock.runFor(4000);
	group.kill('a');
	group.kill('b');
	t.ok(await group.put(2, ['c', 'd', 'e']), 'two of five are lost');
	await group.dispose();
});

await t.test('a partitioned coordinator fails reads instead of returning stale state', async t => {
	const group = new CoordinatorGroup();
	await group.startAll();
	await group.put(1, names);
	for (const isolated of names) {
		group.network.setPolicy((from, to) => ({isLost: (from === isolated) !== (to === isolated), delayMs: 1}));
		const others = names.filter(name => name !== isolated);
		const version = 2 + names.indexOf(isolated);
		t.ok(await group.put(version, others));
		t.equal(await group.read(isolated), undefined);
		group.network.setPolicy(() => ({isLost: false, delayMs: 1}));
		await group.clock.runFor(3000);
	}

	await group.dispose();
});

await t.test('all coordinators know that a back end is leaving when its announcement is acknowledged', async t => {
	const group = new CoordinatorGroup();
	await group.startAll();
	await group.put(1, names);
	await group.settle(group.get('a').announce(createBackend()));
	await group.settle(group.get('b').announce(createBackend({sequence: 2, isLeaving: true})));
	for (const name of names) {
		t.same(group.get(name).roster.getServing(), [], name);
	}

	await group.dispose();
});

await t.test('two coordinators that can not reach each other exchange announcements through the third', async t => {
	const group = new CoordinatorGroup();
	await group.startAll();
	await group.put(1, names);
	await group.clock.runFor(1000);
	group.network.setPolicy((from, to) => ({isLost: [from, to].toSorted().join(' ') === 'a b', delayMs: 1}));
	await group.settle(group.get('a').announce(createBackend()));
	await group.clock.runFor(1000);
	t.same(group.get('b').roster.getServing().map(({id}) => id), ['i-1']);
	await group.dispose();
});

await t.test('a departure is acknowledged only once a quorum knows it, not by a partitioned coordinator', async t => {
	const group = new CoordinatorGroup();
	await group.startAll();
	await group.put(1, names);
	group.network.setPolicy((from, to) => ({isLost: (from === 'a') !== (to === 'a'), delayMs: 1}));
	await group.clock.runFor(1500);
	const leaving = createBackend({isLeaving: true});
	t.equal(await group.settle(group.get('a').announce(leaving)), undefined);
	t.equal(await group.settle(group.get('a').announce({...leaving, sequence: 2})), undefined, 'announced again');
	group.network.setPolicy(() => ({isLost: false, delayMs: 1}));
	await group.clock.runFor(1500);
	t.ok(await group.settle(group.get('a').announce({...leaving, sequence: 3})));
	t.same(group.get('b').roster.getServing(), []);
	await group.dispose();
});

await t.test('a former holder of the duties never acts again within the lease, under any partitions and kills', async t => {
	const step = fc.record({
		kind: fc.constantFrom('cut', 'oneWay', 'kill', 'heal'), name: fc.constantFrom(...names), ms: fc.integer({min: 100, max: 4000}),
	});
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 3, maxLength: 8}), async steps => {
		const group = new CoordinatorGroup();
		await group.startAll();
		for (const {kind, name, ms} of steps) {
			if (kind === 'kill') {
				group.kill(name);
				await group.start(name);
			} else {
				group.network.setPolicy((from, to) => ({
					isLost: kind !== 'heal' && (kind === 'cut' ? (from === name) !== (to === name) : from === name && to !== name), delayMs: 1,
				}));
			}

			await group.clock.runFor(ms);
		}

		group.network.setPolicy(() => ({isLost: false, delayMs: 1}));
		await group.clock.runFor(6000);
		await group.dispose();
		const violation = findFencingViolation(group.actions);
		if (violation !== undefined) {
			throw new RangeError(violation);
		}

		return group.actions.length > 0;
	}), {seed: 11, numRuns: 25});
	t.pass();
});

await t.test('a coordinator restarts once its full disk accepts writes, and the group tolerates another loss', async t => {
	const group = new CoordinatorGroup();
	await group.startAll();
	t.ok(await group.put(1, names));
	group.setFull('a', true);
	t.ok(await group.put(2, ['b', 'c']));
	await group.clock.runFor(2000);
	t.same(group.restarts, [], 'not while it is full');
	group.setFull('a', false);
	await group.clock.runFor(1000);
	t.same(group.restarts, ['a']);
	group.kill('a');
	await group.start('a');
	await group.clock.runFor(1000);
	group.kill('b');
	t.ok(await group.put(3, ['a', 'c']), 'the two remaining coordinators form a quorum');
	await group.dispose();
});
