/** Tests how the leader advances roll-outs with what entries report. */
import t, {type Test} from 'tap';
import type {
	Rollout, RolloutDecision, RolloutObservation, RouteEvidence,
} from '@mulberrypitch/serving/rollout-messages';
import {CoordinatorGroup, definedService as service} from './coordinator-group.js';
import {ReportingEntry, type EntryOptions} from './rollout-entry.js';

const names = ['a', 'b', 'c'];
const limits = {exposedShare: 0.1, exposedSlack: 50, rollbackMs: 5000};
const durationMs = 12_000;

type Decider = (observation: RolloutObservation) => RolloutDecision;

/** Sends all requests to the target, then completes. */
function moveAtOnce({share}: RolloutObservation): RolloutDecision {
	return share === 1 ? {kind: 'complete', reason: 'all moved'} : {kind: 'setShare', share: 1, reason: 'no doubt'};
}

async function startGroup(t: Test, decide: Decider): Promise<CoordinatorGroup> {
	const group = new CoordinatorGroup(names, {limits, decide});
	t.teardown(async () => group.dispose());
	await group.startAll();
	t.ok(await group.put(1, names));
	group.network.setPolicy(() => ({isLost: false, delayMs: 1}));
	await group.clock.runFor(4000);
	return group;
}

function startEntry(t: Test, group: CoordinatorGroup, options?: EntryOptions, coordinators = names): ReportingEntry {
	const entry = new ReportingEntry(group, coordinators, options);
	t.teardown(() => {
		entry.stop();
	});
	return entry;
}

async function order(group: CoordinatorGroup): Promise<void> {
	await group.settle(group.get('a').rollouts.orders.start({service, target: 'v2', durationMs}));
}

async function read(group: CoordinatorGroup, name = 'a'): Promise<Rollout> {
	return (await group.settle(group.get(name).rollouts.orders.read(service)))!.value;
}

function getLeader(group: CoordinatorGroup): string {
	return group.actions.at(-1)!.holder.replace('core-', '');
}

function createRoute(sent: number): RouteEvidence {
	const times = {count: sent, sum: 0, squares: 0};
	const answers = {
		sent, succeeded: sent, failed: 0, first: times, pause: times,
	};
	return {route: 'r', target: answers, others: answers};
}

// Guards against old back ends that are stopped while an entry still sends to them or requests still run there.
await t.test('a roll-out is completed once every entry acts on the share and nothing runs at old back ends', async t => {
	const group = await startGroup(t, moveAtOnce);
	const entry = startEntry(t, group);
	const other = startEntry(t, group, {name: 'other', incarnation: 'y'});
	entry.report = {othersRunning: 1};
	other.fixedRevision = 1;
	await group.clock.runFor(1000);
	await order(group);
	await group.clock.runFor(2000);
	t.match(await read(group), {state: 'running', share: 1, revision: 2});
	entry.report = {othersRunning: 0};
	await group.clock.runFor(1000);
	t.match(await read(group), {state: 'running'}, 'while an entry acts on an earlier revision');
	other.fixedRevision = undefined;
	await group.clock.runFor(1000);
	t.match(await read(group), {state: 'completed', share: 1, reason: 'all moved'});
});

// Guards against a good version that is not completed in time because one request at an old back end does not end.
await t.test('a roll-out is completed shortly before its deadline although a request still runs at an old back end', async t => {
	const group = await startGroup(t, moveAtOnce);
	startEntry(t, group).report = {othersRunning: 1};
	await group.clock.runFor(1000);
	await order(group);
	await group.clock.runFor(durationMs - 2000);
	t.match(await read(group), {state: 'running', share: 1});
	await group.clock.runFor(1500);
	t.match(await read(group), {state: 'completed'});
});

