/** Tests the HTTP server of a host that stops, over the loopback address. */
import {once} from 'node:events';
import http, {type IncomingMessage} from 'node:http';
import t from 'tap';
import {hostDefaults} from '@mulberrypitch/config/defaults';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {EntryServer, type EntryServerOptions} from '../entry-server.js';

function createServer(): EntryServer {
	return new EntryServer(assumeType<EntryServerOptions>({
		settings: {name: 'host-1', httpListen: '127.0.0.1:0', entriesTtlSeconds: Number(hostDefaults.entriesTtlSeconds)},
		control: {sessions: [], isFresh: () => true},
		requests: {},
		metrics: new MetricsRegistry(),
		clock: new VirtualClock(),
		random: new SeededRandom(1),
		logger: new SilentLogger(),
		isOverloaded: () => false,
		getDemand: () => 0,
		getConfiguration: () => undefined,
	}));
}

async function get(agent: http.Agent, port: number, path: string): Promise<IncomingMessage> {
	const request = http.get({
		host: '127.0.0.1', port, path, agent,
	});
	const [response] = assumeType<[IncomingMessage]>(await once(request, 'response'));
	response.resume();
	await once(response, 'end');
	return response;
}

// Guards against callers who keep their connection to a host that stops, and send on it while the host closes it.
await t.test('every reply of a host that stops asks the caller to close the connection', async t => {
	const server = createServer();
	const port = await server.listen();
	const agent = new http.Agent({keepAlive: true});
	t.teardown(async () => {
		agent.destroy();
		await server.dispose();
	});
	for (const isDraining of [false, true]) {
		if (isDraining) {
			server.drain();
		}

		for (const path of ['/healthz', '/v1/entries', '/v1/requests/1', '/missing']) {
			const {headers} = await get(agent, port, path);
			t.equal(headers.connection, isDraining ? 'close' : 'keep-alive', `${path}, stopping: ${isDraining}`);
		}
	}
});
