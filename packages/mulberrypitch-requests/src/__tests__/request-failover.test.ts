/** Tests that answers are complete and that non-idempotent requests run at most once, while hosts crash at each step. */
import t, {type Test} from 'tap';
import {ends} from '@mulberrypitch/control/types';
import {
	createBooking, createDocument, collectAnswer, isWhole,
} from './cluster-calls.js';
import {RequestCluster} from './request-cluster.js';

const endLimitMs = 90_000;
const holderName = 'host-1';
const otherHostName = 'host-2';

async function startCluster(t: Test): Promise<RequestCluster> {
	const cluster = new RequestCluster();
	t.teardown(async () => cluster.dispose());
	await cluster.start();
	return cluster;
}

await t.test('an answer is complete and ends once', async t => {
	const cluster = await startCluster(t);
	const accepting = cluster.getHost(holderName).requests.submit(createDocument('plan', 50));
	const received = collectAnswer(await cluster.settle(accepting));
	await cluster.until(() => received.outcome !== undefined);
	t.ok(isWhole(received, 'plan', 50));
});

await t.test('the holder crashes at different times during an answer, and another host streams the rest', async t => {
	for (let afterMs = 0; afterMs <= 1000; afterMs += 125) {
		const cluster = new RequestCluster();
		await cluster.start();
		const accepting = cluster.getHost(holderName).requests.submit(createDocument('plan', 50));
		await cluster.clock.runFor(100);
		const accepted = await accepting;
		const first = collectAnswer(accepted);
		await cluster.clock.runFor(afterMs);
		const before = first.text;
		cluster.kill(holderName);
		const offset = before.split(' ').length - 1;
		const resuming = cluster.getHost(otherHostName).requests.getRequest(accepted.requestId, 'clinic');
		await cluster.clock.runFor(100);
		const rest = collectAnswer(await resuming, offset);
		await cluster.until(() => rest.outcome !== undefined, endLimitMs);
		t.ok(isWhole({text: before + rest.text, outcome: rest.outcome!}, 'plan', 50), `killed after ${afterMs} ms`);
		await cluster.dispose();
	}
});

await t.test('a caller of a host that was cut off gets the rest through that host from the new holder', async t => {
	const cluster = await startCluster(t);
	const accepting = cluster.getHost(holderName).requests.submit(createDocument('report', 400));
	await cluster.clock.runFor(500);
	const received = collectAnswer(await accepting);
	const address = cluster.cut(holderName);
	await cluster.clock.runFor(6000);
	cluster.heal(address);
	await cluster.until(() => received.outcome !== undefined, endLimitMs);
	t.ok(isWhole(received, 'report', 400));
});

await t.test('two holders crash one after the other, and the answer is complete', async t => {
	const cluster = await startCluster(t);
	const accepting = cluster.getHost(holderName).requests.submit(createDocument('report', 700));
	const {requestId} = await cluster.settle(accepting);
	for (let death = 0; death < 2; death += 1) {
		const {holder} = cluster.state.getRequest(requestId)!;
		cluster.kill(holder);
		await cluster.until(() => cluster.state.getRequest(requestId)!.holder !== holder);
		await cluster.clock.runFor(1500);
	}

	const [reader] = cluster.hosts.values();
	const reading = reader!.requests.getRequest(requestId, 'clinic');
	const received = collectAnswer(await cluster.settle(reading));
	await cluster.until(() => received.outcome !== undefined, endLimitMs);
	t.ok(isWhole(received, 'report', 700));
});

await t.test('a crashed standby is replaced before the holder crashes too', async t => {
	const cluster = await startCluster(t);
	const accepting = cluster.getHost(holderName).requests.submit(createDocument('report', 600));
	const {requestId} = await cluster.settle(accepting);
	const standby = cluster.state.getRequest(requestId)!.standby!;
	cluster.kill(standby);
	await cluster.clock.runFor(7000);
	t.not(cluster.state.getRequest(requestId)!.standby, standby);
	cluster.kill(holderName);
	const [reader] = cluster.hosts.values();
	const reading = reader!.requests.getRequest(requestId, 'clinic');
	const received = collectAnswer(await cluster.settle(reading));
	await cluster.until(() => received.outcome !== undefined, endLimitMs);
	t.ok(isWhole(received, 'report', 600));
});

const bookingSteps = [
	{name: 'request.hold', when: 'after', end: undefined},
	{name: 'acceptRequest', when: 'after', end: ends.answered},
	{name: 'recordIntent', when: 'before', end: ends.answered},
	{name: 'recordIntent', when: 'after', end: ends.unknown},
	{name: 'dispatch', when: 'before', end: ends.unknown},
	{name: 'send', when: 'after', end: ends.unknown},
	{name: 'finishRequest', when: 'before', end: ends.unknown},
	{name: 'finishRequest', when: 'after', end: ends.answered},
] as const;

