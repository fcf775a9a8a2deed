/** Tests the orders and reads of roll-outs at a group of coordinators that lose messages, leaders and all processes. */
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import type {Rollout, RolloutDecision, RolloutObservation} from '@mulberrypitch/serving/rollout-messages';
import {methods} from '@mulberrypitch/serving/view-messages';
import type {RolloutOrder} from '../rollout-table.js';
import {
	CoordinatorGroup, createDocument, definedService as service, withoutServices,
} from './coordinator-group.js';

const names = ['a', 'b', 'c'];
const order: RolloutOrder = {service, target: 'v2', durationMs: 12_000};
const limits = {exposedShare: 0.1, exposedSlack: 50, rollbackMs: 5000};

function hold(): RolloutDecision {
	return {kind: 'hold'};
}

async function startGroup(t: Test, decide: (observation: RolloutObservation) => RolloutDecision = hold): Promise<CoordinatorGroup> {
	const group = new CoordinatorGroup(names, {limits, decide});
	t.teardown(async () => group.dispose());
	await group.startAll();
	t.ok(await group.put(1, names));
	group.network.setPolicy(() => ({isLost: false, delayMs: 1}));
	await group.clock.runFor(4000);
	return group;
}

/** Returns the name of the coordinator that leads and holds the duties. */
function getLeader(group: CoordinatorGroup): string {
	return group.actions.at(-1)!.holder.replace('core-', '');
}

/** Runs the clock until a call ends; resolves with its value or with the code of its error. */
async function settle<Value>(group: CoordinatorGroup, call: Promise<Value>): Promise<Value | string> {
	const reply = await group.settle(getValueOrCode(call));
	return reply?.value ?? 'no reply';
}

async function getValueOrCode<Value>(call: Promise<Value>): Promise<Value | string> {
	try {
		return await call;
	} catch (error) {
		return error instanceof CodedError ? error.code : 'no code';
	}
}

// Guards against a retry of the operator that is rejected, or that starts a second roll-out.
await t.test('a repeated order is acknowledged by each coordinator and changes nothing', async t => {
	const group = await startGroup(t);
	const started = await settle(group, group.get('a').rollouts.orders.start(order));
	t.match(started, {...order, state: 'running', share: 0});
	for (const name of names) {
		t.match(await settle(group, group.get(name).rollouts.orders.start(order)), {id: assumeType<Rollout>(started).id});
		t.match(await settle(group, group.get(name).rollouts.orders.read(service)), {target: 'v2', state: 'running'});
	}
});

// Guards against an operator whose order replaces that of another one in silence.
await t.test('a different order for a service with a running roll-out is a conflict at each coordinator', async t => {
	const group = await startGroup(t);
	await settle(group, group.get('a').rollouts.orders.start(order));
	for (const name of names) {
		t.equal(await settle(group, group.get(name).rollouts.orders.start({...order, target: 'v3'})), 'conflict');
		t.equal(await settle(group, group.get(name).rollouts.orders.start({...order, durationMs: 20_000})), 'conflict');
	}

	t.match(await settle(group, group.get('b').rollouts.orders.read(service)), {target: 'v2', durationMs: 12_000});
});

// Guards against two orders at the same moment that are both acknowledged, or both rejected.
await t.test('of two operators at once exactly one gets its roll-out', async t => {
	const group = await startGroup(t);
	const targets = ['v2', 'v3'];
	const calls = targets.map(async (target, position) => getValueOrCode(group.get(names[position]!).rollouts.orders.start({...order, target})));
	const results = (await group.settle(Promise.all(calls)))!.value;
	t.equal(results.filter(result => result === 'conflict').length, 1);
	const winner = results.find(result => typeof result !== 'string');
	t.same(await settle(group, group.get('c').rollouts.orders.read(service)), winner);
});

// Guards against an order that is lost, or started twice, when its leader dies after the commit.
await t.test('an order whose leader is killed between commit and reply is acknowledged when it is repeated', async t => {
	const group = await startGroup(t);
	const leader = getLeader(group);
	const others = names.filter(name => name !== leader);
	group.network.setPolicy((from, _, method) => ({isLost: from === leader && method === methods.startRollout, delayMs: 1}));
	t.equal(await settle(group, group.get(others[0]!).rollouts.orders.start(order)), 'timeout');
	group.kill(leader);
	await group.clock.runFor(3000);
	const before = await settle(group, group.get(others[0]!).rollouts.orders.read(service));
	t.match(before, {...order, state: 'running', revision: 1});
	t.match(await settle(group, group.get(others[1]!).rollouts.orders.start(order)), {id: assumeType<Rollout>(before).id, revision: 1});
});

