/** Tests which answers of plain services count as complete, with services that frame them in different ways. */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {PlainClient} from '../plain-client.js';
import type {PlainAnswer} from '../types.js';

const host = '127.0.0.1';

/** What a call has beside the defaults. */
type CallParts = {
	/** Whether the service resets its connection in place of ending it. */
	readonly isReset?: boolean;
	readonly path?: string;
	/** Path in the address of the service. */
	readonly basePath?: string;
	/** Receives the first line of the request. */
	readonly onRequest?: (line: string) => void;
};

/** Calls a service once. The service sends the response and then ends its connection, or resets it. */
async function call(t: Test, response: string, {isReset = false, path = '/', basePath = '', onRequest}: CallParts = {}): Promise<PlainAnswer> {
	const server = net.createServer(socket => {
		socket.on('error', () => {
			// The tests reset connections on purpose.
		});
		socket.once('data', data => {
			onRequest?.(data.toString('latin1').split('\r\n', 1)[0]!);
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
		address: `http://${host}:${assumeType<net.AddressInfo>(server.address()).port}${basePath}`,
		body: {
			method: 'POST', path, contentType: 'application/json', text: '{}',
		},
		tokens: [],
		signal: new AbortController().signal,
	});
}

// Guards against an answer that its service broke off and that is recorded as complete: for the HTTP client a reset ends it like a close.
await t.test('an answer that ends with its connection is refused, since a reset may have cut it', async t => {
	for (const header of ['', 'Transfer-Encoding: identity\r\n', 'Transfer-Encoding: gzip\r\n', 'Transfer-Encoding: chunked, gzip\r\n']) {
		for (const isReset of [false, true]) {
			const answer = call(t, `HTTP/1.1 200 OK\r\n${header}Content-Type: application/json\r\n\r\n{"a"`, {isReset});
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

// Guards against a call that another path of the service answers than the one that the caller named and the account records.
await t.test('a service gets the path of the call unchanged', async t => {
	const received: string[] = [];
	const send = async (path: string, basePath = '') => call(t, 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n', {
		path, basePath, onRequest(line) {
			received.push(line);
		},
	});
	const paths = ['/', '/a/../b', '/a/%2e%2E/b', '/./a', String.raw`/a\b`, '/a//b?q=../c', '/%c5%82', '/a?q=%5C'];
	for (const path of paths) {
		await send(path);
	}

	await send('/a', '/base');
	t.same(received, [...paths, '/base/a'].map(path => `POST ${path} HTTP/1.1`));
});

// Guards against an answer that its caller can't get, since its media type has letters beyond ASCII.
await t.test('a media type is kept byte for byte', async t => {
	const {contentType} = await call(t, 'HTTP/1.1 200 OK\r\nContent-Type: text/plain; name=ł\r\nContent-Length: 0\r\n\r\n');
	t.equal(contentType, 'text/plain; name=\u00C5\u0082');
});