for (const {name, when, end} of bookingSteps) {
	await t.test(`a booking runs at most once when its holder crashes ${when} ${name}`, async t => {
		const cluster = await startCluster(t);
		cluster.setOnStep((host, step) => {
			if (host === holderName && step.when === when && step.names.includes(name)) {
				cluster.kill(host);
			}
		});

		const booking = createBooking('filter', 'ragusa-1');
		void cluster.getHost(holderName).requests.submit(booking);
		await cluster.clock.runFor(1000);
		t.notOk(cluster.hosts.has(holderName), 'the holder crashed');
		const resending = cluster.getHost(otherHostName).requests.submit(booking);
		const received = collectAnswer(await cluster.settle(resending));
		await cluster.until(() => received.outcome !== undefined, endLimitMs);
		t.equal(received.outcome!.end, end ?? ends.answered);
		t.ok(cluster.backends.calls.length <= 1, 'it ran at most once');
		t.equal(cluster.backends.calls.length === 1, received.outcome!.end === ends.answered || ['send', 'finishRequest'].includes(name));
	});
}

// Guards against an answer that stands twice, since the standby had the answer of the first run when it ran the call again.
await t.test('an idempotent call of a plain service that a standby runs again has its answer once', async t => {
	const cluster = await startCluster(t);
	const {address} = cluster.getHost(holderName).transport;
	let isFinishing = false;
	cluster.network.setPolicy((from, to) => ({isLost: isFinishing && from === address && to === 'control', delayMs: 1}));
	cluster.setOnStep((host, step) => {
		isFinishing ||= step.when === 'before' && step.names.includes('finishRequest');
		if (step.when === 'after' && step.names.includes('request.progress')) {
			cluster.kill(host);
		}
	});
	const call = {...createBooking('filter', 'stock-1'), isIdempotent: true};
	void cluster.getHost(holderName).requests.submit(call);
	await cluster.clock.runFor(1000);
	t.notOk(cluster.hosts.has(holderName), 'the holder crashed after its standby had stored the answer');
	cluster.setOnStep(() => undefined);
	const received = collectAnswer(await cluster.settle(cluster.getHost(otherHostName).requests.submit(call)));
	await cluster.until(() => received.outcome !== undefined, endLimitMs);
	t.equal(cluster.backends.calls.length, 2);
	t.equal(received.text, JSON.stringify({booked: 'filter'}));
});

await t.test('a request ends as failed when its holder and its standby crash together', async t => {
	const cluster = await startCluster(t);
	const accepting = cluster.getHost(holderName).requests.submit(createDocument('question', 50));
	const {requestId} = await cluster.settle(accepting);
	const {standby} = cluster.state.getRequest(requestId)!;
	cluster.kill(holderName);
	cluster.kill(standby!);
	await cluster.until(() => cluster.state.getRequest(requestId)!.outcome !== undefined, endLimitMs);
	t.equal(cluster.state.getRequest(requestId)!.outcome!.end, ends.failed);
});

await t.test('calls with the same idempotency key to all hosts run once and get one answer', async t => {
	const cluster = await startCluster(t);
	const order = createBooking('ink', 'order-1');
	const accepting = [...cluster.hosts.values()].map(async ({requests}) => requests.submit(order));
	const accepted = await cluster.settle(Promise.all(accepting));
	const answers = accepted.map(request => collectAnswer(request));
	await cluster.until(() => answers.every(({outcome}) => outcome !== undefined));
	t.equal(cluster.backends.calls.length, 1);
	t.equal(new Set(answers.map(({text}) => text)).size, 1);
	t.ok(answers.every(({outcome}) => outcome!.end === ends.answered));
});

await t.test('a draining host hands its requests over, and its callers get the rest through it', async t => {
	const cluster = await startCluster(t);
	const {requests} = cluster.getHost(holderName);
	const accepted = await cluster.settle(requests.submit(createDocument('report', 600)));
	const received = collectAnswer(accepted);
	await cluster.clock.runFor(1000);
	requests.drain();
	await cluster.settle(requests.handOver());
	await cluster.settle(requests.waitIdle());
	t.equal(cluster.state.getRequest(accepted.requestId)!.epoch, 2);
	t.equal(received.outcome, undefined);
	await cluster.until(() => received.outcome !== undefined, endLimitMs);
	t.ok(isWhole(received, 'report', 600));
});

await t.test('a draining host waits for a call that it is about to accept', async t => {
	const cluster = await startCluster(t);
	const {requests} = cluster.getHost(holderName);
	const submitting = requests.submit(createDocument('plan', 50));
	await cluster.clock.runFor(1);
	requests.drain();
	const idle = requests.waitIdle();
	let isIdle = false;
	void idle.then(() => {
		isIdle = true;
	});
	const received = collectAnswer(await cluster.settle(submitting));
	t.notOk(isIdle);
	await cluster.until(() => isIdle);
	t.ok(isWhole(received, 'plan', 50));
});

await t.test('a call that waits for admission when draining starts is refused as draining', async t => {
	const cluster = await startCluster(t);
	const {requests} = cluster.getHost(holderName);
	const submitting = requests.submit(createDocument('plan', 50));
	requests.drain();
	await t.rejects(cluster.settle(submitting), {code: 'draining'});
	await cluster.settle(requests.waitIdle());
	t.equal(cluster.state.listHeld(holderName).length, 0);
});
