/** Tests that a caller can tell a broken stream from a complete one, with back ends whose responses end with their connection. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import t, {type Test} from 'tap';
import {getSystemCode} from '@mulberrypitch/errors/coded-error';
import type {AttemptOutcome} from '../attempt-outcome.js';
import {listen} from './loopback.js';
import {relayResponse} from './relay-response.js';

type Received = {
	/** Everything that the caller received, head included. */
	readonly text: string;
	/** Whether the caller's connection ended with a reset. */
	readonly wasReset: boolean;
	readonly outcome: AttemptOutcome['kind'];
};

type Exchange = {
	/** What the back end sends before it closes its connection in order. */
	readonly response: string;
	readonly isResumable?: boolean;
	readonly isStream?: boolean;
	/** HTTP version of the caller. */
	readonly version?: string;
};

const host = '127.0.0.1';
const eventStreamHead = 'HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n';
const whole = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const broken = 'id: 1\ndata: a\n\nid: 2\nda';
const lastChunk = '\r\n0\r\n\r\n';

/** Sends one request through a relay to a back end, and returns what the caller received. */
async function run(t: Test, exchange: Exchange): Promise<Received> {
	const backendPort = await listen(t, net.createServer(socket => {
		socket.once('data', () => {
			socket.end(exchange.response);
		});
	}));
	let outcome: Promise<AttemptOutcome> | undefined;
	const entryPort = await listen(t, http.createServer((_, response) => {
		outcome = relayResponse(backendPort, response, exchange);
	}));
	const received = await new Promise<Omit<Received, 'outcome'>>(resolve => {
		const caller = net.connect(entryPort, host);
		const parts: Uint8Array[] = [];
		let wasReset = false;
		caller.write(`GET / HTTP/${exchange.version ?? '1.1'}\r\nHost: a\r\nConnection: close\r\n\r\n`);
		caller.on('data', data => {
			parts.push(data);
		});
		caller.on('error', error => {
			wasReset = getSystemCode(error) === 'ECONNRESET';
		});
		caller.once('close', () => {
			resolve({text: Buffer.concat(parts).toString(), wasReset});
		});
	});
	const {kind} = await outcome!;
	return {...received, outcome: kind};
}

// Guards against a stream that its back end broke off inside an event and that reaches the caller as complete.
await t.test('a stream that ends with its connection inside an event does not end as complete', async t => {
	const {text, outcome} = await run(t, {response: `${eventStreamHead}\r\n${broken}`});
	t.equal(outcome, 'cut');
	t.match(text, 'data: a');
	t.notMatch(text, lastChunk);
});

// Guards against the rest of an event being written before the stream is resumed on another back end.
await t.test('a resumable stream that ends with its connection inside an event is left after its last whole event', async t => {
	const {text, outcome} = await run(t, {response: `${eventStreamHead}\r\n${broken}`, isResumable: true});
	t.equal(outcome, 'cut');
	t.match(text, 'data: a');
	t.notMatch(text, 'id: 2');
	t.notMatch(text, lastChunk);
});

// Guards against a stream that is broken off inside its first event being taken for a complete response.
await t.test('a resumable stream that ends inside its first event counts as no response', async t => {
	const {text, outcome} = await run(t, {response: `${eventStreamHead}\r\nid: 1\nda`, isResumable: true});
	t.equal(outcome, 'unknown');
	t.equal(text, '');
});

// Guards against an empty success when a back end fails between the head and the first event.
await t.test('a stream that ends with its connection before its first event counts as no response', async t => {
	const {text, outcome} = await run(t, {response: `${eventStreamHead}\r\n`});
	t.equal(outcome, 'unknown');
	t.equal(text, '');
});

// Guards against a stream whose body is framed as complete although its last event is not.
await t.test('a chunked stream whose last chunk follows an incomplete event does not end as complete', async t => {
	const chunk = `${broken.length.toString(16)}\r\n${broken}`;
	const {text, outcome} = await run(t, {response: `${eventStreamHead}Transfer-Encoding: chunked\r\n\r\n${chunk}${lastChunk}`});
	t.equal(outcome, 'cut');
	t.notMatch(text, lastChunk);
});

// Guards against the same fault where a stream is buffered, because its route is not a streaming one.
await t.test('a buffered stream that ends inside an event counts as no response', async t => {
	const {text, outcome} = await run(t, {response: `${eventStreamHead}\r\n${broken}`, isStream: false});
	t.equal(outcome, 'unknown');
	t.equal(text, '');
});

// Guards against a broken stream that looks complete to a caller for whom the end of the connection ends the body.
await t.test('a caller that knows no chunks sees a broken stream end with a reset', async t => {
	const {text, wasReset} = await run(t, {response: `${eventStreamHead}\r\n${broken}`, version: '1.0'});
	t.match(text, 'data: a');
	t.equal(wasReset, true);
});

await t.test('a stream that ends with its connection after a whole event is complete', async t => {
	for (const isResumable of [false, true]) {
		const {text, outcome} = await run(t, {response: `${eventStreamHead}\r\n${whole}`, isResumable});
		t.equal(outcome, 'delivered');
		t.match(text, 'data: b');
		t.match(text, lastChunk);
	}
});

await t.test('a response of another type that ends with its connection is complete wherever it ends', async t => {
	const {text, outcome} = await run(t, {response: 'HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: application/json\r\n\r\n{}'});
	t.equal(outcome, 'delivered');
	t.match(text, '{}');
});
