/** Sessions, freshness of views and the content of renewals. */
import t, {type Test} from 'tap';
import {codes} from '@mulberrypitch/errors/catalogue';
import {maxViewAgeMs} from '../control-client.js';
import {sessionLeaseMs} from '../control-service.js';
import {renewalSchema} from '../messages.js';
import {MembershipView} from '../membership-view.js';
import type {View} from '../types.js';
import {ControlGroup} from './control-group.js';

const clockDrift = 0.05;
const limitMs = 10_000;

async function startGroup(t: Test, entryCount: number, rates?: {entry: number; control: number}) {
	const group = new ControlGroup(rates);
	t.teardown(async () => group.dispose());
	await group.start(entryCount);
	return group;
}

await t.test('rejects the old epoch of a host that reconnects after its session expired', async t => {
	const group = await startGroup(t, 3);
	const [frozen, standby] = group.entries;
	const {epoch} = frozen!.client.session!;
	await group.accept(frozen!, 'r1', standby);
	group.cut(frozen!.name);
	t.ok(await group.clock.runUntil(() => standby!.assigned.length > 0, limitMs));
	t.match(standby!.assigned[0], {requestId: 'r1', holder: standby!.name, epoch: 2});
	t.throws(() => frozen!.client.requireFresh(), {code: codes.staleView});
	group.cut();
	t.ok(await group.clock.runUntil(() => frozen!.client.isFresh(), limitMs));
	t.same(frozen!.lostEpochs, [epoch]);
	t.ok(frozen!.client.session!.epoch > epoch);
	t.match(await group.settle(frozen!.client.propose({
		kind: 'finishRequest', requestId: 'r1', epoch: 1, entryTime: 0, outcome: {end: 'answered', digest: 'd', lengthBytes: 0},
	})), {status: 'rejected', reason: {code: codes.staleEpoch}});
});

await t.test('transfers the requests of a lost host without a standby to another host', async t => {
	const group = await startGroup(t, 2);
	const [first, other] = group.entries;
	await group.accept(first!, 'r1');
	await group.settle(first!.client.dispose());
	t.ok(await group.clock.runUntil(() => other!.assigned.length > 0, limitMs));
	t.match(other!.assigned[0], {requestId: 'r1', holder: other!.name, epoch: 2});
});

await t.test('assigns the requests of the only host to it again after its restart', async t => {
	const group = await startGroup(t, 1);
	const [first] = group.entries;
	await group.accept(first!, 'r1');
	await group.settle(first!.client.dispose());
	await group.clock.runFor(2 * sessionLeaseMs);
	const second = group.startEntry(first!.name, 0, 'second');
	t.ok(await group.clock.runUntil(() => second.assigned.length > 0, limitMs));
	t.match(second.assigned[0], {requestId: 'r1', holder: first!.name, epoch: 2});
});

for (const rates of [{entry: 1 - clockDrift, control: 1 + clockDrift}, {entry: 1 + clockDrift, control: 1 - clockDrift}]) {
	await t.test(`ends no session while its host may act on its view, with clock rates ${rates.entry} and ${rates.control}`, async t => {
		const group = await startGroup(t, 2, rates);
		const [entry, other] = group.entries;
		group.cut(entry!.name);
		let isOverlapping = false;
		t.ok(await group.clock.runUntil(() => {
			const hasEnded = !other!.client.sessions.some(({node}) => node === entry!.name);
			isOverlapping ||= hasEnded && entry!.client.isFresh();
			return hasEnded;
		}, limitMs));
		t.notOk(isOverlapping);
		t.ok(maxViewAgeMs * (1 + clockDrift) < sessionLeaseMs * (1 - clockDrift));
	});
}

await t.test('keeps all sessions when the leader is partitioned', async t => {
	const group = await startGroup(t, 4);
	const epochs = group.entries.map(({client}) => client.session!.epoch);
	const old = group.getLeader();
	group.cut(old.name);
	await group.clock.runFor(2 * sessionLeaseMs);
	t.not(group.getLeader(), old);
	t.ok(group.entries.every(({client}) => client.isFresh()));
	t.same(group.entries.map(({client}) => client.session!.epoch), epochs);
});

await t.test('does not act on a view of an earlier term', async t => {
	const group = await startGroup(t, 1);
	const [entry] = group.entries;
	for (const {name} of group.controls) {
		group.network.getMember(name)!.dispose();
		group.network.join(name).handle('main.renew', renewalSchema, async (): Promise<View> => ({
			term: 0, revision: 0, membershipVersion: 1, assigned: [],
		}));
	}

	await group.clock.runFor(maxViewAgeMs + 1);
	t.notOk(entry!.client.isFresh());
});

await t.test('removes a back end that stops its announcements and keeps one that continues', async t => {
	const group = await startGroup(t, 2);
	const [entry, other] = group.entries;
	await group.register(entry!, 'silent');
	await group.register(entry!, 'heard');
	for (let count = 0; count < 10; count += 1) {
		entry!.announced.push({id: 'heard', incarnation: 'first'});
		await group.clock.runFor(2000);
	}

	t.same(other!.client.backends.map(({id}) => id), ['heard']);
});

await t.test('sends the changes, or all members when the feed no longer holds the changes', async t => {
	const group = await startGroup(t, 3);
	await group.register(group.entries[0]!, 'engine');
	const {state} = group.getLeader();
	const version = state.membershipVersion;
	await group.register(group.entries[0]!, 'another');
	t.match(state.getMembershipSince(version), {isWhole: false, sessions: [], backends: [{id: 'another'}]});
	const view = new MembershipView();
	view.applyChanges(state.getMembershipSince(view.version), state.membershipVersion);
	await group.settle(group.entries[0]!.client.propose({
		kind: 'removeBackend', id: 'engine', incarnation: 'first', cause: 'left',
	}));
	t.match(state.getMembershipSince(view.version), {isWhole: false, backends: [], removedBackends: ['engine']});
	view.applyChanges(state.getMembershipSince(view.version), state.membershipVersion);
	t.same(view.backends, state.listBackends());
	t.same(view.sessions, state.listSessions());
	for (let index = 0; index < 9000; index += 1) {
		state.apply({
			index, term: 1, time: 0, command: {
				kind: 'leaveBackend', id: 'another', incarnation: 'first', leavesAt: 0,
			},
		});
	}

	t.equal(state.getMembershipSince(view.version).isWhole, false, 'a command without effect adds nothing to the feed');
	state.restore(structuredClone(state.capture()));
	t.equal(state.getMembershipSince(view.version).isWhole, true);
	t.equal(state.getMembershipSince(state.membershipVersion).isWhole, false);
});
