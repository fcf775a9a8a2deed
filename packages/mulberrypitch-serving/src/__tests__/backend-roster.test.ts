/** Tests the roster of back ends with late, lost and reordered announcements. */
import fc from 'fast-check';
import t from 'tap';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {BackendRoster} from '../backend-roster.js';
import type {AnnouncedBackend} from '../types.js';

const announceIntervalMs = 1000;

class ManualClock implements Clock {
	time = 0;

	now(): number {
		return this.time;
	}

	wallTime(): number {
		return this.time;
	}

	async sleep(): Promise<void> {
		throw new TypeError('Nothing sleeps here.');
	}
}

function createRoster(epoch = 'e'): {readonly roster: BackendRoster; readonly clock: ManualClock} {
	const clock = new ManualClock();
	return {roster: new BackendRoster({epoch, clock, announceIntervalMs}), clock};
}

function createBackend(changes: Partial<AnnouncedBackend> = {}): AnnouncedBackend {
	return {
		id: 'i-1', startedAt: 100, sequence: 1, service: 's', address: '10.0.0.1:80', zone: 'a', slots: 4, isLeaving: false, isSpot: false, ...changes,
	};
}

await t.test('ignores an announcement that arrives after a later one', async t => {
	const {roster} = createRoster();
	roster.announce(createBackend({sequence: 5, isLeaving: true}));
	t.notOk(roster.announce(createBackend({sequence: 4})));
	t.same(roster.getServing(), []);
});

await t.test('a late announcement does not revive a back end that has deregistered', async t => {
	const {roster} = createRoster();
	roster.announce(createBackend());
	t.ok(roster.deregister({id: 'i-1', startedAt: 100}));
	t.notOk(roster.announce(createBackend({sequence: 9})));
	t.same(roster.getServing(), []);
});

await t.test('a new incarnation with the same identifier replaces the old one, whose late notice has no effect', async t => {
	const {roster} = createRoster();
	roster.announce(createBackend({sequence: 50}));
	t.ok(roster.announce(createBackend({startedAt: 200, sequence: 1})));
	t.notOk(roster.deregister({id: 'i-1', startedAt: 100}));
	t.match(roster.getServing(), [{startedAt: 200}]);
});

await t.test('an address belongs to the back end that started last, in either order of announcements', async t => {
	const old = createBackend({id: 'old'});
	const successor = createBackend({id: 'new', startedAt: 300, service: 'other'});
	for (const order of [[old, successor], [successor, old]]) {
		const {roster} = createRoster();
		for (const backend of order) {
			roster.announce(backend);
		}

		t.same(roster.getServing().map(({id}) => id), ['new']);
	}
});

await t.test('a back end is marked as gone after several missed announcements', async t => {
	const {roster, clock} = createRoster();
	roster.announce(createBackend());
	clock.time = 5 * announceIntervalMs;
	t.notOk(roster.expire());
	clock.time = 10 * announceIntervalMs;
	t.ok(roster.expire());
	t.same(roster.getServing(), []);
});

await t.test('returns only changes since a version, and all back ends for another epoch', async t => {
	const {roster} = createRoster();
	roster.announce(createBackend());
	const {version} = roster.getChanges('', 0);
	roster.announce(createBackend({sequence: 2}));
	t.same(roster.getChanges('e', version).entries, []);
	t.equal(roster.getChanges('other', version).entries.length, 1);
});

await t.test('rosters that receive the same announcements in any order agree on the serving back ends', async t => {
	const events = fc.array(fc.record({
		id: fc.constantFrom('i-1', 'i-2'), startedAt: fc.integer({min: 1, max: 3}), sequence: fc.integer({min: 1, max: 4}), isLeaving: fc.boolean(),
	}), {maxLength: 8});
	fc.assert(fc.property(events, fc.infiniteStream(fc.nat()), (changes, lots) => {
		const backends = changes.map(change => createBackend({
			...change, isLeaving: change.sequence === 4, address: `10.0.0.${change.id.at(-1)}:80`,
		}));
		const shuffled = backends.map(backend => ({backend, lot: Number(lots.next().value)})).toSorted((left, right) => left.lot - right.lot).map(({backend}) => backend);
		const [left, right] = [backends, shuffled].map(order => {
			const {roster} = createRoster();
			for (const backend of order) {
				roster.announce(backend);
			}

			return roster.getServing().map(({id, startedAt}) => `${id} ${startedAt}`).toSorted().join(',');
		});
		return left === right;
	}), {seed: 3, numRuns: 500});
	t.pass();
});

