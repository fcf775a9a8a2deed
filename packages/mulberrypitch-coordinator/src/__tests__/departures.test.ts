/** Tests that a back end whose leave is acknowledged gets no requests any more, whichever coordinator an entry asks. */
import t from 'tap';
import type {AnnouncedBackend} from '@mulberrypitch/serving/types';
import {methods, type ViewReply, type ViewRequest} from '@mulberrypitch/serving/view-messages';
import {CoordinatorGroup} from './coordinator-group.js';

const names = ['a', 'b', 'c'];
/** Time in milliseconds after an acknowledged leave from which on no entry may use the back end. */
const departureBoundMs = 2000;
const watchTimeoutMs = 400;

function createBackend(changes: Partial<AnnouncedBackend> = {}): AnnouncedBackend {
	return {
		id: 'i-1', startedAt: 100, sequence: 1, service: 's', address: '10.0.0.1:80', zone: 'a', slots: 4, isLeaving: false, isSpot: false, ...changes,
	};
}

function createRequest(leaves: ViewRequest['status']['leaves'] = []): ViewRequest {
	return {
		status: {
			name: 'front',
			incarnation: 'x',
			upMs: 10_000,
			address: '10.0.0.9:80',
			zone: 'z',
			isReady: true,
			loads: {},
			pressure: {},
			spent: {},
			usage: [],
			crashes: {charges: [], answered: [], quarantined: []},
			leaves,
		},
		configurationVersion: 1,
		rosterEpoch: '',
		rosterVersion: 0,
	};
}

/** Polls a coordinator as an entry does. Resolves with `undefined` if it does not reply. */
async function poll(group: CoordinatorGroup, name: string, request = createRequest()): Promise<ViewReply | undefined> {
	const transport = group.network.join('front');
	const reply = await group.settle(transport.call<ViewReply>(name, methods.watch, request, {timeoutMs: watchTimeoutMs}));
	return reply?.value;
}

async function startGroup(): Promise<CoordinatorGroup> {
	const group = new CoordinatorGroup();
	await group.startAll();
	await group.put(1, names);
	group.network.setPolicy(() => ({isLost: false, delayMs: 1}));
	await group.clock.runFor(1000);
	return group;
}

/** Loses all messages between some coordinators. */
function cut(group: CoordinatorGroup, pairs: readonly string[]): void {
	group.network.setPolicy((from, to) => ({isLost: pairs.includes([from, to].toSorted().join(' ')), delayMs: 1}));
}

function getServing(group: CoordinatorGroup): readonly string[] {
	return names.flatMap(name => group.get(name).roster.getServing().map(({id, startedAt}) => `${name}: ${id} ${startedAt}`));
}

// Guards against requests to a back end that has left, since the coordinator that acknowledged the leave had not heard of it and forgot it.
await t.test('a back end that registered only behind a cut does not return after its leave was acknowledged elsewhere', async t => {
	const group = await startGroup();
	cut(group, ['a c', 'b c']);
	await group.clock.runFor(1500);
	await group.settle(group.get('c').announce(createBackend()));
	t.ok(await group.settle(group.get('b').deregister({id: 'i-1', startedAt: 100})), 'acknowledged');
	await group.settle(group.get('a').announce(createBackend({sequence: 2})));
	await group.settle(group.get('b').announce(createBackend({sequence: 3})));
	t.same(getServing(group).filter(text => !text.startsWith('c')), [], 'behind the cut it is still listed');
	cut(group, []);
	await group.clock.runFor(1500);
	t.same(getServing(group), [], 'after the cut');
	await group.dispose();
});

// Guards against requests to a new start of a back end whose leave was acknowledged by a coordinator that knew only the start before.
await t.test('a leave of an incarnation that its coordinator has not heard of holds for it, and not for a later one', async t => {
	const group = await startGroup();
	await group.settle(group.get('a').announce(createBackend({sequence: 7})));
	t.ok(await group.settle(group.get('b').deregister({id: 'i-1', startedAt: 200})));
	await group.settle(group.get('a').announce(createBackend({startedAt: 200, sequence: 1})));
	t.same(getServing(group), []);
	await group.settle(group.get('a').announce(createBackend({startedAt: 300, sequence: 1})));
	t.equal(getServing(group).length, names.length);
	await group.dispose();
});

// Guards against requests to a back end that took the answer to its notice as final, though the coordinator had not heard of it and recorded nothing.
await t.test('a leave that names no start is acknowledged by a coordinator that has not heard of the back end, and holds for all starts up to then', async t => {
	const group = await startGroup();
	cut(group, ['a c', 'b c']);
	await group.clock.runFor(1500);
	const startedAt = group.clock.wallTime();
	await group.settle(group.get('c').announce(createBackend({startedAt})));
	t.equal(await group.settle(group.get('c').deregister({id: 'i-1'})), undefined, 'not behind the cut');
	await group.clock.runFor(100);
	t.ok(await group.settle(group.get('b').deregister({id: 'i-1'})));
	await group.settle(group.get('b').announce(createBackend({startedAt, sequence: 2})));
	t.same(getServing(group), []);
	cut(group, []);
	await group.clock.runFor(1500);
	await group.settle(group.get('a').announce(createBackend({startedAt, sequence: 3})));
	t.same(getServing(group), [], 'after the cut');
	await group.settle(group.get('a').announce(createBackend({startedAt: group.clock.wallTime() + 1})));
	t.equal(getServing(group).length, names.length, 'a later start');
	await group.dispose();
});

