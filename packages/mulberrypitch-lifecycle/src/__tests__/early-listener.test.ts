/** Tests that callers who connect while a program loads are served by the server that it creates. */
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {EarlyListener} from '../early-listener.js';
import {listenOn} from '../listen.js';

const host = '127.0.0.1';

async function getFreePort(): Promise<number> {
	const server = net.createServer();
	const port = await listenOn(server, host, 0);
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

async function get(port: number, path: string): Promise<string> {
	const response = await fetch(`http://${host}:${port}/${path}`);
	return response.text();
}

// Guards against refused connections, and lost bytes, of callers who return before a restarted entry has loaded its program.
await t.test('a request that was sent before the server existed is answered, and so are later ones', async t => {
	const port = await getFreePort();
	const listener = new EarlyListener();
	await listener.listen(host, port);
	const early = get(port, 'early');
	while (listener.waiting === 0) {
		await nextTurn();
	}

	const server = http.createServer((request, response) => {
		response.end(request.url);
	});
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	t.equal(await listener.handOver(server), port);
	t.equal(await early, '/early');
	t.equal(await get(port, 'late'), '/late');
	t.equal(listener.waiting, 0);
});

// Guards against a reset connection whose error fails the hand-over, or is held by the server for good.
await t.test('a caller who has left is noticed only after the hand-over, which does not fail for it', async t => {
	const port = await getFreePort();
	const listener = new EarlyListener();
	await listener.listen(host, port);
	const socket = net.connect(port, host);
	while (listener.waiting === 0) {
		await nextTurn();
	}

	socket.resetAndDestroy();
	await once(socket, 'close');
	t.equal(listener.waiting, 1, 'nothing is read of a connection that waits, not even its end');
	const requests: string[] = [];
	const server = http.createServer((request, response) => {
		requests.push(request.url!);
		response.end(request.url);
	});
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	const left = once(server, 'connection');
	await listener.handOver(server);
	const [handedOver] = assumeType<[net.Socket]>(await left);
	while (!handedOver.destroyed) {
		await nextTurn();
	}

	t.equal(await get(port, 'late'), '/late');
	t.strictSame(requests, ['/late']);
});

await t.test('an address in use is an error', async t => {
	const other = net.createServer();
	const port = await listenOn(other, host, 0);
	t.teardown(() => {
		other.close();
	});
	await t.rejects(new EarlyListener().listen(host, port), {code: 'EADDRINUSE'});
});
