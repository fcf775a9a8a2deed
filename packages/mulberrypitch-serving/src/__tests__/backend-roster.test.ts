/** The roster of back ends under late, lost and reordered announcements. */
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

await t.test('an announcement that overtook a later one changes nothing', async t => {
	const {roster} = createRoster();
	roster.announce(createBackend({sequence: 5, isLeaving: true}));
	t.notOk(roster.announce(createBackend({sequence: 4})));
	t.same(roster.getServing(), []);
});

await t.test('an announcement that comes after the end of its life does not bring it back', async t => {
	const {roster} = createRoster();
	roster.announce(createBackend());
	t.ok(roster.leave({id: 'i-1', startedAt: 100}));
	t.notOk(roster.announce(createBackend({sequence: 9})));
	t.same(roster.getServing(), []);
});

await t.test('a new life under an old identifier takes its place, and a late notice of the old one ends nothing', async t => {
	const {roster} = createRoster();
	roster.announce(createBackend({sequence: 50}));
	t.ok(roster.announce(createBackend({startedAt: 200, sequence: 1})));
	t.notOk(roster.leave({id: 'i-1', startedAt: 100}));
	t.match(roster.getServing(), [{startedAt: 200}]);
});

await t.test('an address belongs to its latest start, whichever announcement comes first', async t => {
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

await t.test('a back end that falls silent is given up after some missed announcements', async t => {
	const {roster, clock} = createRoster();
	roster.announce(createBackend());
	clock.time = 5 * announceIntervalMs;
	t.notOk(roster.expire());
	clock.time = 10 * announceIntervalMs;
	t.ok(roster.expire());
	t.same(roster.getServing(), []);
});

await t.test('changes since a version leave out what did not change, and another epoch gets everything', async t => {
	const {roster} = createRoster();
	roster.announce(createBackend());
	const {version} = roster.getChanges('', 0);
	roster.announce(createBackend({sequence: 2}));
	t.same(roster.getChanges('e', version).entries, []);
	t.equal(roster.getChanges('other', version).entries.length, 1);
});

await t.test('rosters that hear the same in any order agree on what serves', async t => {
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

await t.test('a back end that was cut off for long is used again from its next announcement on', async t => {
	const {roster, clock} = createRoster();
	roster.announce(createBackend());
	clock.time += silentMs;
	t.ok(roster.expire());
	t.same(roster.getServing(), []);
	t.notOk(roster.announce(createBackend()), 'one from before its silence does not count');
	t.ok(roster.announce(createBackend({sequence: 2})));
	t.match(roster.getServing(), [{id: 'i-1'}]);
});

await t.test('coordinators that were cut from each other agree on a back end that only one of them heard', async t => {
	const {roster: apart} = createRoster('apart');
	const {roster, clock} = createRoster();
	roster.announce(createBackend());
	apart.announce(createBackend({sequence: 8}));
	clock.time += silentMs;
	roster.expire();
	for (const entry of roster.getEntries()) {
		t.notOk(apart.merge(entry));
	}

	for (const entry of apart.getEntries()) {
		t.ok(roster.merge(entry));
	}

	t.match([...roster.getServing(), ...apart.getServing()], [{sequence: 8}, {sequence: 8}]);
});

await t.test('a back end that said that it ends while it was taken for silent does not come back', async t => {
	const {roster, clock} = createRoster();
	const {roster: other} = createRoster('other');
	roster.announce(createBackend());
	clock.time += silentMs;
	roster.expire();
	for (const entry of roster.getEntries()) {
		other.merge(entry);
	}

	t.ok(roster.leave({id: 'i-1', startedAt: 100}));
	for (const entry of roster.getEntries()) {
		other.merge(entry);
	}

	for (const told of [roster, other]) {
		t.notOk(told.announce(createBackend({sequence: 9})));
		t.same(told.getServing(), []);
	}
});

await t.test('a silent back end does not come back to an address that another one has by now', async t => {
	const {roster, clock} = createRoster();
	roster.announce(createBackend());
	clock.time += silentMs;
	roster.expire();
	roster.announce(createBackend({id: 'i-2', startedAt: 300}));
	t.notOk(roster.announce(createBackend({sequence: 9})));
	t.match(roster.getServing(), [{id: 'i-2'}]);
});
