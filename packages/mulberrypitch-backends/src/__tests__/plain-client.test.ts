/** Tests which answers of plain services count as complete, with services that frame them in different ways. */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {PlainClient} from '../plain-client.js';
import type {PlainAnswer} from '../types.js';

const host = '127.0.0.1';

/** Calls a service once. The service sends the response and then ends its connection, or resets it. */
async function call(t: Test, response: string, isReset = false): Promise<PlainAnswer> {
	const server = net.createServer(socket => {
		socket.on('error', () => {
			// The tests reset connections on purpose.
		});
		socket.once('data', () => {
			if (isReset) {
				socket.write(response);
				socket.resetAndDestroy();
			} else {
				socket.end(response);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	const client = new PlainClient();
	t.teardown(async () => {
		server.close();
		await client.dispose();
	});
	return client.run({
		requestId: 'r',
		attempt: 1,
		service: 'bookings',
		address: `http://${host}:${assumeType<net.AddressInfo>(server.address()).port}`,
		body: {
			method: 'POST', path: '/', contentType: 'application/json', text: '{}',
		},
		tokens: [],
		signal: new AbortController().signal,
	});
}

// Guards against an answer that its service broke off and that is recorded as complete: for the HTTP client a reset ends it like a close.
await t.test('an answer that ends with its connection is refused, since a reset may have cut it', async t => {
	for (const header of ['', 'Transfer-Encoding: identity\r\n', 'Transfer-Encoding: gzip\r\n', 'Transfer-Encoding: chunked, gzip\r\n']) {
		for (const isReset of [false, true]) {
			const answer = call(t, `HTTP/1.1 200 OK\r\n${header}Content-Type: application/json\r\n\r\n{"a"`, isReset);
			await t.rejects(answer, {code: 'backend_failed', details: {isNotSent: false}}, `${header} ${isReset}`);
		}
	}
});

// Guards against a caller that gets as an answer what is none by the protocol.
await t.test('an answer with a status that HTTP does not define is refused', async t => {
	for (const status of ['000', '099', '600', '999']) {
		await t.rejects(call(t, `HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\n{}`), {code: 'backend_failed', details: {isNotSent: false}}, status);
	}
});

await t.test('an answer with a length, with chunks, or without a body is complete', async t => {
	t.match(await call(t, 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'), {status: 200, body: '{}'});
	t.match(await call(t, 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n'), {status: 200, body: '{}'});
	t.match(await call(t, 'HTTP/1.1 204 No Content\r\n\r\n'), {status: 204, body: ''});
});

// Guards against a limit in bytes that lets texts pass whose characters take several bytes.
await t.test('an answer above the limit in bytes is refused, however few characters it has', async t => {
	const body = 'ä'.repeat(600 * 1024);
	const response = `HTTP/1.1 200 OK\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
	await t.rejects(call(t, response), {code: 'backend_failed'});
});
