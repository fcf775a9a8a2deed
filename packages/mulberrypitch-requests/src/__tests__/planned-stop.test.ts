/** Tests what a host takes and keeps during a planned stop, on virtual time. */
import t from 'tap';
import {codes} from '@mulberrypitch/errors/catalogue';
import {collectAnswer, createDocument, isWhole} from './cluster-calls.js';
import {RequestCluster} from './request-cluster.js';

const holderName = 'host-1';
const stoppingName = 'host-2';
/** Time for one more step after a session was opened, in milliseconds. */
const sessionStepMs = 1000;

// Guards against a stop that goes on taking callers who read an answer by request id, and closes their connections in the middle.
await t.test('a host that stops takes no reader of an answer, and readers that it had get the whole answer', async t => {
	const cluster = new RequestCluster();
	t.teardown(async () => cluster.dispose());
	await cluster.start();
	const accepting = cluster.getHost(holderName).requests.submit(createDocument('report', 100));
	const {requestId} = await cluster.settle(accepting);
	const stopping = cluster.getHost(stoppingName).requests;
	const received = collectAnswer(await cluster.settle(stopping.getRequest(requestId, 'clinic')));
	const lookingUp = stopping.getRequest(requestId, 'clinic');
	stopping.drain();
	await t.rejects(cluster.settle(lookingUp), {code: codes.draining}, 'a look-up that ends after the stop began');
	await t.rejects(cluster.settle(stopping.getRequest(requestId, 'clinic')), {code: codes.draining}, 'a read that begins after it');
	await cluster.until(() => received.outcome !== undefined);
	t.ok(isWhole(received, 'report', 100));
});

// Guards against a host that stops and, after the loss of its session, is chosen again by callers and as a standby.
await t.test('the session that a stopping host opens after the loss of its session is draining too', async t => {
	const cluster = new RequestCluster();
	t.teardown(async () => cluster.dispose());
	await cluster.start();
	const {control} = cluster.getHost(stoppingName);
	await cluster.settle(control.drain());
	const {epoch} = cluster.state.getSession(stoppingName)!;
	const address = cluster.cut(stoppingName);
	await cluster.until(() => cluster.state.getSession(stoppingName) === undefined);
	cluster.heal(address);
	await cluster.until(() => cluster.state.getSession(stoppingName) !== undefined);
	await cluster.clock.runFor(sessionStepMs);
	t.not(cluster.state.getSession(stoppingName)!.epoch, epoch);
	t.ok(cluster.state.getSession(stoppingName)!.isDraining);
});
