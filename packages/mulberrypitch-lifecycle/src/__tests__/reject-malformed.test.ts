/** Tests the replies to bytes that are no HTTP request. */
import http, {type ServerResponse} from 'node:http';
import net from 'node:net';
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {rejectMalformed} from '../reject-malformed.js';

const host = '127.0.0.1';
const sound = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
const malformed = '\u0001 hello\r\n\r\n';

/** Sends texts one after the other, each once the server has handled the one before. Resolves with all that the server sent. */
async function exchange(t: Test, texts: readonly string[], respond: (response: ServerResponse) => void): Promise<string> {
	const server = http.createServer();
	server.on('clientError', rejectMalformed);
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	t.teardown(() => {
		server.close();
	});
	const socket = net.connect(assumeType<net.AddressInfo>(server.address()).port, host);
	let received = '';
	socket.setEncoding('latin1').on('data', (data: string) => {
		received += data;
	});
	socket.on('error', () => {
		// The server may reset the connection.
	});
	for (const [index, text] of texts.entries()) {
		const handled = new Promise<void>(resolve => {
			server.once('request', (_request, response) => {
				respond(response);
				resolve();
			});
			socket.once('close', resolve);
		});
		socket.write(text);
		await handled;
		t.equal(socket.closed, index === texts.length - 1);
	}

	return received;
}

await t.test('bytes that are no request are answered, and the connection is closed', async t => {
	t.match(await exchange(t, [malformed], () => undefined), /^HTTP\/1\.1 400 Bad Request\r\nConnection: close/v);
});

await t.test('a head that is too long is answered with its own status', async t => {
	t.match(await exchange(t, [`GET / HTTP/1.1\r\nA: ${'a'.repeat(100_000)}`], () => undefined), /^HTTP\/1\.1 431 /v);
});

// Guards against a reply in the middle of another response, whose caller takes it for a part of its own.
await t.test('bytes that are no request add nothing to a response in progress', async t => {
	const received = await exchange(t, [sound, malformed], response => {
		response.writeHead(200, {'content-length': '100'});
		response.write('abc');
	});
	t.ok(received === '' || received.endsWith('\r\n\r\nabc'), received);
});

// Guards against a reply that the caller takes for that to its earlier request, which is still running.
await t.test('bytes that are no request are not answered in place of a request that is running', async t => {
	t.equal(await exchange(t, [sound, malformed], () => undefined), '');
});