// Guards against old back ends that are stopped under an entry that is cut off, and against a killed entry that holds up the completion.
await t.test('an entry that stopped reporting holds up the completion for a few seconds only', async t => {
	const group = await startGroup(t, moveAtOnce);
	startEntry(t, group);
	const silent = startEntry(t, group, {name: 'silent', incarnation: 'y'});
	silent.report = {othersRunning: 2};
	await group.clock.runFor(1000);
	await order(group);
	await group.clock.runFor(1000);
	silent.stop();
	await group.clock.runFor(4000);
	t.match(await read(group), {state: 'running', share: 1});
	await group.clock.runFor(2500);
	t.match(await read(group), {state: 'completed'});
});

// Guards against a version that goes into service because nothing was known of it.
await t.test('a roll-out without a decision by its deadline is rolled back', async t => {
	const group = await startGroup(t, () => ({kind: 'hold'}));
	startEntry(t, group);
	await order(group);
	await group.clock.runFor(durationMs - 500);
	t.match(await read(group), {state: 'running', share: 0});
	await group.clock.runFor(1000);
	t.match(await read(group), {state: 'rolledBack', share: 0, revision: 2});
});

// Guards against a decision that fails, or that returns no share, and keeps a bad version in service beyond the deadline.
await t.test('a decision that can not be used changes nothing until the deadline', async t => {
	let count = 0;
	const group = await startGroup(t, () => {
		count += 1;
		if (count % 2 === 0) {
			throw new Error('No decision.');
		}

		return {kind: 'setShare', share: Number.NaN, reason: ''};
	});
	await order(group);
	await group.clock.runFor(durationMs - 500);
	t.match(await read(group), {state: 'running', share: 0, revision: 1});
	await group.clock.runFor(1000);
	t.match(await read(group), {state: 'rolledBack'});
});

// Guards against a coordinator that knows no entry and completes a roll-out for that reason.
await t.test('a roll-out is not completed early while no entry is known', async t => {
	const group = await startGroup(t, moveAtOnce);
	await order(group);
	await group.clock.runFor(durationMs - 2000);
	t.match(await read(group), {state: 'running', share: 1});
});

// Guards against a failure of the leader that puts off the deadline, or after which nobody rolls back a bad version.
await t.test('a new leader continues at once with the share, the time and the evidence', async t => {
	const observations: RolloutObservation[] = [];
	const group = await startGroup(t, observation => {
		observations.push(observation);
		return observation.share < 0.1 ? {kind: 'setShare', share: 0.1, reason: 'first'} : {kind: 'hold'};
	});
	const entry = startEntry(t, group);
	entry.report = {requests: 70, routes: [createRoute(30)]};
	await group.clock.runFor(1000);
	await order(group);
	await group.clock.runFor(3000);
	const last = observations.at(-1)!;
	const killedAt = group.clock.now();
	observations.length = 0;
	group.kill(getLeader(group));
	t.ok(await group.clock.runUntil(() => observations.length > 0, 2500));
	const {elapsedMs, shareAgeMs, ...first} = observations[0]!;
	const gapMs = group.clock.now() - killedAt;
	t.match(first, {
		share: 0.1, requests: 70, isAppliedEverywhere: true, routes: [{target: {sent: 30}}], routesBefore: last.routesBefore,
	});
	t.ok(Math.abs(elapsedMs - last.elapsedMs - gapMs) <= 200, `${elapsedMs} after ${last.elapsedMs} and ${gapMs}`);
	t.ok(shareAgeMs >= last.shareAgeMs);
});

// Guards against a restarted coordinator that leads with the committed time only, which lags by the time without a leader.
await t.test('a coordinator that has restarted learns the elapsed time that the others measured without a leader', async t => {
	const group = await startGroup(t, () => ({kind: 'hold'}));
	await order(group);
	await group.clock.runFor(2000);
	const leader = getLeader(group);
	const [witness, restarted] = names.filter(name => name !== leader);
	group.kill(leader);
	group.kill(restarted!);
	await group.clock.runFor(4000);
	await group.start(restarted!);
	await group.clock.runFor(500);
	const measured = (name: string) => group.get(name).rollouts.ages[0]!.elapsedMs;
	t.ok(measured(witness!) >= 6000);
	t.ok(Math.abs(measured(witness!) - measured(restarted!)) < 200, `${measured(witness!)} and ${measured(restarted!)}`);
});