const silentMs = 9 * announceIntervalMs;

await t.test('a back end that was partitioned for long serves again after its next announcement', async t => {
	const {roster, clock} = createRoster();
	roster.announce(createBackend());
	clock.time += silentMs;
	t.ok(roster.expire());
	t.same(roster.getServing(), []);
	t.notOk(roster.announce(createBackend()), 'ignores an announcement from before its silence');
	t.ok(roster.announce(createBackend({sequence: 2})));
	t.match(roster.getServing(), [{id: 'i-1'}]);
});

await t.test('partitioned coordinators agree afterwards on a back end that only one of them could reach', async t => {
	const {roster: isolated} = createRoster('isolated');
	const {roster, clock} = createRoster();
	roster.announce(createBackend());
	isolated.announce(createBackend({sequence: 8}));
	clock.time += silentMs;
	roster.expire();
	for (const entry of roster.getEntries()) {
		t.notOk(isolated.merge(entry));
	}

	for (const entry of isolated.getEntries()) {
		t.ok(roster.merge(entry));
	}

	t.match([...roster.getServing(), ...isolated.getServing()], [{sequence: 8}, {sequence: 8}]);
});

await t.test('a silent back end that deregisters is not revived', async t => {
	const {roster, clock} = createRoster();
	const {roster: other} = createRoster('other');
	roster.announce(createBackend());
	clock.time += silentMs;
	roster.expire();
	for (const entry of roster.getEntries()) {
		other.merge(entry);
	}

	t.ok(roster.deregister({id: 'i-1', startedAt: 100}));
	for (const entry of roster.getEntries()) {
		other.merge(entry);
	}

	for (const current of [roster, other]) {
		t.notOk(current.announce(createBackend({sequence: 9})));
		t.same(current.getServing(), []);
	}
});

await t.test('a silent back end is not revived at an address that another one has taken', async t => {
	const {roster, clock} = createRoster();
	roster.announce(createBackend());
	clock.time += silentMs;
	roster.expire();
	roster.announce(createBackend({id: 'i-2', startedAt: 300}));
	t.notOk(roster.announce(createBackend({sequence: 9})));
	t.match(roster.getServing(), [{id: 'i-2'}]);
});

// Guards against a back end that leaves and returns to service, since it announces itself as ready after its answers said so.
await t.test('an incarnation that stated that it leaves never serves again, and a later one does', async t => {
	const {roster} = createRoster();
	const {roster: other} = createRoster('other');
	roster.announce(createBackend());
	t.notOk(roster.markLeaving({backend: 'i-1', startedAt: 99}), 'another incarnation');
	t.notOk(roster.markLeaving({backend: 'i-9', startedAt: 100}), 'an unknown back end');
	t.ok(roster.markLeaving({backend: 'i-1', startedAt: 100}));
	t.notOk(roster.markLeaving({backend: 'i-1', startedAt: 100}));
	roster.announce(createBackend({sequence: 9}));
	for (const entry of roster.getEntries()) {
		other.merge(entry);
	}

	t.same([...roster.getServing(), ...other.getServing()], []);
	roster.announce(createBackend({startedAt: 200, sequence: 1}));
	t.match(roster.getServing(), [{id: 'i-1', startedAt: 200}]);
});

// Guards against a back end whose address another one has taken, and of which the other coordinators are not told.
await t.test('a back end that another one replaces at its address is sent to the other coordinators', async t => {
	const {roster, clock} = createRoster();
	roster.announce(createBackend());
	clock.time += 1000;
	const since = clock.time;
	roster.announce(createBackend({id: 'i-2', startedAt: 300}));
	t.match(roster.getEntries(since).map(({backend, isGone}) => ({id: backend.id, isGone})), [{id: 'i-1', isGone: true}, {id: 'i-2', isGone: false}]);
});

// Guards against streams that are cut off in an upgrade, since coordinators of an earlier version pass announcements on without the version.
await t.test('the version of an incarnation outlasts announcements without one, and not the incarnation', async t => {
	const {roster} = createRoster();
	roster.announce(createBackend({version: 'v1'}));
	t.notOk(roster.merge({backend: createBackend({sequence: 2}), isGone: false, ageMs: 0}));
	t.match(roster.getServing(), [{sequence: 2, version: 'v1'}]);
	roster.merge({backend: createBackend({startedAt: 200}), isGone: false, ageMs: 0});
	t.equal(roster.getServing()[0]!.version, undefined);
	t.ok(roster.announce(createBackend({startedAt: 200, sequence: 2, version: 'v2'})));
});
