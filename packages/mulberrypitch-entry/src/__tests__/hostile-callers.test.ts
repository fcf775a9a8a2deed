/** Tests that no caller, back end or operator of a host can fill it or end its process. */
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {createHostileRequests, HostileCaller} from '@mulberrypitch/fakes/hostile-caller';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {EntryServer, type EntryServerOptions} from '../entry-server.js';

const host = '127.0.0.1';
const token = 'token';
/** Virtual time in milliseconds for which a hostile request goes on. */
const requestMs = 5000;
/** A call that this host refuses before it reads the body, since it has no configuration. */
const completions = 'POST /v1/chat/completions';

async function startServer(t: Test): Promise<{readonly clock: VirtualClock; readonly port: number}> {
	const clock = new VirtualClock();
	const refuse = async () => {
		t.fail('A hostile request was taken for a sound one.');
	};

	const server = new EntryServer(assumeType<EntryServerOptions>({
		settings: {
			name: 'host-1', httpListen: `${host}:0`, operatorToken: token, backendToken: token, entriesTtlSeconds: 1,
		},
		control: {
			sessions: [], backends: [], isFresh: () => true, propose: refuse,
		},
		requests: {submit: refuse},
		backends: {announce: refuse},
		metrics: new MetricsRegistry(),
		clock,
		random: new SeededRandom(1),
		logger: new SilentLogger(),
		getConfiguration: () => undefined,
	}));
	const port = await server.listen();
	t.teardown(async () => server.dispose());
	return {clock, port};
}

/**
Whether only the timers of Node.js end a request, which virtual time does not advance. The rest of a body is read and dropped when its
request was refused for another reason, so that the caller gets the reply.
*/
function isTimedByNode(name: string, target: string): boolean {
	return /^(?:trickled|silent)/v.test(name) || name === 'endless in a chunk size' || (target === completions && name === 'endless in its body');
}

// Guards against a host that a peer fills, or keeps reading without end, with a request that does not end or is no request.
for (const target of ['POST /v1/announce', 'POST /v1/admin/configuration', completions]) {
	for (const [name, request] of Object.entries(createHostileRequests(target, `Authorization: Bearer ${token}\r\n`))) {
		await t.test(`${target} that is ${name} is refused, and others are answered meanwhile`, async t => {
			const {clock, port} = await startServer(t);
			const caller = new HostileCaller(request, port);
			t.teardown(() => {
				caller.dispose();
			});
			await caller.sendUntilClosed(clock, 500);
			const response = await fetch(`http://${host}:${port}/healthz`);
			t.equal(response.status, 200);
			t.equal(await caller.sendUntilClosed(clock, requestMs) || isTimedByNode(name, target), true);
			t.notMatch(caller.received, /^HTTP\/1\.1 2/v);
		});
	}
}
