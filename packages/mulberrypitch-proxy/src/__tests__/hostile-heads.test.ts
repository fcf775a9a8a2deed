/** Tests heads of responses with bytes that don't belong there: an entry either refuses such a head or can relay it. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import t, {type Test} from 'tap';
import {hasCode} from '@mulberrypitch/errors/coded-error';
import type {AttemptOutcome} from '../attempt-outcome.js';
import type {ResponseHead} from '../response-head.js';
import {ResponseParser} from '../response-parser.js';
import {getEndToEndHeaders} from '../response-relay.js';
import {listen} from './loopback.js';
import {relayResponse} from './relay-response.js';

const host = '127.0.0.1';
const byteCount = 256;
const soundHead = 'HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 10:00:00 GMT\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\n';
/** Number of blanks that nearly fill a head, and of such heads: parsing them takes minutes if the time grows with the square of their length. */
const blanks = ' '.repeat(60_000);
const blankHeads = 60;

/** Returns the head that the parser reads from the bytes, or `undefined` if it refuses them or waits for more. */
function parseHead(bytes: Uint8Array): ResponseHead | undefined {
	const heads: ResponseHead[] = [];
	const parser = new ResponseParser({
		onHead(head) {
			heads.push(head);
		},
		onBody() {
			// Only heads matter here.
		},
		onEnd() {
			// Only heads matter here.
		},
	}, () => false);
	try {
		parser.push(bytes);
	} catch (error) {
		if (!hasCode(error, 'protocol')) {
			throw error;
		}
	}

	return heads[0];
}

/** Writes a head as an entry does. Throws if Node.js takes it for invalid. */
function writeHead({status, reason, headers}: ResponseHead): void {
	const response = new http.ServerResponse(new http.IncomingMessage(new net.Socket()));
	response.writeHead(status, reason, getEndToEndHeaders(headers).flatMap(({name, value}) => [name, value]));
}

/** Relays a response that a back end ends with its connection, and returns the outcome. */
async function relay(t: Test, bytes: Uint8Array, isStream: boolean): Promise<AttemptOutcome> {
	const backendPort = await listen(t, net.createServer(socket => {
		socket.once('data', () => {
			socket.end(bytes);
		});
	}));
	return new Promise(resolve => {
		void (async () => {
			const entryPort = await listen(t, http.createServer((_, response) => {
				void (async () => {
					resolve(await relayResponse(backendPort, response, {isStream}));
				})();
			}));
			http.get({host, port: entryPort, agent: false}, response => {
				response.resume();
			}).on('error', () => {
				// The entry breaks the response off.
			});
		})();
	});
}

// Guards against an entry that ends, with all requests in progress, since Node.js refuses to write a head that the parser has let pass.
await t.test('a head with any byte at any place is refused or can be relayed', async t => {
	let relayed = 0;
	for (let place = 0; place < soundHead.length; place += 1) {
		for (let byte = 0; byte < byteCount; byte += 1) {
			const bytes = Buffer.from(soundHead, 'latin1');
			bytes[place] = byte;
			const head = parseHead(bytes);
			if (head !== undefined) {
				relayed += 1;
				writeHead(head);
			}
		}
	}

	t.ok(relayed > 0, 'some of these heads are valid');
});

for (const isStream of [false, true]) {
	for (const text of [
		'HTTP/1.1 200 O\u0001K\r\n',
		'HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec\u0001 2026\r\n',
		'HTTP/1.1 099 Low\r\n',
		'HTTP/1.1 000 None\r\n',
		'HTTP/1.1 600 High\r\n',
		'HTTP/1.1 999 High\r\n',
		'HTTP/1.1 200 OK\r\nA: b\u007F\r\n',
	]) {
		// Guards against an entry that ends since such a head throws out of the callback of the back end's socket, or that passes on what is no answer.
		await t.test(`an attempt with the head ${JSON.stringify(text)} fails alone, ${isStream ? 'as a stream' : 'as a whole'}`, async t => {
			const outcome = await relay(t, Buffer.from(`${text}Content-Type: text/event-stream\r\nContent-Length: 3\r\n\r\n:\n\n`, 'latin1'), isStream);
			t.equal(outcome.kind, 'unknown');
		});
	}
}

// Guards against an entry that answers nobody for seconds while it parses one header.
await t.test('a header that is full of blanks is parsed in linear time', async t => {
	const header = `a${blanks}b`;
	for (let count = 0; count < blankHeads; count += 1) {
		const head = parseHead(Buffer.from(`HTTP/1.1 200 OK\r\nA: ${header} \t\r\nContent-Length: 0\r\n\r\n`, 'latin1'));
		t.equal(head?.headers[0]?.value, header);
	}
});

// Guards against a caller whose client refuses a response with a list of lengths, although the back end had answered.
await t.test('a length that is stated twice is refused', async t => {
	for (const lengths of ['Content-Length: 2, 2\r\n', 'Content-Length: 2\r\nContent-Length: 2\r\n']) {
		t.equal(parseHead(Buffer.from(`HTTP/1.1 200 OK\r\n${lengths}\r\nok`, 'latin1')), undefined);
	}
});
