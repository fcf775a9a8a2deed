/** Tests that a command ends, whatever the host that it calls sends. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import path from 'node:path';
import t from 'tap';
import {codes} from '@mulberrypitch/errors/catalogue';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {hostileResponses, HostileServer} from '@mulberrypitch/fakes/hostile-server';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {listenOn} from '@mulberrypitch/lifecycle/listen';
import {callOperatorApi} from '../operator-client.js';
import {parseOperatorEndpoint} from '../options.js';

/** Time in milliseconds within which a call must have ended. */
const callMs = 30_000;

// Guards against a command that never returns, or fills the operator's machine, since the reply of a host does not end.
for (const [name, response] of Object.entries(hostileResponses)) {
	await t.test(`a command whose host sends a reply that is ${name} fails in time`, async t => {
		const clock = new VirtualClock();
		const server = new HostileServer(response);
		t.teardown(() => {
			server.dispose();
		});
		const endpoint = {host: `http://${await server.listen()}`, token: 't', clock};
		const result = {code: undefined as string | undefined};
		void (async () => {
			try {
				await callOperatorApi(endpoint, 'GET', '/v1/admin/status');
			} catch (error) {
				result.code = error instanceof CodedError ? error.code : String(error);
			}
		})();

		await server.sendUntil(clock, () => result.code !== undefined, callMs);
		t.equal(result.code, name === 'endless in its body' ? codes.protocol : codes.peerUnreachable);
	});
}

// Guards against a command that reports a fault of its own when a host sends an error that is not one of the system's.
await t.test('an error reply that is not one of the system\'s is reported as a violation of the protocol', async t => {
	for (const body of ['null', '5', '{}', '{"error":null}', '{"error":"no"}', '{"error":{"code":5}}']) {
		const server = new HostileServer({start: `HTTP/1.1 500 Internal Server Error\r\nContent-Length: ${body.length}\r\n\r\n${body}`});
		t.teardown(() => {
			server.dispose();
		});
		await t.rejects(callOperatorApi({host: `http://${await server.listen()}`, token: 't'}, 'GET', '/v1/admin/status'), {code: codes.protocol}, body);
	}
});

// Guards against a command that reports a sound host as unreachable, since the token has letters beyond Latin-1.
await t.test('a token is sent in UTF-8', async t => {
	const received: Array<string | undefined> = [];
	const server = http.createServer((request, response) => {
		received.push(request.headers.authorization);
		response.end('{}');
	});
	const port = await listenOn(server, '127.0.0.1', 0);
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	await callOperatorApi({host: `http://127.0.0.1:${port}`, token: 'klucz-ł'}, 'GET', '/v1/admin/status');
	t.same(received, [`Bearer ${Buffer.from('klucz-ł').toString('latin1')}`]);
});

// Guards against a command that reports a sound host as unreachable, since its token has several lines.
await t.test('a token that no header can carry is refused with its file', async t => {
	const folder = t.testdir({sound: 'klucz-ł\n', lines: 'a\nb\n', empty: '\n'});
	const parse = (name: string) => parseOperatorEndpoint({host: 'http://127.0.0.1', tokenFile: path.join(folder, name)});
	t.equal(parse('sound').token, 'klucz-ł');
	for (const name of ['lines', 'empty']) {
		t.throws(() => parse(name), {code: codes.settings, message: new RegExp(name, 'v')});
	}
});
