/** Memory that a connection retains, and the calls in progress when a connection is lost. */
import {setTimeout as delay} from 'node:timers/promises';
import v8 from 'node:v8';
import vm from 'node:vm';
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {codes} from '@mulberrypitch/errors/catalogue';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {TcpTransport} from '../tcp-transport.js';

const timeoutMs = 2000;
const callCount = 20;
const settleMs = 50;
const anything = {parse: (value: unknown) => value};

function createTransport(t: Test): TcpTransport {
	const transport = new TcpTransport({
		name: 'test', listen: {host: '127.0.0.1', port: 0}, secret: 'secret', logger: new SilentLogger(),
	});
	t.teardown(async () => transport.dispose());
	return transport;
}

async function callRepeatedly(client: TcpTransport, address: string): Promise<Array<WeakRef<Record<string, unknown>>>> {
	const replies: Array<WeakRef<Record<string, unknown>>> = [];
	for (let index = 0; index < callCount; index += 1) {
		replies.push(new WeakRef(await client.call<Record<string, unknown>>(address, 'list', {}, {timeoutMs})));
	}

	return replies;
}

await t.test('an open connection does not retain replies in memory', async t => {
	v8.setFlagsFromString('--expose-gc');
	const collect = assumeType<() => void>(vm.runInNewContext('gc'));
	const server = createTransport(t);
	server.handle('list', anything, async () => ({items: Array.from({length: 1000}, (_, index) => index)}));
	const address = `127.0.0.1:${await server.listen()}`;
	const client = createTransport(t);
	const replies = await callRepeatedly(client, address);
	await delay(settleMs);
	collect();
	const retainedCount = replies.filter(reply => reply.deref() !== undefined).length;
	t.ok(retainedCount <= 1, `${retainedCount} of ${callCount} replies are retained`);
});

await t.test('calls in progress fail when the peer stops, and the next call opens a new connection', async t => {
	const server = createTransport(t);
	server.handle('list', anything, async () => {
		await delay(timeoutMs);
	});
	const port = await server.listen();
	const client = createTransport(t);
	const calls = [1, 2].map(async () => client.call(`127.0.0.1:${port}`, 'list', {}, {timeoutMs}));
	const failures = Promise.allSettled(calls);
	await delay(settleMs);
	await server.dispose();
	for (const result of await failures) {
		t.match(result, {status: 'rejected', reason: {code: codes.peerUnreachable}});
	}

	const restarted = new TcpTransport({
		name: 'again', listen: {host: '127.0.0.1', port}, secret: 'secret', logger: new SilentLogger(),
	});
	t.teardown(async () => restarted.dispose());
	restarted.handle('list', anything, async () => 'back');
	await restarted.listen();
	t.equal(await client.call(`127.0.0.1:${port}`, 'list', {}, {timeoutMs}), 'back');
});
