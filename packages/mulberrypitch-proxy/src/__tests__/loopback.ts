/** Servers on loopback that end with their test, and connections to them. For tests. */
import net from 'node:net';
import type {Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {BackendConnection} from '../backend-connection.js';

const host = '127.0.0.1';

/**
Makes a server listen until the end of the test, and resolves with the port.

@example
```
const port = await listen(t, http.createServer());
```
*/
export async function listen(t: Test, server: net.Server): Promise<number> {
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	t.teardown(() => {
		server.close();
	});
	return assumeType<net.AddressInfo>(server.address()).port;
}

/**
Starts a back end that calls `respond` with the number of each request on a connection, from one, and resolves with its address.

@example
```
const address = await startBackend(t, socket => socket.end('HTTP/1.1 200 OK\r\n\r\nhello'));
```
*/
export async function startBackend(t: Test, respond: (socket: net.Socket, count: number) => unknown): Promise<string> {
	const port = await listen(t, net.createServer(socket => {
		let count = 0;
		socket.setNoDelay(true);
		socket.on('error', () => {
			// The tests reset connections on purpose, and needless bytes close them.
		});
		socket.on('data', () => {
			count += 1;
			respond(socket, count);
		});
	}));
	return `${host}:${port}`;
}

/**
Opens a connection that belongs to no pool and whose responses state nothing about the back end.

@example
```
const connection = await openConnection(address);
```
*/
export async function openConnection(address: string): Promise<BackendConnection> {
	return BackendConnection.open({
		address,
		connectTimeoutMs: 1000,
		attemptHeader: 'attempt',
		onClosed() {
			// There is no pool.
		},
		onHead() {
			// There are no statements.
		},
		onIdle() {
			// There is no pool.
		},
		now: () => performance.now(),
	});
}