// Guards against a notice without a start that is recorded only for the earlier incarnation that its coordinator lists.
await t.test('a leave that names no start holds for an incarnation that only a coordinator behind a cut has heard of', async t => {
	const group = await startGroup();
	await group.settle(group.get('a').announce(createBackend()));
	cut(group, ['a c', 'b c']);
	await group.clock.runFor(1500);
	await group.settle(group.get('c').announce(createBackend({startedAt: 200})));
	t.ok(await group.settle(group.get('b').deregister({id: 'i-1'})));
	await group.settle(group.get('a').announce(createBackend({startedAt: 200, sequence: 2})));
	cut(group, []);
	await group.clock.runFor(1500);
	t.same(getServing(group), []);
	await group.dispose();
});

// Guards against an acknowledgement at once by a coordinator that nobody else hears, since an entry had told it of the leave before.
await t.test('a leave that the coordinator knew already is acknowledged only once a quorum knows it', async t => {
	const group = await startGroup();
	await group.settle(group.get('a').announce(createBackend()));
	cut(group, ['a b', 'a c']);
	await poll(group, 'a', createRequest([{backend: 'i-1', startedAt: 100}]));
	t.equal(await group.settle(group.get('a').announce(createBackend({sequence: 2, isLeaving: true}))), undefined);
	t.equal(await group.settle(group.get('a').announce(createBackend({sequence: 3, isLeaving: true}))), undefined, 'announced again');
	cut(group, []);
	await group.clock.runFor(1500);
	t.ok(await group.settle(group.get('a').announce(createBackend({sequence: 4, isLeaving: true}))));
	t.same(getServing(group), []);
	await group.dispose();
});

// Guards against an old roster that passes for a new one, because its coordinator hears the leader but not what the others learn.
await t.test('a coordinator that the others do not tell their rosters is not relied on by entries', async t => {
	const group = await startGroup();
	await group.settle(group.get('a').announce(createBackend()));
	await group.clock.runFor(500);
	group.network.setPolicy((from, to, method) => ({
		isLost: method === methods.gossip && (from === 'c' || to === 'c'), delayMs: 1,
	}));
	t.ok(await group.settle(group.get('a').announce(createBackend({sequence: 2, isLeaving: true}))), 'acknowledged');
	const acknowledgedAt = group.clock.now();
	await group.clock.runFor(departureBoundMs / 2);
	t.ok(group.get('c').isInTouch, 'it hears the leader');
	const old = await poll(group, 'c');
	t.equal(old?.isInTouch, false);
	const recent = await poll(group, 'b');
	t.equal(recent?.isInTouch, true, 'the others are still relied on');
	t.ok(group.clock.now() - acknowledgedAt < departureBoundMs);
	group.network.setPolicy(() => ({isLost: false, delayMs: 1}));
	await group.clock.runFor(1000);
	const later = await poll(group, 'c');
	t.equal(later?.isInTouch, true, 'once it is told again');
	await group.dispose();
});

/** Ends all coordinators at the same moment, and starts them again on their disks. */
async function restartAll(group: CoordinatorGroup): Promise<void> {
	for (const name of names) {
		group.kill(name);
	}

	await group.clock.runFor(500);
	for (const name of names) {
		await group.start(name);
	}

	await group.clock.runFor(2000);
}

// Guards against requests to a back end that has left, since every process that knew of the leave has ended and an announcement came late.
await t.test('a leave that was acknowledged holds after a restart of all coordinators', async t => {
	const group = await startGroup();
	await group.settle(group.get('a').announce(createBackend()));
	await group.settle(group.get('a').announce(createBackend({id: 'i-2', address: '10.0.0.2:80'})));
	t.ok(await group.settle(group.get('b').deregister({id: 'i-1', startedAt: 100})), 'a notice');
	t.ok(await group.settle(group.get('c').announce(createBackend({
		id: 'i-2', address: '10.0.0.2:80', sequence: 2, isLeaving: true,
	}))), 'an announcement');
	await restartAll(group);
	await group.settle(group.get('a').announce(createBackend({sequence: 2})));
	await group.settle(group.get('b').announce(createBackend({id: 'i-2', address: '10.0.0.2:80'})));
	await group.clock.runFor(1000);
	t.same(getServing(group), [], 'the announcements that came late');
	await group.settle(group.get('a').announce(createBackend({startedAt: 200})));
	t.equal(getServing(group).length, names.length, 'a later start');
	await group.dispose();
});

// Guards against requests to a back end that has left, offered by the one coordinator that the acknowledgement did not need.
await t.test('a leave that was acknowledged during a cut holds when the coordinators that knew it restart before the cut ends', async t => {
	const group = await startGroup();
	await group.settle(group.get('a').announce(createBackend()));
	cut(group, ['a c', 'b c']);
	await group.clock.runFor(1500);
	t.ok(await group.settle(group.get('b').deregister({id: 'i-1', startedAt: 100})));
	for (const name of ['a', 'b']) {
		group.kill(name);
		await group.start(name);
	}

	cut(group, []);
	await group.clock.runFor(2000);
	t.same(getServing(group), []);
	await group.dispose();
});

// Guards against an acknowledgement that rests on nothing: the call that states the leave was overtaken, and its content dropped as out of date.
await t.test('a leave that is announced by a call that a later one has overtaken holds once it is acknowledged', async t => {
	const group = await startGroup();
	await group.settle(group.get('a').announce(createBackend({sequence: 5})));
	t.ok(await group.settle(group.get('a').announce(createBackend({sequence: 4, isLeaving: true}))));
	t.same(getServing(group), []);
	await group.dispose();
});
