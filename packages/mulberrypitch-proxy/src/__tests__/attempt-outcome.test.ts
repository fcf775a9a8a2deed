/** Tests the decision after an attempt has ended: no retry that may run a request too often, no response after a part of another one. */
import t from 'tap';
import {decideNextStep, type AttemptState, type BufferedResponse} from '../attempt-outcome.js';

const state: AttemptState = {
	isRetryable: false, isResumable: false, hasStarted: false, runCount: 0, maxAttempts: 1, sendCount: 1, hasTime: true, takeRetry: () => true,
};
const answer: BufferedResponse = {
	head: {
		status: 500, reason: '', headers: [], framing: 'none', isPersistent: true,
	},
	body: new Uint8Array(),
};

await t.test('a request that must not run twice is sent again only when it provably did not run', async t => {
	t.equal(decideNextStep({kind: 'notRun', reason: 'full', wasSent: true}, state).kind, 'sendAgain');
	t.match(decideNextStep({kind: 'unknown', reason: 'reset'}, {...state, runCount: 1}), {kind: 'reply', status: 502});
	t.equal(decideNextStep({kind: 'failed', answer}, {...state, runCount: 1}).kind, 'deliver');
});

await t.test('status 503 is sent only when no attempt may have run the request', async t => {
	const noRepeat = {...state, takeRetry: () => false};
	t.match(decideNextStep({kind: 'notRun', reason: 'full', wasSent: true}, noRepeat), {kind: 'reply', status: 503});
	t.match(decideNextStep({kind: 'notRun', reason: 'full', wasSent: true}, {...noRepeat, runCount: 1}), {kind: 'reply', status: 502});
});

await t.test('a retryable request runs on no more back ends than its route allows', async t => {
	const repeatable = {...state, isRetryable: true, maxAttempts: 2};
	t.equal(decideNextStep({kind: 'failed', answer}, {...repeatable, runCount: 1}).kind, 'sendAgain');
	t.equal(decideNextStep({kind: 'failed', answer}, {...repeatable, runCount: 2}).kind, 'deliver');
	t.match(decideNextStep({kind: 'unknown', reason: 'reset'}, {...repeatable, runCount: 2}), {kind: 'reply', status: 502});
});

await t.test('a stream that was cut off continues elsewhere only if it is resumable, and never ends as complete', async t => {
	t.match(decideNextStep({kind: 'cut', reason: 'reset'}, {...state, runCount: 1}), {kind: 'close'});
	const resumable = {
		...state, isRetryable: true, isResumable: true, runCount: 1, maxAttempts: 2,
	};
	t.equal(decideNextStep({kind: 'cut', reason: 'reset'}, resumable).kind, 'sendAgain');
	t.match(decideNextStep({kind: 'cut', reason: 'reset'}, {...resumable, takeRetry: () => false}), {kind: 'close'});
});

await t.test('after the deadline, the reply does not promise that the request did not run', async t => {
	t.match(decideNextStep({kind: 'timeout', hasStarted: false}, {...state, runCount: 1}), {kind: 'reply', status: 504});
	t.match(decideNextStep({kind: 'timeout', hasStarted: true}, {...state, runCount: 1}), {kind: 'close'});
});

await t.test('the failure response of a back end is delivered when no other one takes the request', async t => {
	const noRepeat = {
		...state, isRetryable: true, runCount: 1, takeRetry: () => false,
	};
	t.match(decideNextStep({
		kind: 'notRun', reason: 'full', wasSent: true, earlierFailure: answer,
	}, noRepeat), {kind: 'deliver', answer});
});

await t.test('the failure of a back end that resumes a stream never follows the part that was written', async t => {
	const shown = {
		...state, isRetryable: true, isResumable: true, hasStarted: true, runCount: 2, maxAttempts: 2,
	};
	t.equal(decideNextStep({kind: 'failed', answer}, shown).kind, 'close');
	t.equal(decideNextStep({
		kind: 'notRun', reason: 'full', wasSent: true, earlierFailure: answer,
	}, {...shown, takeRetry: () => false}).kind, 'close');
	t.equal(decideNextStep({kind: 'failed', answer}, {...shown, runCount: 1}).kind, 'sendAgain');
});

// Guards against a caller that is told that its request has not run by the failure of a back end that has run it.
await t.test('a failure whose status promises that the request did not run is not delivered, as the last one or as an earlier one', async t => {
	const noRepeat = {...state, runCount: 1, takeRetry: () => false};
	for (const status of [408, 421, 429, 503]) {
		const promise = {...answer, head: {...answer.head, status}};
		t.match(decideNextStep({kind: 'failed', answer: promise}, noRepeat), {kind: 'reply', status: 502}, String(status));
		t.match(decideNextStep({
			kind: 'notRun', reason: 'full', wasSent: true, earlierFailure: promise,
		}, noRepeat), {kind: 'reply', status: 502}, String(status));
	}
});
