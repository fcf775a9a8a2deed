/** A peer in a thread of its own, so that it answers while the thread of a test is blocked. It counts its answers in shared memory. */
import {setTimeout as delay} from 'node:timers/promises';
import {parentPort, workerData} from 'node:worker_threads';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {TcpTransport} from '../tcp-transport.js';

/** Time in milliseconds after which an answer is certainly written. */
const writtenMs = 50;

const counts = new Int32Array(assumeType<SharedArrayBuffer>(workerData));
const transport = new TcpTransport({
	name: 'echo', listen: {host: '127.0.0.1', port: 0}, secret: 'secret', logger: new SilentLogger(),
});

async function countAnswer(): Promise<void> {
	await delay(writtenMs);
	Atomics.add(counts, 0, 1);
	Atomics.notify(counts, 0);
}

transport.handle('echo', {parse: value => value}, async value => {
	void countAnswer();
	return value;
});
parentPort!.postMessage(await transport.listen());