// Guards against a roll-out that a loss of power of all coordinators makes forget, or whose deadline it puts off beyond the committed time.
await t.test('a restart of all coordinators keeps the roll-out and its committed time', async t => {
	const observations: RolloutObservation[] = [];
	const group = await startGroup(t, observation => {
		observations.push(observation);
		return {kind: 'hold'};
	});
	await settle(group, group.get('a').rollouts.orders.start(order));
	await group.clock.runFor(5000);
	const {elapsedMs} = observations.at(-1)!;
	for (const name of names) {
		group.kill(name);
	}

	await Promise.all(names.map(async name => group.start(name)));
	observations.length = 0;
	await group.clock.runUntil(() => observations.length > 0, 5000);
	const first = observations[0]!;
	t.ok(first.elapsedMs >= elapsedMs - 1100, `${first.elapsedMs} after ${elapsedMs}`);
	t.match(await settle(group, group.get('b').rollouts.orders.start(order)), {...order, state: 'running', revision: 1});
	await group.clock.runFor(10_000);
	t.match(await settle(group, group.get('b').rollouts.orders.read(service)), {state: 'rolledBack'});
});

// Guards against a roll-out that is forgotten once the log up to its order is replaced by a snapshot.
await t.test('a restart of all coordinators from snapshots keeps the roll-out', async t => {
	const group = await startGroup(t);
	const started = await settle(group, group.get('a').rollouts.orders.start(order));
	const puts = Array.from({length: 600}, async (_, position) => getValueOrCode(group.get('a').putConfiguration(createDocument(position + 2))));
	await group.settle(Promise.all(puts));
	await group.clock.runFor(500);
	for (const name of names) {
		group.kill(name);
	}

	await Promise.all(names.map(async name => group.start(name)));
	await group.clock.runFor(3000);
	const {id} = assumeType<Rollout>(started);
	t.match(await settle(group, group.get('c').rollouts.orders.read(service)), {
		...order, id, state: 'running', revision: 1,
	});
});

// Guards against a retry of an accepted order that is rejected for good since its service was removed in between.
await t.test('a repeated order is acknowledged after its service has left the configuration, and a new one is refused', async t => {
	const group = await startGroup(t);
	const started = await settle(group, group.get('a').rollouts.orders.start(order));
	await settle(group, group.get('a').putConfiguration(createDocument(2, withoutServices)));
	await group.clock.runFor(500);
	for (const name of names) {
		t.match(await settle(group, group.get(name).rollouts.orders.start(order)), {id: assumeType<Rollout>(started).id});
		t.equal(await settle(group, group.get(name).rollouts.orders.start({...order, target: 'v3'})), 'unknown_service');
	}

	await group.clock.runFor(order.durationMs + 1000);
	t.equal(await settle(group, group.get('a').rollouts.orders.start(order)), 'unknown_service', 'no repeat any more');
});

// Guards against an order for a misspelt service that seems to succeed, and against one for a service that was added a moment ago.
await t.test('an order for an unknown service is refused', async t => {
	const group = await startGroup(t);
	for (const name of names) {
		t.equal(await settle(group, group.get(name).rollouts.orders.start({...order, service: 'x'})), 'unknown_service');
		t.equal(await settle(group, group.get(name).rollouts.orders.read(service)), 'not_found');
	}
});

// Guards against malformed parameters of another process that get into the log, and against commands that pass by the leader's checks.
await t.test('the leader refuses malformed orders of other processes', async t => {
	const group = await startGroup(t);
	const transport = group.network.join('peer');
	for (const change of [{durationMs: -1}, {durationMs: 0}, {durationMs: 'x'}, {durationMs: 86_400_001}, {target: ''}, {target: 7}, {service: ''}, {service: undefined}]) {
		const parameters = {...order, ...change};
		t.equal(await settle(group, transport.call(getLeader(group), methods.startRollout, parameters, {timeoutMs: 900})), 'protocol', JSON.stringify(change));
	}

	t.equal(await settle(group, transport.call(getLeader(group), methods.propose, {kind: 'startRollout', ...order, service: 'x'}, {timeoutMs: 900})), 'protocol');

	t.equal(await settle(group, group.get('a').rollouts.orders.read(service)), 'not_found');
});

// Guards against a deployment that takes orders which nothing carries out.
await t.test('a deployment without roll-outs takes no orders', async t => {
	const group = new CoordinatorGroup(names);
	t.teardown(async () => group.dispose());
	await group.startAll();
	t.ok(await group.put(1, names));
	t.equal(await settle(group, group.get('a').rollouts.orders.start(order)), 'not_found');
	t.equal(await settle(group, group.get('a').rollouts.orders.read(service)), 'not_found');
});

// Guards against a coordinator without a leader that answers from its own, possibly old, table.
await t.test('a coordinator without a quorum neither takes orders nor answers reads', async t => {
	const group = await startGroup(t);
	await settle(group, group.get('a').rollouts.orders.start(order));
	const leader = getLeader(group);
	group.network.setPolicy((from, to) => ({isLost: [from, to].includes(leader), delayMs: 1}));
	t.equal(await settle(group, group.get(leader).rollouts.orders.read(service)), 'not_leader');
	t.not(await settle(group, group.get(leader).rollouts.orders.start({...order, service})), 'conflict');
});
