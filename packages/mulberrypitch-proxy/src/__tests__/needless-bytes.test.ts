/**
 * Tests that bytes which belong to no request never become a part of the response to one: back ends that answer twice, the second time late and
 * cut short at any byte, before or after the next request was sent on the connection.
 */
import {Buffer} from 'node:buffer';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t from 'tap';
import type {BackendConnection, Exchange} from '../backend-connection.js';
import {openConnection, startBackend} from './loopback.js';

/** How an exchange ended, and what its listener received. */
type Result = {
	readonly end: 'whole' | 'broken' | 'silent';
	readonly status?: number;
	readonly body: string;
};

/** A response in one of the framings of a body. */
type Framed = {
	readonly name: string;
	readonly create: (status: string, attemptId: string, body: string) => string;
	/** Whether the back end closes the connection after it. */
	readonly isLast?: boolean;
};

/** Number of turns of the event loop after which a response is taken to be missing; loopback needs a few. */
const maxTurns = 2000;
/** Difference between two lengths in bytes of a beginning that are tried inside another answer. */
const lengthStep = 9;
const firstId = '9c41d07be2a35f68';
const nextId = '60b08184d9c017fa';
const request = 'POST /a/ HTTP/1.1\r\n\r\n';
const success = '200 OK';
const failure = '500 Internal Server Error';
const error = '{"error":"out of order"}';
const bodiless = 'without a body';
const framedResponses: readonly Framed[] = [
	{
		name: 'with a length',
		create: (status, id, body) => `${createHead(status, id)}Content-Length: ${body.length}\r\n\r\n${body}`,
	},
	{
		name: 'in chunks',
		create: (status, id, body) => `${createHead(status, id)}Transfer-Encoding: chunked\r\n\r\n${createChunk(body.slice(0, 3))}${createChunk(body.slice(3))}0\r\nTrailer: t\r\n\r\n`,
	},
	{
		name: bodiless,
		create: (status, id) => `${createHead(status, id)}Content-Length: 0\r\n\r\n`,
	},
	{
		name: 'up to the end of the connection',
		create: (status, id, body) => `${createHead(status, id)}\r\n${body}`,
		isLast: true,
	},
];

/** Responses after which another one may follow on the connection. */
const followedResponses = framedResponses.filter(({isLast}) => isLast !== true);

function createChunk(text: string): string {
	return `${text.length.toString(16)};a=b\r\n${text}\r\n`;
}

function createHead(status: string, id: string): string {
	return `HTTP/1.1 ${status}\r\nContent-Type: application/json\r\nDate: Sat, 05 Dec 2026 10:00:00 GMT\r\nAttempt: ${id}\r\nSignature: s.${id}\r\n`;
}

/** Sends a request, and resolves when its response has ended or does not come. */
async function exchange(connection: BackendConnection, attemptId: string): Promise<Result> {
	const answered = new Promise<Result>(resolve => {
		let status: number | undefined;
		let body = '';
		const listener: Exchange = {
			attemptId,
			isHead: false,
			onHead(head) {
				status = head.status;
			},
			onBody(data) {
				body += Buffer.from(data).toString('latin1');
			},
			onEnd() {
				resolve({end: 'whole', status, body});
			},
			onFailed() {
				resolve({end: 'broken', body});
			},
		};
		connection.send(request, undefined, listener);
	});
	const answer = new AbortController();
	const result = await Promise.race([answered, waitInVain(answer.signal)]);
	answer.abort();
	return result;
}

async function waitInVain(signal: AbortSignal): Promise<Result> {
	for (let turn = 0; turn < maxTurns && !signal.aborted; turn += 1) {
		await nextTurn();
	}

	return {end: 'silent', body: ''};
}

async function passTurns(count: number): Promise<void> {
	for (let turn = 0; turn < count; turn += 1) {
		await nextTurn();
	}
}

