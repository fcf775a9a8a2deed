/** Tests that a command ends, whatever the host that it calls sends. */
import t from 'tap';
import {codes} from '@mulberrypitch/errors/catalogue';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {hostileResponses, HostileServer} from '@mulberrypitch/fakes/hostile-server';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {callOperatorApi} from '../operator-client.js';

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
