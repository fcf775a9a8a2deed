/** Authentication of peers: a peer needs both a certificate of the trusted authority and the shared secret. */
import {readFileSync} from 'node:fs';
import net from 'node:net';
import path from 'node:path';
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {codes} from '@mulberrypitch/errors/catalogue';
import {events, type CataloguedEvent} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {TcpTransport, type Certificates} from '../tcp-transport.js';

const fixtures = path.resolve(import.meta.dirname, '../../src/__fixtures__');
const timeoutMs = 2000;
const echoSchema = {parse: (value: unknown) => assumeType<{text: string}>(value)};

class RecordingLogger implements Logger {
	readonly logged: CataloguedEvent[] = [];

	log(event: CataloguedEvent): void {
		this.logged.push(event);
	}
}

function readFixture(name: string): string {
	return readFileSync(path.join(fixtures, name), 'utf8');
}

function loadCertificates(authority: string, name: string): Certificates {
	return {ca: readFixture(`${authority}-ca.pem`), cert: readFixture(`${name}-cert.pem`), key: readFixture(`${name}-key.pem`)};
}

const trusted = loadCertificates('trusted', 'trusted');
/** Trusts the right authority, but presents a certificate of another one. */
const stranger = loadCertificates('trusted', 'other');

function createTransport(logger: Logger, certificates: Certificates | undefined, secret = 'secret'): TcpTransport {
	return new TcpTransport({
		name: 'test', listen: {host: '127.0.0.1', port: 0}, secret, ...(certificates !== undefined && {certificates}), logger,
	});
}

async function startServer(t: Test, certificates: Certificates | undefined) {
	const logger = new RecordingLogger();
	const server = createTransport(logger, certificates);
	const calls: string[] = [];
	server.handle('echo', echoSchema, async ({text}) => {
		calls.push(text);
		return text;
	});
	const port = await server.listen();
	t.teardown(async () => server.dispose());
	return {
		logger, calls, port, address: `127.0.0.1:${port}`,
	};
}

function createClient(t: Test, certificates: Certificates | undefined, secret?: string) {
	const logger = new RecordingLogger();
	const client = createTransport(logger, certificates, secret);
	t.teardown(async () => client.dispose());
	return {client, logger};
}

await t.test('a peer with a valid certificate and the secret is answered', async t => {
	const {address} = await startServer(t, trusted);
	const {client} = createClient(t, trusted);
	t.equal(await client.call(address, 'echo', {text: 'hello'}, {timeoutMs}), 'hello');
});

await t.test('a certificate of another authority is refused and logged', async t => {
	const {address, logger, calls} = await startServer(t, trusted);
	const {client} = createClient(t, stranger);
	await t.rejects(client.call(address, 'echo', {text: 'hello'}, {timeoutMs}), {code: codes.peerUnreachable});
	t.same(calls, []);
	t.ok(logger.logged.includes(events.peerCertificateRefused));
});

await t.test('a client sends no calls to a server with a certificate of another authority', async t => {
	const {address, calls} = await startServer(t, loadCertificates('other', 'other'));
	const {client} = createClient(t, trusted);
	await t.rejects(client.call(address, 'echo', {text: 'hello'}, {timeoutMs}), {code: codes.peerUnreachable});
	t.same(calls, []);
});

await t.test('a peer without TLS is refused and logged', async t => {
	const {address, logger, calls} = await startServer(t, trusted);
	const {client} = createClient(t, undefined);
	await t.rejects(client.call(address, 'echo', {text: 'hello'}, {timeoutMs}), {code: codes.peerUnreachable});
	t.same(calls, []);
	t.ok(logger.logged.includes(events.peerCertificateRefused));
});

for (const [name, certificates] of [['TLS', trusted], ['TCP', undefined]] as const) {
	await t.test(`a wrong secret over ${name} is refused and logged`, async t => {
		const {address, calls} = await startServer(t, certificates);
		const {client, logger} = createClient(t, certificates, 'wrong');
		await t.rejects(client.call(address, 'echo', {text: 'hello'}, {timeoutMs}), {code: codes.protocol});
		t.same(calls, []);
		t.ok(logger.logged.includes(events.peerRefused));
	});
}

await t.test('a client with a wrong proof is refused and logged, even if it sends its call without waiting for the server\'s proof', async t => {
	const {port, logger, calls} = await startServer(t, undefined);
	const socket = net.connect({host: '127.0.0.1', port});
	const closed = new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
	});
	socket.resume();
	const echo = {
		jsonrpc: '2.0', id: 1, method: 'echo', params: {text: 'hello'},
	};
	socket.write([{name: 'stranger', nonce: '00'}, {proof: 'f'.repeat(64)}, echo].map(line => JSON.stringify(line) + '\n').join(''));
	await closed;
	t.same(calls, []);
	t.ok(logger.logged.includes(events.peerRefused));
});
