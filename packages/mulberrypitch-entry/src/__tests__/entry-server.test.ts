/** Tests the HTTP server of a host that stops, over the loopback address. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import http, {type IncomingMessage} from 'node:http';
import t, {type Test} from 'tap';
import {hostDefaults} from '@mulberrypitch/config/defaults';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {DrainingError} from '@mulberrypitch/errors/catalogue';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {EntryServer, type EntryServerOptions} from '../entry-server.js';

const key = 'klucz-ł';
const otherHost = {
	node: 'host-2', zone: 'z', isDraining: false, publicAddress: 'http://łódź.example:8080',
};

function createServer(options: Partial<Record<keyof EntryServerOptions, unknown>> = {}): EntryServer {
	return new EntryServer(assumeType<EntryServerOptions>({
		settings: {
			name: 'host-1', httpListen: '127.0.0.1:0', entriesTtlSeconds: Number(hostDefaults.entriesTtlSeconds), operatorToken: key, backendToken: 'b',
		},
		control: {
			sessions: [], isFresh: () => true, async callLeader() {
				return {};
			},
		},
		requests: {},
		metrics: new MetricsRegistry(),
		clock: new VirtualClock(),
		random: new SeededRandom(1),
		logger: new SilentLogger(),
		isOverloaded: () => false,
		getDemand: () => 0,
		getConfiguration: () => undefined,
		...options,
	}));
}

async function get(agent: http.Agent, port: number, path: string, headers: Readonly<Record<string, string>> = {}): Promise<IncomingMessage> {
	const request = http.get({
		host: '127.0.0.1', port, path, agent, headers,
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

/** Starts a server, and returns a function that sends requests to it, with a key in the bytes of an encoding. */
async function startServer(t: Test, options: Partial<Record<keyof EntryServerOptions, unknown>>) {
	const server = createServer(options);
	const port = await server.listen();
	const agent = new http.Agent({keepAlive: true});
	t.teardown(async () => {
		agent.destroy();
		await server.dispose();
	});
	return async (path: string, encoding: 'utf8' | 'latin1' = 'utf8', sentKey = key) =>
		get(agent, port, path, {authorization: `Bearer ${Buffer.from(sentKey, encoding).toString('latin1')}`});
}

/** Returns a configuration with a workspace that has a key, and one service. */
function createConfiguration(workspaceKey: string): unknown {
	const keyDigest = createHash('sha256').update(workspaceKey).digest('hex');
	return {workspaces: [{name: 'w', keyDigest, services: []}], services: [{name: 's', kind: 'plain', idempotentPaths: []}]};
}

// Guards against a host that ends, with all its requests, when it redirects a caller to a host whose address has letters beyond Latin-1.
await t.test('a host that stops redirects callers to a host whose address has any letters', async t => {
	const send = await startServer(t, {
		control: {sessions: [otherHost], isFresh: () => true},
		getConfiguration() {
			throw new DrainingError();
		},
	});
	const {statusCode, headers} = await send('/v1/services/s/%c5%82?q=1');
	t.equal(statusCode, 307);
	t.equal(headers.location, 'http://xn--d-uga0v4h.example:8080/v1/services/s/%c5%82?q=1');
});

// Guards against a caller or an operator who is refused with a sound key, since it has letters beyond ASCII.
await t.test('keys and tokens are taken in UTF-8, and in Latin-1 if it has all the letters', async t => {
	for (const [name, encoding, isKnown] of [[key, 'utf8', true], [key, 'latin1', false], ['clé', 'utf8', true], ['clé', 'latin1', true], ['plain', 'utf8', true]] as const) {
		const send = await startServer(t, {getConfiguration: () => createConfiguration(name)});
		const {statusCode} = await send('/v1/services/none/a', encoding, name);
		t.equal(statusCode, isKnown ? 404 : 401, `${name} in ${encoding}`);
	}

	const send = await startServer(t, {});
	const {statusCode} = await send('/v1/admin/configuration');
	t.equal(statusCode, 200);
	const {statusCode: refused} = await send('/v1/admin/configuration', 'latin1');
	t.equal(refused, 401);
});

// Guards against a caller whose mistake is reported as a fault of the host.
await t.test('a path whose service can\'t be decoded is a mistake of the caller', async t => {
	const send = await startServer(t, {getConfiguration: () => createConfiguration(key)});
	for (const path of ['/v1/services/%zz/a', '/v1/services/%C5/a', '/v1/services/%']) {
		const {statusCode} = await send(path);
		t.equal(statusCode, 400, path);
	}
});
