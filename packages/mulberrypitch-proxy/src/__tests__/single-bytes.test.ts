/** Tests what responses take of an entry's memory that arrive one byte at a time and don't end. */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import t from 'tap';
import type {SingleBytes} from './single-bytes.js';

/** Memory in mebibytes for the objects of the worker. The bytes that it receives are less than a mebibyte. */
const maxOldGenerationSizeMb = 32;
const connections = 8;
const eventStreamHead = 'HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n';
const responses: Readonly<Record<string, Omit<SingleBytes, 'connections'>>> = {
	head: {start: 'HTTP/1.1 200 OK\r\nA: ', isStream: false, count: 50_000},
	'body of an answer': {start: 'HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n', isStream: false, count: 100_000},
	'body of a failure': {start: 'HTTP/1.1 500 Error\r\n\r\n', isStream: false, count: 100_000},
	'body of a refusal': {start: 'HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n', isStream: false, count: 100_000},
	'first event': {start: eventStreamHead, isStream: true, count: 100_000},
	'later event': {start: `${eventStreamHead}id: 1\ndata: a\n\n`, isStream: true, count: 100_000},
};

for (const [unit, response] of Object.entries(responses)) {
	// Guards against a back end that fills the memory of an entry inside the limits in bytes, since each byte is kept as an object of its own.
	await t.test(`single bytes of a ${unit} take little more memory than their number`, async t => {
		const worker = new Worker(new URL('single-bytes.js', import.meta.url), {
			execArgv: [], workerData: {...response, connections}, resourceLimits: {maxOldGenerationSizeMb},
		});
		const failures: unknown[] = [];
		worker.on('error', error => {
			failures.push(error);
		});
		await once(worker, 'exit');
		t.strictSame(failures, []);
	});
}
