/** Tests requests that arrive before a restarted entry has received its configuration, since callers reconnect that early. */
import {once} from 'node:events';
import http from 'node:http';
import t, {type Test} from 'tap';
import {defaultClientLimits} from '@mulberrypitch/lifecycle/client-limits';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {RouteTable} from '@mulberrypitch/serving/route-table';
import {ProxyServer} from '../proxy-server.js';
import type {ProxyServerOptions} from '../proxy-server-options.js';

const host = '127.0.0.1';
const maxStartupWaitMs = 800;

/** Returns a table without routes. */
function createTable(): RouteTable {
	return new RouteTable({
		version: 1, routes: [], services: [], workspaces: [], limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	});
}

/** Starts a server without a configuration and sends one request to it. */
async function startServer(t: Test) {
	const clock = new VirtualClock();
	let table: RouteTable | undefined;
	const server = new ProxyServer(assumeType<ProxyServerOptions>({
		listen: `${host}:0`,
		names: {attemptId: 'x-attempt'},
		clientLimits: defaultClientLimits,
		clock,
		random: new SeededRandom(1),
		logger: {
			log() {
				// The tests read no log.
			},
		},
		metrics: new MetricsRegistry(),
		getViewAgeMs: () => 0,
		getTable: () => table,
	}));
	const port = await server.listen();
	t.teardown(async () => server.dispose());
	const state = {isAnswered: false};
	const status = new Promise<number>((resolve, reject) => {
		http.get({host, port, agent: false}, response => {
			response.resume();
			state.isAnswered = true;
			resolve(response.statusCode!);
		}).once('error', reject);
	});
	while (server.running === 0 && !state.isAnswered) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	const configure = () => {
		table = createTable();
		server.refresh();
	};

	return {clock, status, configure};
}

await t.test('a request that arrives just before the first configuration is answered by it', async t => {
	const {status, configure} = await startServer(t);
	configure();
	t.equal(await status, 404);
});

await t.test('a request is refused at once when an entry still has no configuration some time after its start', async t => {
	const {clock, status} = await startServer(t);
	await clock.runFor(maxStartupWaitMs);
	t.equal(await status, 503);
});

// Guards against a refusal that names another request than the caller's, which the caller then doesn't take for the answer.
await t.test('a reply of the entry repeats the identifier of the attempt byte for byte', async t => {
	const server = new ProxyServer(assumeType<ProxyServerOptions>({
		listen: `${host}:0`,
		names: {attemptId: 'x-attempt'},
		clientLimits: defaultClientLimits,
		clock: new VirtualClock(),
		random: new SeededRandom(1),
		logger: new SilentLogger(),
		metrics: new MetricsRegistry(),
		getViewAgeMs: () => 0,
		getTable: () => createTable(),
	}));
	const port = await server.listen();
	t.teardown(async () => server.dispose());
	for (const id of ['a-1', 'a-\u00C5\u0082', 'a-\u00FC']) {
		const request = http.get({
			host, port, agent: false, headers: {'x-attempt': id},
		});
		const [response] = assumeType<[http.IncomingMessage]>(await once(request, 'response'));
		response.resume();
		t.equal(response.statusCode, 404);
		t.equal(response.headers['x-attempt'], id);
	}
});
