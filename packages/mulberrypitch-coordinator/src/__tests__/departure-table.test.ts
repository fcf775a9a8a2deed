/** Tests the replicated table of departures, and the notices of back ends while the leader knows no such table. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {NotLeaderError, ProtocolError} from '@mulberrypitch/errors/catalogue';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {Notification} from '@mulberrypitch/lifecycle/background';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {BackendRoster} from '@mulberrypitch/serving/backend-roster';
import {BackendRegistration} from '../backend-registration.js';
import {DepartureTable} from '../departure-table.js';
import type {Gossip} from '../gossip.js';

/** More departures than a table keeps. */
const manyDepartures = 2000;

// Guards against a state that grows with each back end that ever left.
await t.test('a table keeps the latest departures, and has the same ones after a snapshot', async t => {
	const told: string[] = [];
	const table = new DepartureTable(({backend}) => {
		told.push(backend);
	});
	for (let number = 0; number < manyDepartures; number += 1) {
		table.add({backend: `i-${number}`, startedAt: number});
	}

	t.equal(told.length, manyDepartures);
	t.notOk(table.has({backend: 'i-0', startedAt: 0}));
	t.ok(table.has({backend: 'i-1999', startedAt: 1999}));
	t.notOk(table.has({backend: 'i-1999', startedAt: 2000}), 'a later start');
	const restored = new DepartureTable(() => {
		// Nothing follows the table here.
	});
	restored.restore(table.list());
	t.same(restored.list(), table.list());
	t.ok(table.list().length < manyDepartures);
});

function createRegistration(recordDeparture: () => Promise<void>): BackendRegistration {
	return new BackendRegistration({
		roster: new BackendRoster({epoch: 'e', clock: new VirtualClock(), announceIntervalMs: 1000}),
		gossip: assumeType<Gossip>({flush: async () => 0}),
		clock: new VirtualClock(),
		logger: new SilentLogger(),
		changes: new Notification(),
		getOthers: () => [],
		isInTouch: () => true,
		getLeader: () => undefined,
		recordDeparture,
	});
}

// Guards against back ends that can't leave while coordinators are upgraded one after another, or that are told so though nothing is recorded.
await t.test('a leave is acknowledged without a record only by reason of a leader of an earlier version', async t => {
	const leave = {id: 'i-1', startedAt: 1};
	await createRegistration(async () => {
		throw new ProtocolError('Parameters of serving.propose are not valid.');
	}).deregister(leave);
	await t.rejects(createRegistration(async () => {
		throw new NotLeaderError(undefined);
	}).deregister(leave));
});
