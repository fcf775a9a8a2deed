/** Tests the table of roll-outs in the replicated state. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {rolloutStates, type Rollout} from '@mulberrypitch/serving/rollout-messages';
import type {EntryStatus} from '@mulberrypitch/serving/view-messages';
import {RolloutEvidenceStore} from '../rollout-evidence.js';
import {repeatMs} from '../rollout-table.js';
import {RolloutTracker} from '../rollout-tracker.js';
import {ServingState} from '../serving-state.js';

const order = {service: 's', target: 'v2', durationMs: 12_000};

function createState() {
	let index = 0;
	const state = new ServingState({
		onConfiguration() {
			// These tests set no configuration.
		},
		onDuties() {
			// These tests take no duties.
		},
	});
	const apply = (command: Record<string, unknown> & {readonly kind: string}) => {
		index += 1;
		return state.apply({
			index, term: 1, time: 0, command,
		}).result;
	};

	const start = (changes: Partial<typeof order> = {}) => apply({kind: 'startRollout', ...order, ...changes});
	const advance = (changes: Partial<Rollout>, fromRevision = state.rollouts.get('s')!.revision) => {
		const rollout = {...state.rollouts.get('s')!, ...changes};
		return apply({kind: 'advanceRollout', rollout, fromRevision}).value;
	};

	return {
		state, apply, start, advance,
	};
}

// Guards against an order that takes effect twice, or that is rejected although it was accepted.
await t.test('an equal order is a repeat until the roll-out has ended and its order is old', async t => {
	const {state, start, advance} = createState();
	t.match(start().value, {
		isRepeat: false, rollout: {
			id: 1, state: 'running', share: 0, revision: 1,
		},
	});
	t.match(start().value, {isRepeat: true, rollout: {id: 1}});
	advance({state: rolloutStates.rolledBack, revision: 2, elapsedMs: 3000});
	t.match(start().value, {isRepeat: true, rollout: {id: 1, state: 'rolledBack'}});
	t.equal(advance({elapsedMs: repeatMs}), true);
	t.match(start().value, {isRepeat: false, rollout: {id: 6, state: 'running', elapsedMs: 0}});
	t.equal(state.rollouts.list().length, 1);
});

// Guards against an entry that starts during the next roll-out and sends to a bad version whose back ends have not left yet.
await t.test('a roll-out names the versions that earlier ones rolled back, until it is ordered anew', async t => {
	const {state, start, advance} = createState();
	const rollBack = (target: string) => {
		start({target});
		const {withdrawn} = state.rollouts.get('s')!;
		advance({state: rolloutStates.rolledBack, revision: 2, elapsedMs: repeatMs});
		t.same(state.rollouts.get('s')!.withdrawn, withdrawn, 'an advance keeps them');
		return withdrawn;
	};

	t.equal(rollBack('v2'), undefined);
	t.same(rollBack('v3'), ['v2']);
	t.same(rollBack('v2'), ['v3']);
	start({target: 'v4'});
	advance({state: rolloutStates.completed, revision: 2});
	start({target: 'v5'});
	t.same(state.rollouts.get('s')!.withdrawn, ['v3', 'v2'], 'a completed roll-out adds none');
	const restored = createState().state;
	restored.restore(structuredClone(state.capture()));
	t.same(restored.rollouts.get('s')!.withdrawn, ['v3', 'v2']);
	advance({state: rolloutStates.rolledBack, revision: 2, elapsedMs: repeatMs});
	for (const target of ['v6', 'v7', 'v8']) {
		rollBack(target);
	}

	start({target: 'v9'});
	t.same(state.rollouts.get('s')!.withdrawn, ['v5', 'v6', 'v7', 'v8'], 'the last ones');
});

// Guards against two roll-outs of one service at the same time.
await t.test('a different order conflicts while a roll-out of the service is running', async t => {
	const {start, advance} = createState();
	start();
	t.match(start({target: 'v3'}).failure, {code: 'conflict'});
	t.match(start({durationMs: 12_001}).failure, {code: 'conflict'});
	t.match(start({service: 'other'}).value, {isRepeat: false});
	advance({state: rolloutStates.completed, revision: 2, elapsedMs: 3000});
	t.match(start({target: 'v3'}).value, {isRepeat: false, rollout: {target: 'v3'}});
});

// Guards against a former leader's command that undoes a roll-back.
await t.test('an advance from another revision, or of an earlier roll-out, has no effect', async t => {
	const {state, start, advance} = createState();
	start();
	const first = state.rollouts.get('s')!;
	t.equal(advance({share: 0.1, revision: 2}, 1), true);
	t.equal(advance({share: 1, revision: 2}, 1), false);
	t.equal(advance({state: rolloutStates.rolledBack, share: 0, revision: 3}), true);
	t.equal(advance({state: rolloutStates.running, share: 1, revision: 4}), true);
	t.match(state.rollouts.get('s'), {state: 'rolledBack', share: 0, revision: 3});
	start({target: 'v3'});
	t.equal(advance({...first, share: 1, revision: 2}, 1), false);
	t.match(state.rollouts.get('s'), {target: 'v3', share: 0});
});

// Guards against a coordinator that can't start from a snapshot of the previous version, or that stays without a running roll-out for ever.
await t.test('a snapshot of an earlier version loads, and the next advance brings the roll-out that it lacks', async t => {
	const {state, start, advance} = createState();
	start();
	const {rollouts, ...earlier} = state.capture();
	const restored = createState();
	restored.state.restore(structuredClone(earlier));
	t.same(restored.state.rollouts.list(), []);
	advance({share: 0.1, revision: 2});
	restored.apply({kind: 'advanceRollout', rollout: state.rollouts.get('s')!, fromRevision: 1});
	t.same(restored.state.rollouts.list(), state.rollouts.list());
	restored.state.restore(structuredClone(state.capture()));
	t.same(restored.state.rollouts.list(), state.rollouts.list());
	t.equal(rollouts?.length, 1);
});

// Guards against a coordinator of this version that ends at a command of a later one.
await t.test('a command of an unknown kind has no effect', async t => {
	const {state, apply} = createState();
	const before = JSON.stringify(state.capture());
	t.doesNotThrow(() => apply({kind: 'of a later version'}));
	t.equal(JSON.stringify(state.capture()), before);
});

// Guards against counts that go back when statuses overtake each other on their way through two coordinators.
await t.test('the newest evidence of an incarnation counts, whatever arrives last', async t => {
	const store = new RolloutEvidenceStore();
	const status = (upMs: number, requests?: number) => assumeType<EntryStatus>({
		name: 'front', incarnation: 'x', upMs, ...(requests !== undefined && {
			rollouts: [{
				rollout: 1, revision: 1, requests, othersRunning: 0, routes: [],
			}],
		}),
	});
	store.merge(status(200, 9));
	store.merge(status(100, 4));
	t.equal(store.sum(1).requests, 9);
	store.merge(status(300));
	t.equal(store.sum(1).requests, 9, 'a status that does not list the roll-out');
	store.retain(id => id === 2);
	t.equal(store.sum(1).requests, 0);
});

// Guards against a deadline that a restart or a change of the leader puts off, and against a time that goes back.
await t.test('the elapsed time is measured from the committed one, and never goes back', async t => {
	const clock = new VirtualClock();
	const tracker = new RolloutTracker(clock, new RolloutEvidenceStore());
	const rollout: Rollout = {
		...order, id: 1, state: rolloutStates.running, share: 0, revision: 1, elapsedMs: 4000, reason: '',
	};
	t.equal(tracker.update([rollout]), true);
	await clock.runFor(1000);
	t.equal(tracker.getElapsed(rollout), 5000);
	t.equal(tracker.update([{...rollout, elapsedMs: 4500}]), false);
	t.equal(tracker.getElapsed(rollout), 5000);
	tracker.raiseElapsed(1, 7000);
	tracker.raiseElapsed(1, 6000);
	tracker.raiseElapsed(2, 9000);
	await clock.runFor(100);
	t.equal(tracker.getElapsed(rollout), 7100);
	const next = assumeType<Rollout>({...rollout, id: 2, elapsedMs: 0});
	t.equal(tracker.update([next]), true);
	t.equal(tracker.getElapsed(next), 0);
});
