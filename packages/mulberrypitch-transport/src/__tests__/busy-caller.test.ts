/** Tests that a process that was busy does not take its own delay for the silence of a peer. */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {TcpTransport} from '../tcp-transport.js';

const timeoutMs = 100;

/** Starts a peer in another thread. `answers` counts in its first element what the peer has answered. */
async function startEcho(t: Test): Promise<{readonly address: string; readonly answers: Int32Array}> {
	const shared = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
	const worker = new Worker(new URL('echo-worker.js', import.meta.url), {workerData: shared});
	t.teardown(async () => worker.terminate());
	const [port] = assumeType<[number]>(await once(worker, 'message'));
	return {address: `127.0.0.1:${port}`, answers: new Int32Array(shared)};
}

/** Blocks the thread until the peer has answered, and for at least the timeout of a call. */
function blockUntilAnswered(answers: Int32Array, answered: number): void {
	Atomics.wait(answers, 0, answered);
	Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, 2 * timeoutMs);
}

// Guards against a busy process that gives up a coordinator whose reply has arrived, and closes the connection.
await t.test('a reply that arrived in time counts, although the caller was too busy to read it before the timeout', async t => {
	const {address, answers} = await startEcho(t);
	const client = new TcpTransport({
		name: 'test', listen: {host: '127.0.0.1', port: 0}, secret: 'secret', logger: new SilentLogger(),
	});
	t.teardown(async () => client.dispose());
	t.equal(await client.call(address, 'echo', 'first', {timeoutMs: 10_000}), 'first');
	Atomics.wait(answers, 0, 0);
	const reply = client.call(address, 'echo', 'second', {timeoutMs});
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	blockUntilAnswered(answers, 1);
	t.equal(await reply, 'second');
});
