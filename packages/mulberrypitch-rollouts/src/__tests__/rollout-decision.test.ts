/** Tests the decision on a roll-out against synthetic answers on virtual time, with fixed seeds. */
import t from 'tap';
import type {RolloutObservation} from '@mulberrypitch/serving/rollout-messages';
import {decideRollout} from '../rollout-decision.js';
import {cases, type SyntheticCase} from './rollout-cases.js';
import {limits, simulateRollout} from './synthetic-rollout.js';

/** CI runs few seeds, and no long roll-outs with heavy traffic; `measure-rates.ts` runs many. */
const seeds = [1, 2];
const maxRequests = 7000;
/** Cases in which the traffic suffices to tell a bad version in time with these seeds. The design note says which others don't. */
const caughtCases = new Set([
	'fails at once, 20/s, 30 s',
	'slow at once, 20/s, 30 s',
	'fails at once, 100/s, 8 s',
	'slow at once, 100/s, 8 s',
	'fails at once, 100/s, 60 s',
	'partly slow at once, 100/s, 60 s',
	'slow at once, 100/s, 60 s',
	'fails later, 100/s, 60 s',
	'fails under load, 100/s, 60 s',
	'slow under load, 100/s, 60 s',
	'fails under high load, 100/s, 60 s',
	'fails on a route of 20 %, 100/s, 60 s',
	'slow on a route of 5 %, 100/s, 60 s',
	'hangs at once, 20/s, 30 s',
	'hangs at once, 100/s, 8 s',
	'fails at once, 500/s, 12 s',
	'slow at once, 500/s, 12 s',
	'fails later, 500/s, 12 s',
	'fails under load, 500/s, 12 s',
	'slow under load, 500/s, 12 s',
]);

function findCase(name: string): SyntheticCase {
	return cases.find(scenario => scenario.name === name)!;
}

const small = cases.filter(({rate, durationMs}) => rate * durationMs / 1000 <= maxRequests);
for (const scenario of small.filter(({isBad}) => !isBad)) {
	await t.test(`completes a good version before the deadline: ${scenario.name}`, async t => {
		for (const seed of seeds) {
			const {state, endMs, reason, lastShare} = simulateRollout(scenario, seed);
			t.equal(state, 'complete', `seed ${seed}: ${reason}`);
			t.ok(lastShare >= 0.5, `seed ${seed}: completed at share ${lastShare}, while the old back ends have most of the requests`);
			t.ok(endMs < scenario.durationMs, `seed ${seed}`);
		}
	});
}

for (const name of caughtCases) {
	await t.test(`rolls a bad version back within the exposure: ${name}`, async t => {
		for (const seed of seeds) {
			const {state, sent, requests, sentLate, reason} = simulateRollout(findCase(name), seed);
			t.equal(state, 'rollBack', `seed ${seed}: ${reason}`);
			t.ok(sent <= (limits.exposedShare * requests) + limits.exposedSlack, `seed ${seed}: ${sent} of ${requests} requests`);
			t.equal(sentLate, 0, `seed ${seed}`);
		}
	});
}

await t.test('keeps thin traffic within the exposure, whatever the version', async t => {
	for (const scenario of small.filter(({isBad, rate}) => isBad && rate === 5)) {
		for (const seed of seeds) {
			const {sent, requests, sentLate} = simulateRollout(scenario, seed);
			t.ok(sent <= (limits.exposedShare * requests) + limits.exposedSlack, `${scenario.name}, seed ${seed}`);
			t.equal(sentLate, 0, `${scenario.name}, seed ${seed}`);
		}
	}
});

await t.test('rolls back a target that never has a back end, without sending it requests', async t => {
	const scenario = {...findCase('sound, 100/s, 8 s'), targetStartMs: Infinity};
	const {state, endMs, sent} = simulateRollout(scenario, 1);
	t.equal(state, 'rollBack');
	t.ok(endMs < scenario.durationMs);
	t.equal(sent, 0);
});

await t.test('gives the same verdict for the same seed', async t => {
	const scenario = findCase('fails at once, 100/s, 8 s');
	t.strictSame(simulateRollout(scenario, 7), simulateRollout(scenario, 7));
});

const answered = {
	sent: 200, succeeded: 200, failed: 0, first: {count: 200, sum: 1000, squares: 5100}, pause: {count: 0, sum: 0, squares: 0},
};
const observed: RolloutObservation = {
	durationMs: 12_000, elapsedMs: 10_600, share: 0.1, shareAgeMs: 900, requests: 5000, othersRunning: 5, isAppliedEverywhere: true,
	targetBackends: 3, otherBackends: 3, routes: [{route: 'r', target: answered, others: answered}], routesBefore: [],
};

// Guards against old back ends that stop while nearly all requests are sent to them, although the target could have had all for a moment.
await t.test('sends all requests to the target before it completes shortly before the deadline', t => {
	t.match(decideRollout(observed, limits), {kind: 'setShare', share: 1});
	t.match(decideRollout({
		...observed, elapsedMs: 10_700, share: 1, shareAgeMs: 100, isAppliedEverywhere: false,
	}, limits), {kind: 'hold'});
	t.match(decideRollout({
		...observed, elapsedMs: 11_200, share: 1, shareAgeMs: 600,
	}, limits), {kind: 'complete'});
	t.match(decideRollout({...observed, elapsedMs: 11_500}, limits), {kind: 'hold'}, 'no time left');
	t.match(decideRollout({...observed, elapsedMs: 11_500, share: 0.8}, limits), {kind: 'complete'}, 'most requests have moved');
	t.match(decideRollout({...observed, elapsedMs: 11_750}, limits), {kind: 'rollBack'});
	t.end();
});

// Guards against a bad version that is not judged because evidence is taken for lost at the same time.
await t.test('rolls a failing version back although evidence was lost', t => {
	const failed = {...answered, succeeded: 0, failed: 200};
	const routes = [{route: 'r', target: failed, others: answered}];
	const running = {...observed, elapsedMs: 4000, hasLostEvidence: true};
	t.match(decideRollout(running, limits), {kind: 'setShare', reason: 'evidence of an entry was lost'});
	t.match(decideRollout({...running, routes}, limits), {kind: 'rollBack'});
	t.end();
});
