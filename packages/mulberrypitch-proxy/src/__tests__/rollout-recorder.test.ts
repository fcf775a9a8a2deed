/** Tests what an entry reports of a roll-out. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {AttemptOutcome} from '../attempt-outcome.js';
import {RolloutRecorder} from '../rollout-recorder.js';

const deadlineAt = 10_000;
const state = {revision: 1, othersRunning: 0};

function createFailure(status: number): AttemptOutcome {
	return assumeType<AttemptOutcome>({kind: 'failed', answer: {head: {status}}});
}

/** Sends a request of which the parts of the response come at the given times. */
function send(recorder: RolloutRecorder, outcome: AttemptOutcome, {route = 'r', version = 'v2', parts = [], at = 1000}: {
	readonly route?: string;
	readonly version?: string;
	readonly parts?: readonly number[];
	readonly at?: number;
} = {}): void {
	const attempt = recorder.begin({
		route, version, sentAt: 100, deadlineAt,
	});
	for (const part of parts) {
		attempt.recordPart(part);
	}

	attempt.end(outcome, at);
}

// Guards against failures that are blamed on the wrong version or route, or that are no answers of a version at all.
await t.test('answers are counted by route and side', t => {
	const recorder = new RolloutRecorder(7, 'v2');
	const failures: readonly AttemptOutcome[] = [
		createFailure(500), {kind: 'unknown', reason: 'reset'}, {kind: 'cut', reason: 'reset'}, {kind: 'timeout', hasStarted: false},
	];
	const others: readonly AttemptOutcome[] = [{kind: 'abandoned'}, {
		kind: 'notRun', reason: 'full', wasSent: true, status: 503,
	}];
	for (const outcome of [...failures, ...others, createFailure(404)]) {
		send(recorder, outcome);
	}

	send(recorder, {kind: 'delivered'}, {version: 'v1'});
	send(recorder, {kind: 'abandoned'}, {version: 'v1', at: deadlineAt - 20});
	send(recorder, {kind: 'delivered'}, {route: 'q', version: 'v1'});
	recorder.addRequest();
	const {requests, rollout, routes} = recorder.report(state);
	t.match({requests, rollout}, {requests: 1, rollout: 7});
	t.match(routes, [
		{route: 'r', target: {sent: 7, succeeded: 1, failed: 4}, others: {sent: 2, succeeded: 1, failed: 1}},
		{route: 'q', target: {sent: 0}, others: {sent: 1, succeeded: 1, failed: 0}},
	]);
	t.end();
});

// Guards against requests that are taken for waiting long after they have ended, and against waiting ones that are missed.
await t.test('requests that ended without a first event are counted, whatever their outcome', t => {
	const recorder = new RolloutRecorder(7, 'v2');
	const notRun: AttemptOutcome = {
		kind: 'notRun', reason: 'full', wasSent: true, status: 503,
	};
	for (const outcome of [notRun, {kind: 'abandoned'}, {kind: 'timeout', hasStarted: false}, createFailure(500), createFailure(404)] as const) {
		send(recorder, outcome);
	}

	send(recorder, {kind: 'cut', reason: 'reset'}, {parts: [200]});
	send(recorder, {kind: 'delivered'}, {parts: [200]});
	recorder.begin({
		route: 'r', version: 'v2', sentAt: 100, deadlineAt,
	});
	const {target} = recorder.report(state).routes[0]!;
	t.match(target, {
		sent: 8, failed: 3, unanswered: 5, first: {count: 2},
	});
	t.end();
});

// Guards against a version that is slow, or stalls its streams, and looks like the others.
await t.test('times are summed as logarithms, from the send to the first part and for the longest pause', t => {
	const recorder = new RolloutRecorder(7, 'v2');
	send(recorder, {kind: 'delivered'}, {parts: [200, 250, 450, 460]});
	send(recorder, {kind: 'delivered'}, {parts: [110]});
	send(recorder, {kind: 'abandoned'}, {parts: [110, 120], at: 1120});
	send(recorder, {kind: 'unknown', reason: 'reset'});
	const {target} = recorder.report(state).routes[0]!;
	const round = (value: number) => Number(value.toFixed(3));
	t.same(target.first, {count: 3, sum: round(Math.log(100) + (2 * Math.log(10))), squares: round((Math.log(100) ** 2) + (2 * (Math.log(10) ** 2)))});
	t.same(target.pause, {count: 2, sum: round(Math.log(200) + Math.log(1000)), squares: round((Math.log(200) ** 2) + (Math.log(1000) ** 2))});
	t.end();
});

// Guards against statuses that grow with the number of routes, and against sums that go down as routes alternate in the list.
await t.test('the sixteen routes with most traffic are named, and the others are summed', t => {
	const recorder = new RolloutRecorder(7, 'v2');
	const sendMany = (route: string, count: number) => {
		for (let sent = 0; sent < count; sent += 1) {
			send(recorder, {kind: 'delivered'}, {route, parts: [150, 160]});
		}
	};

	for (let number = 1; number <= 40; number += 1) {
		sendMany(`r-${number}`, number);
	}

	const list = () => recorder.report(state).routes;
	const named = list().map(({route}) => route);
	t.same(named.toSorted(), ['', ...Array.from({length: 16}, (_, index) => `r-${index + 25}`)].toSorted());
	t.equal(list().at(-1)!.target.sent, 24 * 25 / 2);
	t.ok(JSON.stringify(list()).length < 17 * 400, `${JSON.stringify(list()).length} bytes`);
	sendMany('r-24', 10);
	t.same(list().map(({route}) => route), named);
	const before = new Map(list().map(({route, target}) => [route, target.sent]));
	sendMany('r-24', 400);
	t.same(list().map(({route}) => route), named, 'much more traffic changes no list');
	t.ok(list().every(({route, target}) => target.sent >= before.get(route)!), 'no sum goes down');
	t.end();
});