// Guards against evidence that a bad version takes along when it crashes the entry, or that counts twice after a restart.
await t.test('the evidence of an incarnation that has ended counts, each report once', async t => {
	const observations: RolloutObservation[] = [];
	const group = await startGroup(t, observation => {
		observations.push(observation);
		return {kind: 'hold'};
	});
	const entry = startEntry(t, group);
	entry.report = {requests: 10, othersRunning: 4, routes: [createRoute(5)]};
	await order(group);
	await group.clock.runFor(1000);
	entry.stop();
	startEntry(t, group, {name: 'front', incarnation: 'y'}).report = {requests: 3, othersRunning: 1, routes: [createRoute(2)]};
	await group.clock.runFor(2000);
	t.match(observations.at(-1), {requests: 13, othersRunning: 1, routes: [{route: 'r', target: {sent: 7}, others: {succeeded: 7}}]});
});

// Guards against a roll-back that entries learn only when their poll times out.
for (const [name, intervalMs] of Object.entries({'while an entry waits for changes': 1, 'between two polls of an entry': 900})) {
	await t.test(`a change of a roll-out ${name} reaches it without delay, and a commit of the time alone ends no poll`, async t => {
		const waitMs = 1000;
		let share = 0;
		const group = await startGroup(t, observation => observation.share === share ? {kind: 'hold'} : {kind: 'setShare', share, reason: 'test'});
		const entry = startEntry(t, group, {intervalMs, waitMs}, ['a']);
		await order(group);
		await group.clock.runFor(2000);
		const polls = entry.told.length;
		await group.clock.runUntil(() => entry.told.length > polls, 3000, 1);
		// The entry has just had a reply; with a short interval it waits at the coordinator soon.
		await group.clock.runFor(20);
		share = 0.3;
		const changedAt = group.clock.now();
		await group.clock.runFor(3000);
		const told = entry.told.find(({rollouts}) => rollouts[0]?.share === 0.3);
		t.ok(told !== undefined && told.at - changedAt <= intervalMs + 150, `${(told?.at ?? 0) - changedAt} ms`);
		const pollsBefore = entry.told.length;
		await group.clock.runFor(4000);
		t.ok(entry.told.length - pollsBefore <= Math.ceil(4000 / (waitMs + intervalMs)), `${entry.told.length - pollsBefore} polls`);
	});
}

// Guards against a decision that takes the back ends of the target for old ones.
await t.test('the back ends of the target are counted apart from the others', async t => {
	const observations: RolloutObservation[] = [];
	const group = await startGroup(t, observation => {
		observations.push(observation);
		return {kind: 'hold'};
	});
	for (const [position, version] of ['v1', 'v2', 'v2'].entries()) {
		await group.settle(group.get('b').announce({
			id: `i-${position}`, startedAt: 1, sequence: 1, service, address: `10.0.0.${position}:80`, zone: 'z', slots: 1, isLeaving: false, isSpot: false, version,
		}));
	}

	await order(group);
	await group.clock.runFor(500);
	t.match(observations.at(-1), {targetBackends: 2, otherBackends: 1});
});

// Guards against entries that stop sending to a good target since the only coordinator which they poll says too seldom that it is current.
await t.test('no view becomes old at an entry that polls one sound coordinator, leader or follower', async t => {
	const group = await startGroup(t, () => ({kind: 'hold'}));
	const entries = names.map(name => startEntry(t, group, {name: `front-${name}`, intervalMs: 400}, [name]));
	await order(group);
	await group.clock.runFor(10_000);
	for (const [index, {told}] of entries.entries()) {
		const confirmed = told.filter(({isCurrent}) => isCurrent);
		const ages = confirmed.map(({askedAt}, position) => (confirmed[position + 1]?.at ?? group.clock.now()) - askedAt);
		t.ok(confirmed.length >= 10, `${names[index]}: ${confirmed.length} of ${told.length} replies are current`);
		t.ok(Math.max(...ages) < 1500, `${names[index]}: ${Math.max(...ages)} ms`);
	}
});
