/** Tests that a caller can tell a broken answer from a complete one, with back ends that answer a long upload before they have read it. */
import http from 'node:http';
import net from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t, {type Test} from 'tap';
import type {AttemptOutcome} from '../attempt-outcome.js';
import {listen} from './loopback.js';
import {relayResponse} from './relay-response.js';

/** What a back end does with a connection after its answer. */
type End = (socket: net.Socket) => unknown;

const host = '127.0.0.1';
/** Size in bytes of an upload that the buffers of no connection hold. */
const uploadBytes = 32 * 1024 * 1024;
const heads = {
	'an answer': {text: 'HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: application/json\r\n', body: '{"a":1', isStream: false},
	'a stream': {text: 'HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n', body: 'id: 1\ndata: a\n\n', isStream: true},
};

/** Uploads a body to a back end that reads the part of it that `read` takes, answers and ends the connection. Returns the outcome of the attempt. */
async function upload(t: Test, {answer, isStream, read, end}: {
	readonly answer: string;
	readonly isStream: boolean;
	readonly read: (socket: net.Socket) => Promise<void>;
	readonly end: End;
}): Promise<AttemptOutcome> {
	const backendPort = await listen(t, net.createServer({allowHalfOpen: true}, socket => {
		socket.on('error', () => {
			// The tests reset connections on purpose.
		});
		t.teardown(() => {
			socket.destroy();
		});
		void (async () => {
			await read(socket);
			socket.write(answer, () => {
				end(socket);
			});
		})();
	}));
	return new Promise<AttemptOutcome>((resolve, reject) => {
		void (async () => {
			const entryPort = await listen(t, http.createServer((_, response) => {
				relayResponse(backendPort, response, {isStream, requestBody: new Uint8Array(uploadBytes)}).then(resolve, reject);
			}));
			http.get({host, port: entryPort, agent: false}, response => {
				response.on('error', () => {
					// The entry breaks the response off.
				});
				response.resume();
			}).on('error', () => {
				// The entry breaks the response off.
			});
		})();
	});
}

/** Leaves the upload in the buffers of the connection, but for its beginning. */
async function readBeginning(socket: net.Socket): Promise<void> {
	await new Promise<void>(resolve => {
		socket.once('data', () => {
			socket.pause();
			resolve();
		});
	});
}

async function readAll(socket: net.Socket): Promise<void> {
	let receivedBytes = 0;
	await new Promise<void>(resolve => {
		socket.on('data', data => {
			receivedBytes += data.length;
			if (receivedBytes > uploadBytes) {
				resolve();
			}
		});
	});
}

const resets: Readonly<Record<string, End>> = {
	'is reset at once': socket => socket.resetAndDestroy(),
	async 'is reset a moment later'(socket) {
		await nextTurn();
		socket.resetAndDestroy();
	},
	'is closed with the upload unread': socket => socket.destroy(),
	'ends with the upload unread': socket => socket.end(),
};
for (const [name, {text, body, isStream}] of Object.entries(heads)) {
	for (const [cause, end] of Object.entries(resets)) {
		// Guards against a caller that gets the part of an answer that arrived before the connection broke as a complete one.
		await t.test(`${name} without a length to a long upload is not complete if the connection ${cause}`, async t => {
			const {kind} = await upload(t, {
				answer: `${text}\r\n${body}`, isStream, read: readBeginning, end,
			});
			t.ok(kind === 'unknown' || kind === 'cut', kind);
		});
	}

	// Guards against sound answers that count as broken.
	await t.test(`${name} to a long upload is complete if it has a length, or if the connection ends after the upload was read`, async t => {
		const withLength = await upload(t, {
			answer: `${text}Content-Length: ${body.length}\r\n\r\n${body}`, isStream, read: readBeginning, end: socket => socket.end(),
		});
		t.equal(withLength.kind, 'delivered');
		const afterUpload = await upload(t, {
			answer: `${text}\r\n${body}`, isStream, read: readAll, end: socket => socket.end(),
		});
		t.equal(afterUpload.kind, 'delivered');
	});
}