for (const late of followedResponses) {
	for (const next of framedResponses) {
		for (const writes of ['one write', 'two writes']) {
			// Guards against a failure that reaches its caller as a success, or never, since the head or the body of a late second answer went before it.
			await t.test(`a second answer ${late.name} that is cut short anywhere does not change the next one ${next.name}, ${writes}`, async t => {
				const first = late.create(success, firstId, '{"stock":12}');
				const second = next.create(failure, nextId, error);
				let cut = 0;
				const address = await startBackend(t, async (socket, count) => {
					if (count === 1) {
						socket.write(first);
						return;
					}

					if (writes === 'one write') {
						socket.write(first.slice(0, cut) + second);
					} else {
						socket.write(first.slice(0, cut));
						await passTurns(2);
						socket.write(second);
					}

					if (next.isLast === true) {
						socket.end();
					}
				});
				const expectedBody = next.name === bodiless ? '' : error;
				const wrong: string[] = [];
				for (cut = 0; cut <= first.length; cut += 1) {
					const connection = await openConnection(address);
					await exchange(connection, firstId);
					const {end, status, body} = await exchange(connection, nextId);
					const isOwn = end === 'whole' && status === 500 && body === expectedBody;
					const mustBeOwn = cut === 0 || cut === first.length;
					if (!isOwn && (mustBeOwn || end !== 'broken')) {
						wrong.push(`${JSON.stringify(first.slice(Math.max(0, cut - 20), cut))}: ${end} ${status} ${JSON.stringify(body)}`);
					}

					connection.destroy();
				}

				t.same(wrong, []);
			});
		}
	}
}

for (const framed of followedResponses) {
	for (const delay of ['at once', 'while it is idle']) {
		// Guards against a connection that keeps the beginning of a needless answer for the next request, or carries one after it.
		await t.test(`a connection on which anything follows a whole answer ${framed.name} is not used again, ${delay}`, async t => {
			const first = framed.create(success, firstId, '{"stock":12}');
			let cut = 1;
			const address = await startBackend(t, async socket => {
				if (delay === 'at once') {
					socket.write(first + first.slice(0, cut));
					return;
				}

				socket.write(first);
				await passTurns(3);
				socket.write(first.slice(0, cut));
			});
			for (cut = 1; cut <= first.length; cut += 1) {
				const connection = await openConnection(address);
				const {end, status} = await exchange(connection, firstId);
				for (let turn = 0; turn < maxTurns && connection.isReusable; turn += 1) {
					await nextTurn();
				}

				if (end !== 'whole' || status !== 200 || connection.isReusable) {
					t.fail(`${JSON.stringify(first.slice(0, cut))}: ${end} ${status}, reusable: ${connection.isReusable}`);
				}

				connection.destroy();
			}

			t.pass();
		});
	}
}

for (const framed of followedResponses.filter(({name}) => name !== bodiless)) {
	// Guards against a caller that gets bytes of another answer inside its own one, whose end they have displaced.
	await t.test(`an answer ${framed.name} is not taken for whole if the beginning of another one stands anywhere inside it`, async t => {
		const earlier = framed.create(success, firstId, '{"stock":12}');
		const ownBody = '{"stock":9, "unit":"drum"}';
		const answer = framed.create(success, nextId, ownBody);
		let place = 0;
		let length = 0;
		const address = await startBackend(t, async socket => {
			socket.write(answer.slice(0, place) + earlier.slice(0, length) + answer.slice(place));
		});
		const wrong: string[] = [];
		for (place = answer.indexOf('\r\n\r\n') + 4; place < answer.length - 1; place += 1) {
			for (length = 1; length < earlier.length; length += lengthStep) {
				const connection = await openConnection(address);
				const {end, body} = await exchange(connection, nextId);
				if (end !== 'broken' && (end !== 'whole' || body !== ownBody)) {
					wrong.push(`${length} bytes after ${JSON.stringify(answer.slice(0, place))}: ${end} ${JSON.stringify(body)}`);
				}

				connection.destroy();
			}
		}

		t.same(wrong, []);
	});
}
