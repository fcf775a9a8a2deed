/** Tests what callers get when the entry to which their request was passed on breaks off, or writes what belongs to another request. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {ForwardedRequest} from '../forwarded-request.js';
import {PeerEntries} from '../peer-entries.js';
import type {RequestEnd} from '../proxied-request-options.js';
import {ResponseRelay} from '../response-relay.js';
import {ResponseTiming} from '../response-timing.js';
import type {HeaderNames} from '../types.js';

type Received = {
	readonly end: RequestEnd;
	/** Number of entries that got the request. */
	readonly sends: number;
	/** Everything that the caller received, head included. */
	readonly text: string;
};

const host = '127.0.0.1';
const names = assumeType<HeaderNames>({
	attemptId: 'attempt', deadline: 'deadline', signature: 'signature', notRun: 'not-run', hop: 'hop', reserved: [],
});
const refusal = (attemptId: string) => `HTTP/1.1 503 Busy\r\nAttempt: ${attemptId}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`;
const streamHead = 'HTTP/1.1 200 OK\r\nAttempt: a-1\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
const event = 'id: 1\ndata: a\n\n';
const eventChunk = `${event.length.toString(16)}\r\n${event}\r\n`;

async function listen(t: Test, server: net.Server): Promise<string> {
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	t.teardown(() => {
		server.close();
	});
	return `${host}:${assumeType<net.AddressInfo>(server.address()).port}`;
}

/** Passes a request on to two entries that both answer with the text and close the connection. */
async function passOn(t: Test, answer: string): Promise<Received> {
	let sends = 0;
	const createPeer = () => net.createServer(socket => {
		socket.on('error', () => {
			// The entry closes what breaks off.
		});
		socket.once('data', () => {
			sends += 1;
			socket.end(answer, 'latin1');
		});
	});
	const clock = new VirtualClock();
	const peers = new PeerEntries({clock, random: new SeededRandom(1), attemptHeader: names.attemptId});
	peers.setAddresses([await listen(t, createPeer()), await listen(t, createPeer())]);
	t.teardown(() => {
		peers.dispose();
	});
	let running: Promise<RequestEnd> | undefined;
	const entry = await listen(t, http.createServer((_, response) => {
		const relay = new ResponseRelay(response, {
			isResumable: true,
			timing: new ResponseTiming(clock, 0),
			onStarted() {
				// The response is bound to no version.
			},
			getExtraHeaders: () => [],
		});
		running = new ForwardedRequest({
			attemptId: 'a-1', caller: {method: 'POST', path: '/', headers: []}, body: Buffer.alloc(0), isStream: true, service: 's', deadlineAt: 1000,
			relay, peers, names, clock, logger: new SilentLogger(), signal: new AbortController().signal,
		}).run();
		void running.then(end => {
			if (end.kind !== 'answered' && end.kind !== 'cut') {
				response.writeHead(end.kind === 'replied' ? end.status : 503).end();
			}
		});
	}));
	const text = await new Promise<string>(resolve => {
		const parts: Uint8Array[] = [];
		const caller = net.connect(Number(entry.split(':')[1]), host);
		caller.write('POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
		caller.on('data', data => {
			parts.push(data);
		});
		caller.on('error', () => {
			// A response that breaks off is reset.
		});
		caller.once('close', () => {
			resolve(Buffer.concat(parts).toString());
		});
	});
	return {end: await running!, sends, text};
}

// Guards against a success without a body for a head that the other entry did not complete, and against a second run of what may have run.
await t.test('a request whose entry breaks off in its head is neither a success nor sent to a third entry', async t => {
	for (const head of ['HTTP/1.1 200 OK\r\n', 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n', 'HTTP/1.1 503 Busy\r\nContent-Le', '']) {
		const {end, sends, text} = await passOn(t, head);
		t.match(end, {kind: 'replied', status: 502}, JSON.stringify(head));
		t.equal(sends, 1);
		t.match(text, /^HTTP\/1\.1 502/v);
	}
});

// Guards against a stream that ends as complete, or with another answer in it, since the other entry broke off.
await t.test('a stream whose entry breaks off after an event ends without looking complete', async t => {
	for (const rest of ['', refusal('a-1'), '5\r\nid: 2']) {
		const {end, sends, text} = await passOn(t, streamHead + eventChunk + rest);
		t.match(end, {kind: 'cut'}, JSON.stringify(rest));
		t.equal(sends, 1);
		t.match(text, event);
		t.notMatch(text, /0\r\n\r\n$/v);
		t.notMatch(text, 'Busy');
	}
});

// Guards against a caller that is told that its request has not run since the refusal of an earlier one came once more.
await t.test('the refusal of another request says nothing of this one', async t => {
	const {end, sends, text} = await passOn(t, refusal('a-0') + streamHead + eventChunk + '0\r\n\r\n');
	t.match(end, {kind: 'answered'});
	t.equal(sends, 1);
	t.match(text, event);
});

// Guards against a refusal of one entry that ends a request which another entry might take.
await t.test('a request that one entry refuses is passed on to another one, whose refusal reaches the caller', async t => {
	const {end, sends, text} = await passOn(t, refusal('a-1'));
	t.match(end, {kind: 'answered'});
	t.equal(sends, 2, 'both entries were asked');
	t.match(text, /^HTTP\/1\.1 503/v);
});

// Guards against a request that runs twice, since the failure that an entry relays from a back end was taken for the entry's own refusal.
await t.test('a failure that does not state that the request did not run is not sent to another entry, whatever its status', async t => {
	for (const status of [408, 429, 500, 502, 503]) {
		for (const line of ['', 'Signature: s\r\n']) {
			const {sends, text} = await passOn(t, `HTTP/1.1 ${status} Failed\r\nAttempt: a-1\r\n${line}Content-Length: 0\r\n\r\n`);
			t.equal(sends, 1, `${status} ${line}`);
			t.notMatch(text, /^HTTP\/1\.1 (?:408|429|503)/v, 'the caller is promised nothing');
		}
	}
});

// Guards against a caller over its quota that is told so only after several entries were asked, or without the time after which it may retry.
await t.test('a refusal that other entries would repeat reaches the caller at once', async t => {
	const {end, sends, text} = await passOn(t, 'HTTP/1.1 429 Too Many Requests\r\nAttempt: a-1\r\nNot-Run: 1\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n');
	t.match(end, {kind: 'answered'});
	t.equal(sends, 1);
	t.match(text, /^HTTP\/1\.1 429 .*Retry-After: 0\.5/sv);
});
