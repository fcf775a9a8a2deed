/** Tests the limits on the connections of an HTTP server and on the requests that wait on them. */
import {once} from 'node:events';
import http, {type ServerResponse} from 'node:http';
import net from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {ClientConnections} from '../client-connections.js';
import {defaultClientLimits, type ClientLimits} from '../client-limits.js';

const host = '127.0.0.1';
const requestText = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

/** Starts a server that answers nothing by itself, and returns the responses that it owes. */
async function startServer(t: Test, limits: Partial<ClientLimits>) {
	const responses: ServerResponse[] = [];
	const connections = new ClientConnections({...defaultClientLimits, ...limits});
	const server = http.createServer({requireHostHeader: false}, connections.limit((_, response) => {
		responses.push(response);
	}));
	connections.watch(server);
	server.listen(0, host);
	await once(server, 'listening');
	t.teardown(() => {
		connections.closeAll();
		server.close();
	});
	const {port} = assumeType<net.AddressInfo>(server.address());
	const connect = async (text = '') => {
		const client = net.connect(port, host);
		const received = {text: ''};
		client.on('data', (data: Uint8Array) => {
			received.text += new TextDecoder().decode(data);
		});
		client.on('error', () => {
			// The server resets the connection.
		});
		t.teardown(() => {
			client.destroy();
		});
		await once(client, 'connect');
		client.write(text);
		return {client, received};
	};

	return {connections, responses, connect};
}

/** Resolves once a condition holds; the test's time limit ends it otherwise. */
async function waitFor(isReached: () => boolean): Promise<void> {
	while (!isReached()) {
		await nextTurn();
	}
}

// Guards against a client that fills the memory with requests that it sends ahead on one connection.
await t.test('a connection with too many requests ahead is closed, and another one is served', async t => {
	const {connections, responses, connect} = await startServer(t, {maxRequestsPerConnection: 3});
	const {client} = await connect(requestText.repeat(2000));
	await waitFor(() => client.closed);
	t.equal(responses.length, 3);
	const sound = await connect(requestText.repeat(3));
	await waitFor(() => responses.length === 6);
	for (const response of responses.slice(3)) {
		response.end('x');
	}

	await waitFor(() => sound.received.text.split('200 OK').length === 4);
	t.equal(connections.size, 1);
});

// Guards against clients that fill the memory with a few requests ahead on each of many connections.
await t.test('where there are too many requests, the connection with most of them is closed', async t => {
	const {responses, connect} = await startServer(t, {maxRequests: 4});
	const busiest = await connect(requestText.repeat(3));
	await waitFor(() => responses.length === 3);
	const others = [await connect(requestText), await connect(requestText)];
	await waitFor(() => busiest.client.closed);
	await waitFor(() => responses.length === 5);
	t.notOk(others.some(({client}) => client.closed));
});

// Guards against clients that take all connections and send nothing, so that others are not accepted.
await t.test('where there are too many connections, the one that has been idle for longest makes room', async t => {
	const {connections, responses, connect} = await startServer(t, {maxConnections: 3});
	const busy = await connect(requestText);
	await waitFor(() => responses.length === 1);
	const first = await connect(requestText);
	await waitFor(() => responses.length === 2);
	const second = await connect();
	await waitFor(() => connections.size === 3);
	responses[1]!.end();
	await waitFor(() => first.received.text !== '');
	await connect();
	await waitFor(() => second.client.closed);
	await connect();
	await waitFor(() => first.client.closed);
	t.notOk(busy.client.closed, 'one with a request stays');
	t.equal(connections.size, 3);
});

// Guards against requests without a host that the HTTP server answers by itself, however many are sent ahead.
await t.test('a request without a host is answered with 400, and the connection is closed', async t => {
	const {responses, connect} = await startServer(t, {});
	const {client, received} = await connect('GET / HTTP/1.1\r\n\r\n'.repeat(10));
	await waitFor(() => client.closed);
	t.match(received.text, /^HTTP\/1\.1 400 /v);
	t.equal(responses.length, 0);
});
