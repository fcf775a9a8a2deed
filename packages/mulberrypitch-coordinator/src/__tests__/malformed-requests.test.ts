/** Tests that the coordinators go on after requests of other processes that they can't use. */
import t from 'tap';
import {methods, type ViewReply} from '@mulberrypitch/serving/view-messages';
import {CoordinatorGroup, createDocument} from './coordinator-group.js';

const names = ['a', 'b', 'c'];
const timeoutMs = 900;

const commands: Readonly<Record<string, unknown>> = {
	'of an unknown kind': {kind: 'no such kind'},
	'without a kind': {},
	'that is no object': 'text',
	'to store a configuration without a document': {kind: 'putConfiguration', version: 7},
	'to store a document that is no configuration': {kind: 'putConfiguration', version: 7, document: 'text'},
	'to store a document of another version': {kind: 'putConfiguration', version: 7, document: createDocument(8)},
	'to take the duties for nobody': {kind: 'takeDuties'},
	'to record an order without a service': {kind: 'recordOrder'},
	'to record usage without counts': {kind: 'recordUsage', window: 1},
	'to record a departure without a start': {kind: 'recordDeparture', backend: 'i-1'},
	'to save usage without entries': {kind: 'noteUsage', window: 1},
};

// Guards against one malformed command in the log that ends every coordinator, again after each restart.
for (const [name, command] of Object.entries(commands)) {
	await t.test(`a command ${name} is refused, and the coordinators go on, also after a restart`, async t => {
		const group = new CoordinatorGroup();
		await group.startAll();
		t.ok(await group.put(1, names));
		const transport = group.network.join('peer');
		for (const coordinator of names) {
			t.equal(await group.settle(transport.call(coordinator, methods.propose, command, {timeoutMs})), undefined);
		}

		t.ok(await group.put(2, names));
		for (const coordinator of names) {
			group.kill(coordinator);
		}

		await Promise.all(names.map(async coordinator => group.start(coordinator)));
		t.ok(await group.put(3, names));
		t.equal(await group.read('a'), 3);
		await group.dispose();
	});
}

const soundStatus = {
	name: 'front',
	incarnation: 'x',
	upMs: 5000,
	address: '10.0.0.9:80',
	zone: 'z',
	isReady: true,
	loads: {},
	pressure: {},
	spent: {},
	usage: [],
	crashes: {charges: [], answered: [], quarantined: []},
	limits: [],
	leaves: [],
};
const versions = {configurationVersion: 0, rosterEpoch: '', rosterVersion: 0};
const malformedStatuses: Readonly<Record<string, unknown>> = {
	'that is absent': undefined,
	'without loads': {...soundStatus, name: 'bad', loads: undefined},
	'with a load of nothing': {...soundStatus, name: 'bad', loads: {'i-1': undefined, 'i-2': 'full'}},
	'with limits that are no list': {...soundStatus, name: 'bad', limits: 5},
	'with a limit of nothing': {...soundStatus, name: 'bad', limits: [5, undefined]},
	'without pressure': {...soundStatus, name: 'bad', pressure: undefined},
	'with spending that is no number': {...soundStatus, name: 'bad', spent: {shop: 'much'}},
	'without usage': {...soundStatus, name: 'bad', usage: undefined},
	'without a report of crashes': {...soundStatus, name: 'bad', crashes: undefined},
	'with a charge of nothing': {...soundStatus, name: 'bad', crashes: {charges: [{}], answered: [{}], quarantined: [{}]}},
	'with a leave of nothing': {...soundStatus, name: 'bad', leaves: [5]},
	'with evidence of nothing': {...soundStatus, name: 'bad', rollouts: [{}]},
	'with evidence whose sums are no numbers': {
		...soundStatus, name: 'bad', rollouts: [{
			rollout: 1, revision: 1, requests: 1, othersRunning: 0, routes: [{route: 'r', target: {sent: 'x'}, others: {sent: -1}}],
		}],
	},
};

// Guards against one malformed status that makes the polls of all other entries fail at every coordinator.
for (const [name, status] of Object.entries(malformedStatuses)) {
	await t.test(`a status ${name} does not keep other entries from their views`, async t => {
		const group = new CoordinatorGroup();
		await group.startAll();
		t.ok(await group.put(1, names));
		const transport = group.network.join('peer');
		await group.settle(transport.call('a', methods.watch, {status, ...versions}, {timeoutMs}));
		await group.settle(transport.call('b', methods.gossip, {
			from: 'a', entries: [status], backends: [], wantsAll: false,
		}, {timeoutMs}));
		await group.clock.runFor(500);
		for (const coordinator of names) {
			const reply = await group.settle(transport.call<ViewReply>(coordinator, methods.watch, {status: soundStatus, ...versions}, {timeoutMs}));
			t.equal(reply?.value.configuration?.version, 1);
			t.strictSame(reply?.value.loads, {});
			t.strictSame(reply?.value.othersSpent, {});
			t.ok(await group.settle(group.get(coordinator).announce({
				id: 'i-1', startedAt: 1, sequence: group.clock.now(), service: 's', address: '10.0.0.1:80', zone: 'z', slots: 1, isLeaving: false, isSpot: false,
			})));
		}

		await group.dispose();
	});
}
