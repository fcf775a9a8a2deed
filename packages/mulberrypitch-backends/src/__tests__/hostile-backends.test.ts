/** Tests that no back end can fill a host with a part of an answer that does not end. */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {EngineClient} from '../engine-client.js';
import {PlainClient} from '../plain-client.js';
import type {BackendCall} from '../types.js';

const host = '127.0.0.1';
/** Size of an endless part after which the back end of a test gives up: what a host has taken without an end is too much. */
const endlessBytes = 24 * 1024 * 1024;
const pieceBytes = 64 * 1024;
const letters = 'a'.repeat(pieceBytes);
const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

type EndlessAnswer = {
	readonly start: string;
	readonly piece: string;
};

function createChunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Sends an answer without end. Resolves with whether the client closed the connection before `endlessBytes` were sent. */
async function sendWithoutEnd(socket: net.Socket, {start, piece}: EndlessAnswer): Promise<boolean> {
	socket.on('error', () => {
		// The client resets the connection.
	});
	socket.write(start, 'latin1');
	for (let sentBytes = 0; sentBytes < endlessBytes; sentBytes += piece.length) {
		if (socket.destroyed) {
			return true;
		}

		await new Promise<void>(resolve => {
			socket.once('close', resolve);
			socket.write(piece, 'latin1', () => {
				socket.off('close', resolve);
				resolve();
			});
		});
	}

	socket.destroy();
	return false;
}

/** Makes one call to a back end with an endless answer. Resolves with whether the client closed the connection in time. */
async function isGivenUp(t: Test, answer: EndlessAnswer, call: (address: string) => Promise<unknown>): Promise<boolean> {
	let wasClosed = Promise.resolve(false);
	const server = net.createServer(socket => {
		socket.once('data', () => {
			wasClosed = sendWithoutEnd(socket, answer);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	t.teardown(() => {
		server.close();
	});
	await t.rejects(call(`http://${host}:${assumeType<net.AddressInfo>(server.address()).port}`), {code: 'backend_failed'});
	return wasClosed;
}

function createCall(address: string): BackendCall {
	return {
		requestId: 'r',
		attempt: 1,
		service: 's',
		address,
		body: {
			method: 'POST', path: '/', contentType: 'application/json', text: '{}',
		},
		tokens: [],
		signal: new AbortController().signal,
	};
}

async function readAll(stream: AsyncIterable<string>): Promise<string[]> {
	const tokens: string[] = [];
	for await (const token of stream) {
		tokens.push(token);
	}

	return tokens;
}

// Guards against a plain service that fills a host with one answer.
await t.test('an answer of a plain service that does not end is given up', async t => {
	const client = new PlainClient();
	t.teardown(async () => client.dispose());
	for (const start of [chunkedHead, 'HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n']) {
		t.ok(await isGivenUp(t, {start, piece: createChunk(letters)}, async address => client.run(createCall(address))));
	}

	t.ok(await isGivenUp(t, {start: 'HTTP/1.1 200 OK\r\n', piece: 'A: b\r\n'.repeat(10_000)}, async address => client.run(createCall(address))));
});

// Guards against an engine that fills a host with one line of a stream, with an error, or with a reply about a cache.
await t.test('an answer of an engine that does not end is given up', async t => {
	const client = new EngineClient();
	t.teardown(async () => client.dispose());
	const {signal} = new AbortController();
	const stream = async (address: string) => readAll(client.stream(createCall(address)));
	t.ok(await isGivenUp(t, {start: chunkedHead + createChunk('data: '), piece: createChunk(letters)}, stream));
	t.ok(await isGivenUp(t, {start: 'HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n', piece: createChunk(letters)}, stream));
	t.ok(await isGivenUp(t, {start: chunkedHead, piece: createChunk(letters)}, async address => client.exportCache({requestId: 'r', address, signal})));
});

// Guards against tokens that are lost or garbled where the bytes of a stream arrive one at a time.
await t.test('the tokens of a stream that arrives one byte at a time are whole', async t => {
	const client = new EngineClient();
	t.teardown(async () => client.dispose());
	const server = net.createServer(socket => {
		socket.once('data', () => {
			const bytes = Buffer.from(['ä€', String.raw`b\n`, '😀'].map(text => `data: {"choices":[{"text":"${text}"}]}\n\n`).join('') + 'data: [DONE]\n');
			socket.write(chunkedHead + [...bytes].map(byte => `1\r\n${String.fromCodePoint(byte)}\r\n`).join('') + '0\r\n\r\n', 'latin1');
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	t.teardown(() => {
		server.close();
	});
	const tokens = await readAll(client.stream(createCall(`http://${host}:${assumeType<net.AddressInfo>(server.address()).port}`)));
	t.strictSame(tokens, ['ä€', 'b\n', '😀']);
});
