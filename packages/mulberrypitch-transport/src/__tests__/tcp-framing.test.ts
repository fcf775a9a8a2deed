/** Behaviour of a TCP transport towards peers that violate the protocol. */
import {once} from 'node:events';
import net from 'node:net';
import {createHmac} from 'node:crypto';
import fc from 'fast-check';
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {ProtocolError} from '@mulberrypitch/errors/catalogue';
import {events, type CataloguedEvent} from '@mulberrypitch/logger/events';
import {TcpTransport} from '../tcp-transport.js';

const secret = 'shared';
const host = '127.0.0.1';
const longFrameBytes = 9 * 1024 * 1024;
const callTimeoutMs = 2000;
const fuzzRuns = 40;

class CountingLogger {
	readonly logged: CataloguedEvent[] = [];

	log(event: CataloguedEvent): void {
		this.logged.push(event);
	}
}

const numberSchema = {
	parse(value: unknown): {number: number} {
		const parameters = assumeType<{number?: unknown} | undefined>(value);
		if (typeof parameters?.number !== 'number') {
			throw new ProtocolError('No number.');
		}

		return {number: parameters.number};
	},
};

async function startServer(t: {teardown: (release: () => Promise<void>) => void}) {
	const logger = new CountingLogger();
	const server = new TcpTransport({
		name: 'server', listen: {host, port: 0}, secret, logger,
	});
	server.handle('double', numberSchema, async ({number}) => number * 2);
	const port = await server.listen();
	const client = new TcpTransport({
		name: 'client', listen: {host, port: 0}, secret, logger,
	});
	t.teardown(async () => {
		await client.dispose();
		await server.dispose();
	});
	const double = async (number: unknown) => client.call<number>(`${host}:${port}`, 'double', {number}, {timeoutMs: callTimeoutMs});
	return {
		logger, port, client, double,
	};
}

/** Opens a connection and completes the handshake. The caller writes raw lines to the socket. */
async function openAuthenticated(port: number): Promise<net.Socket> {
	const socket = net.connect({host, port});
	socket.on('error', () => {
		// The server may reset the connection.
	});
	socket.write(`${JSON.stringify({name: 'raw', nonce: 'n'})}\n`);
	const [reply] = assumeType<[{toString(): string}]>(await once(socket, 'data'));
	const {nonce} = assumeType<{nonce: string}>(JSON.parse(reply.toString()));
	socket.write(`${JSON.stringify({proof: createHmac('sha256', secret).update(`client:n:${nonce}`).digest('hex')})}\n`);
	return socket;
}

async function waitClosed(socket: net.Socket): Promise<void> {
	socket.resume();
	if (!socket.closed) {
		await new Promise(resolve => {
			socket.once('close', resolve);
		});
	}
}

await t.test('a frame that is too long or not JSON closes its own connection and no other', async t => {
	const {logger, port, double} = await startServer(t);
	t.equal(await double(1), 2);
	for (const frame of ['x'.repeat(longFrameBytes), 'not JSON\n']) {
		const socket = await openAuthenticated(port);
		socket.write(frame);
		await waitClosed(socket);
	}

	t.equal(logger.logged.filter(event => event === events.peerProtocol).length, 2);
	t.equal(await double(2), 4);
});

await t.test('a bad handshake is refused and logged', async t => {
	const {logger, port, double} = await startServer(t);
	for (const line of ['null', '{}', '[]', 'no JSON', '{"nonce": {"a": 1}}']) {
		const socket = net.connect({host, port});
		socket.on('error', () => {
			// The server may reset the connection.
		});
		socket.write(`${line}\n${line}\n`);
		await waitClosed(socket);
	}

	t.equal(logger.logged.filter(event => event === events.peerProtocol).length, 5);
	t.equal(await double(2), 4);
});

await t.test('a client with another secret is refused', async t => {
	const {logger, port} = await startServer(t);
	const stranger = new TcpTransport({
		name: 'stranger', listen: {host, port: 0}, secret: 'other', logger,
	});
	await t.rejects(stranger.call(`${host}:${port}`, 'double', {number: 1}, {timeoutMs: callTimeoutMs}), {code: 'protocol'});
	await stranger.dispose();
});

await t.test('unknown methods and parameters that are not valid are answered with a coded error', async t => {
	const {port, client, double} = await startServer(t);
	await t.rejects(client.call(`${host}:${port}`, 'halve', {}, {timeoutMs: callTimeoutMs}), {code: 'protocol'});
	await t.rejects(double('one'), {code: 'protocol'});
	t.equal(await double(3), 6);
});

await t.test('the server keeps working after any JSON in place of a request', async t => {
	const {port, double} = await startServer(t);
	await fc.assert(fc.asyncProperty(fc.json(), async text => {
		const socket = await openAuthenticated(port);
		socket.write(`${text}\n`);
		t.equal(await double(4), 8);
		socket.destroy();
	}), {numRuns: fuzzRuns, seed: 1});
	for (const text of ['null', '[]', '5', '{"method":5}', '{"jsonrpc":"2.0","method":"double"}']) {
		const socket = await openAuthenticated(port);
		socket.write(`${text}\n`);
		t.equal(await double(5), 10);
		socket.destroy();
	}
});

await t.test('a reply that is not JSON closes the connection, and the next call opens another', async t => {
	const {client, port} = await startServer(t);
	const broken = net.createServer(socket => {
		const upstream = net.connect({host, port});
		let replies = 0;
		socket.pipe(upstream);
		upstream.on('data', data => {
			replies += 1;
			socket.write(replies === 1 ? data : 'broken\n');
		});
		socket.on('close', () => {
			upstream.destroy();
		});
	});
	broken.listen(0, host);
	await once(broken, 'listening');
	const {port: brokenPort} = assumeType<net.AddressInfo>(broken.address());
	const call = async () => client.call(`${host}:${brokenPort}`, 'double', {number: 1}, {timeoutMs: callTimeoutMs});
	await t.rejects(call(), {code: 'peer_unreachable'});
	await t.rejects(call(), {code: 'peer_unreachable'});
	broken.close();
});
