/** Tests one connection to a back end with servers that send faulty or late responses. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import type {BackendConnection, Exchange} from '../backend-connection.js';
import {openConnection, startBackend} from './loopback.js';

type Result = {
	statuses: number[];
	body: string;
	end: string;
};

/** Number of event-loop turns after which a response is taken to be missing. */
const maxTurns = 20_000;
const head = 'POST /a/ HTTP/1.1\r\n\r\n';

async function exchange(connection: BackendConnection, attemptId: string | undefined): Promise<Result> {
	const result: Result = {statuses: [], body: '', end: ''};
	return new Promise(resolve => {
		const listener: Exchange = {
			attemptId,
			isHead: false,
			onHead({status}) {
				result.statuses.push(status);
			},
			onBody(data) {
				result.body += Buffer.from(data).toString('latin1');
			},
			onEnd() {
				resolve({...result, end: 'whole'});
			},
			onFailed() {
				resolve({...result, end: 'broken'});
			},
		};
		connection.send(head, undefined, listener);
	});
}

await t.test('a response that ends with its connection is complete', async t => {
	const address = await startBackend(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\n\r\nhello');
	});
	const connection = await openConnection(address);
	t.match(await exchange(connection, '1'), {body: 'hello', end: 'whole'});
});

await t.test('a response that ends with a reset is broken, even when the reset is seen together with its last bytes', async t => {
	const address = await startBackend(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\n\r\nhel');
		socket.resetAndDestroy();
	});
	const connection = await openConnection(address);
	const answered = exchange(connection, '1');
	t.match(await answered, {end: 'broken'});
});

await t.test('a response with fewer bytes than its length is broken', async t => {
	const address = await startBackend(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhel');
	});
	const connection = await openConnection(address);
	t.match(await exchange(connection, '1'), {body: 'hel', end: 'broken'});
});

await t.test('a late response to an earlier request is skipped', async t => {
	const address = await startBackend(t, (socket, request) => {
		const late = 'HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 5\r\n\r\nfirst';
		socket.write(request === 1 ? late : `${late}HTTP/1.1 200 OK\r\nAttempt: 2\r\nContent-Length: 6\r\n\r\nsecond`);
	});
	const connection = await openConnection(address);
	t.match(await exchange(connection, '1'), {body: 'first', end: 'whole'});
	t.match(await exchange(connection, '2'), {statuses: [200], body: 'second', end: 'whole'});
	connection.destroy();
});

await t.test('bytes on an idle connection close it', async t => {
	const address = await startBackend(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
		setTimeout(() => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno');
		}, 20);
	});
	const connection = await openConnection(address);
	t.match(await exchange(connection, '1'), {body: 'ok', end: 'whole'});
	t.equal(connection.isReusable, true);
	while (connection.isReusable) {
		await sleep(5);
	}
});

// Guards against a pooled connection that reads nothing any more, since a slow caller had it paused when the last response ended.
await t.test('a connection that was paused at the end of a response reads the next one', async t => {
	const address = await startBackend(t, (socket, request) => {
		socket.write(`HTTP/1.1 200 OK\r\nAttempt: ${request}\r\nContent-Length: 5\r\n\r\nhello`);
	});
	const connection = await openConnection(address);
	const first = new Promise<void>(resolve => {
		connection.send(head, undefined, {
			attemptId: '1',
			isHead: false,
			onHead() {
				// Only the body matters here.
			},
			onBody() {
				connection.pause();
			},
			onEnd() {
				resolve();
			},
			onFailed() {
				t.fail('the response is whole');
			},
		});
	});
	await first;
	t.ok(connection.isReusable);
	const second = exchange(connection, '2');
	const giveUp = new AbortController();
	const silent = (async () => {
		for (let turn = 0; turn < maxTurns && !giveUp.signal.aborted; turn += 1) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		return {end: 'silent'};
	})();
	t.match(await Promise.race([second, silent]), {body: 'hello', end: 'whole'});
	giveUp.abort();
	connection.destroy();
});

// Guards against the late second copy of an answer reaching the next caller on the connection, where that caller sent no identifier.
await t.test('a late response to an earlier request is skipped for a request without an identifier', async t => {
	const address = await startBackend(t, (socket, request) => {
		const late = 'HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 5\r\n\r\nfirst';
		socket.write(request === 1 ? late : `${late}HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond`);
	});
	const connection = await openConnection(address);
	t.match(await exchange(connection, '1'), {body: 'first', end: 'whole'});
	t.match(await exchange(connection, undefined), {statuses: [200], body: 'second', end: 'whole'});
	connection.destroy();
});
