/**
 * Tests that no back end can fill an entry or keep a request from ending: back ends whose responses don't end, in each unit of a response
 * that an entry holds before it passes it on.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import t, {type Test} from 'tap';
import type {AttemptOutcome} from '../attempt-outcome.js';
import {listen} from './loopback.js';
import {relayResponse, type RelayOptions} from './relay-response.js';

const host = '127.0.0.1';
/** Size of an endless part after which the back end of a test gives up: what an entry has taken without an end is too much. */
const endlessBytes = 24 * 1024 * 1024;
const pieceBytes = 64 * 1024;
const streamHead = 'HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';

/** A response that begins with `start` and then repeats a piece. */
type EndlessResponse = RelayOptions & {
	readonly start: string;
	readonly piece: string;
	/** The outcome of the attempt: whether the request may have run, and whether a part of the response has reached the caller. */
	readonly expected: AttemptOutcome['kind'];
};

function createChunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function repeat(text: string): string {
	return text.repeat(Math.ceil(pieceBytes / text.length));
}

const letters = 'a'.repeat(pieceBytes);
const responses: Readonly<Record<string, EndlessResponse>> = {
	'status line': {start: 'HTTP/1.1 200 ', piece: letters, expected: 'unknown'},
	header: {start: 'HTTP/1.1 200 OK\r\nA: ', piece: letters, expected: 'unknown'},
	'number of headers': {start: 'HTTP/1.1 200 OK\r\nSignature: s\r\n', piece: repeat('A: b\r\n'), expected: 'unknown'},
	'interim heads': {start: '', piece: repeat('HTTP/1.1 102 Processing\r\n\r\n'), expected: 'unknown'},
	'interim heads with hints': {start: '', piece: repeat('HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'), expected: 'unknown'},
	'chunk size': {start: 'HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n1;', piece: letters, expected: 'unknown'},
	trailers: {start: 'HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n', piece: repeat('A: b\r\n'), expected: 'unknown'},
	'body of a failure': {start: 'HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n', piece: createChunk(letters), expected: 'unknown'},
	'body of a failure in small chunks': {start: 'HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n', piece: repeat(createChunk('abc')), expected: 'unknown'},
	'unframed body of a failure': {start: 'HTTP/1.1 500 Internal Server Error\r\n\r\n', piece: letters, expected: 'unknown'},
	'body of a refusal': {start: 'HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n', piece: createChunk(letters), expected: 'notRun'},
	'body of a misdirected request': {start: 'HTTP/1.1 421 Misdirected\r\nTransfer-Encoding: chunked\r\n\r\n', piece: createChunk(letters), expected: 'notRun'},
	'first event': {
		start: streamHead, piece: createChunk(letters), isStream: true, isResumable: true, expected: 'unknown',
	},
	'later event': {
		start: streamHead + createChunk('id: 1\ndata: a\n\n'), piece: createChunk(letters), isStream: true, isResumable: true, expected: 'cut',
	},
};

/** Sends a response without end. Resolves when the entry has closed the connection, or with `false` after `endlessBytes`. */
async function sendWithoutEnd(socket: net.Socket, {start, piece}: EndlessResponse): Promise<boolean> {
	socket.on('error', () => {
		// The entry resets the connection.
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

// Guards against a back end that fills the memory of an entry, or holds a request until its deadline, with a part of a response that does not end.
for (const [unit, endless] of Object.entries(responses)) {
	await t.test(`a response whose ${unit} does not end is given up`, async t => {
		let wasClosed = Promise.resolve(false);
		const backendPort = await listen(t, net.createServer(socket => {
			socket.once('data', () => {
				wasClosed = sendWithoutEnd(socket, endless);
			});
		}));
		const outcome = await new Promise<AttemptOutcome>(resolve => {
			void (async () => {
				const entryPort = await listen(t, http.createServer((_, response) => {
					void (async () => {
						resolve(await relayResponse(backendPort, response, {isStream: false, ...endless}));
					})();
				}));
				const caller = net.connect(entryPort, host, () => {
					caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
				});
				caller.resume();
				caller.on('error', () => {
					// The entry breaks the response off.
				});
			})();
		});
		t.equal(outcome.kind, endless.expected);
		t.ok(await wasClosed, 'the entry closed the connection');
	});
}

// Guards against limits that cut off long answers which are sound.
await t.test('a long error of a caller is relayed, and a long stream of small events as well', async t => {
	const body = 'b'.repeat(1024 * 1024);
	const eventCount = 60_000;
	const soundResponses: ReadonlyArray<{readonly text: string; readonly isStream: boolean; readonly bodyBytes: number}> = [
		{text: `HTTP/1.1 404 Not Found\r\nContent-Length: ${body.length}\r\n\r\n${body}`, isStream: false, bodyBytes: body.length},
		{text: streamHead + createChunk('id: 1\ndata: abc\n\n'.repeat(eventCount)) + '0\r\n\r\n', isStream: true, bodyBytes: 17 * eventCount},
	];
	for (const {text, isStream, bodyBytes} of soundResponses) {
		const backendPort = await listen(t, net.createServer(socket => {
			socket.once('data', () => {
				socket.end(text, 'latin1');
			});
		}));
		const entryPort = await listen(t, http.createServer((_, response) => {
			void relayResponse(backendPort, response, {isStream, isResumable: isStream});
		}));
		const received = await new Promise<number>((resolve, reject) => {
			http.get({host, port: entryPort, agent: false}, response => {
				const parts: Uint8Array[] = [];
				response.on('data', (data: Uint8Array) => {
					parts.push(data);
				});
				response.once('end', () => {
					resolve(Buffer.concat(parts).length);
				});
			}).once('error', reject);
		});
		t.equal(received, bodyBytes);
	}
});
