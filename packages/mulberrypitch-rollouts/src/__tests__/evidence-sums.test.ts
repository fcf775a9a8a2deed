/** Tests the sums of evidence and the comparison of both sides. */
import t from 'tap';
import type {AnswerSums} from '@mulberrypitch/serving/rollout-messages';
import {
	addEvidence, isEvidenceLost, noAnswers, subtractEvidence,
} from '../evidence-sums.js';
import {compareFailures, countPending} from '../side-comparison.js';
import {getLogBeta} from '../log-gamma.js';

function createAnswers(sent: number, failed = 0): AnswerSums {
	const first = {count: sent - failed, sum: 5 * (sent - failed), squares: 26 * (sent - failed)};
	return {
		sent, succeeded: sent - failed, failed, first, pause: noAnswers.pause,
	};
}

const createRoute = (route: string, target: number, others: number) => ({route, target: createAnswers(target), others: createAnswers(others)});

await t.test('adds entries by route and takes away what was known before', async t => {
	const before = addEvidence([[createRoute('a', 1, 9)], [createRoute('b', 2, 8)]]);
	const now = addEvidence([[createRoute('a', 3, 20)], [createRoute('b', 5, 8), createRoute('a', 1, 1)]]);
	t.strictSame(subtractEvidence(now, before), [createRoute('a', 3, 12), {...createRoute('b', 3, 0), others: noAnswers}]);
});

await t.test('never gives negative counts when an entry loses its evidence', async t => {
	const [route] = subtractEvidence([createRoute('a', 3, 5)], [createRoute('a', 10, 50)]);
	t.strictSame(route, {route: 'a', target: noAnswers, others: noAnswers});
	t.ok(isEvidenceLost([createRoute('a', 3, 5)], [createRoute('a', 10, 50)]));
	t.ok(isEvidenceLost([createRoute('a', 11, 49)], [createRoute('a', 10, 50)]));
	t.ok(isEvidenceLost([{...createRoute('a', 10, 50), target: createAnswers(10, 1)}], [createRoute('a', 10, 50)]), 'fewer successes');
	t.ok(isEvidenceLost([], [createRoute('a', 10, 50)]));
	t.notOk(isEvidenceLost([createRoute('a', 10, 50), createRoute('b', 1, 0)], [createRoute('a', 10, 50)]));
});

// Guards against requests that have ended and count as waiting, which roll a good version back, also beside an entry of a version before.
await t.test('requests that ended without a first event do not wait', async t => {
	const earlier = {...createAnswers(10, 2), sent: 11};
	const present = {...createAnswers(10, 2), sent: 15, unanswered: 4};
	t.equal(countPending(earlier), 1);
	t.equal(countPending(present), 3);
	t.equal(countPending({...present, failed: 5}), 3, 'streams that were cut after their first event');
	const [{target} = {target: noAnswers}] = addEvidence([earlier, present].map(target => [{route: 'a', target, others: noAnswers}]));
	t.equal(countPending(target), 4);
	t.equal(subtractEvidence([{route: 'a', target, others: noAnswers}], [{route: 'a', target: earlier, others: noAnswers}])[0]!.target.unanswered, 4);
});

await t.test('tells 8 failures of 10 from none of 100, but not from 14 of 100 by 2 of 10', async t => {
	const options = {earlier: noAnswers, margin: 0.01};
	t.ok(compareFailures(createAnswers(10, 8), createAnswers(100), options) > 9);
	t.ok(compareFailures(createAnswers(10, 2), createAnswers(100, 14), options) < 1);
	t.ok(compareFailures(createAnswers(10), createAnswers(100), options) <= 0);
});

await t.test('computes the beta function of small and large numbers', async t => {
	t.ok(Math.abs(getLogBeta(1, 1)) < 1e-9);
	t.ok(Math.abs(getLogBeta(3, 4) - Math.log(1 / 60)) < 1e-9);
	t.ok(Math.abs(getLogBeta(0.5, 0.5) - Math.log(Math.PI)) < 1e-9);
});
