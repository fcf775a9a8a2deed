/** A server whose HTTP responses are endless, trickled, cut, reset or garbled, for tests of clients. */
import net from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {VirtualClock} from './virtual-clock.js';

/** Bytes that the server sends once a request has begun, and then at each step. */
export type HostileResponse = {
	readonly start: string;
	readonly piece?: string;
	/** Way in which the server ends the connection after the start; absent if it does not. */
	readonly end?: 'close' | 'reset';
};

/** Responses that no client can take for a complete one. */
export const hostileResponses: Readonly<Record<string, HostileResponse>> = {
	'cut in its body': {start: 'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc', end: 'close'},
	'reset in its body': {start: 'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc', end: 'reset'},
	'cut in its head': {start: 'HTTP/1.1 200 OK\r\nCont', end: 'close'},
	'reset in its head': {start: 'HTTP/1.1 200 OK\r\nCont', end: 'reset'},
	garbled: {start: 'hello\r\n\r\n'},
	'garbled in a chunk size': {start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n'},
	silent: {start: ''},
	'silent in its body': {start: 'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc'},
	'trickled in its status line': {start: 'HTTP/1.1 200 ', piece: 'a'},
	'trickled in its head': {start: 'HTTP/1.1 200 OK\r\nA: ', piece: 'a'},
	'trickled in its body': {start: 'HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n', piece: 'a'},
	'trickled in chunks': {start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', piece: '1\r\na\r\n'},
	'endless in its head': {start: 'HTTP/1.1 200 OK\r\n', piece: 'A: a\r\n'.repeat(1000)},
	'endless in its body': {start: 'HTTP/1.1 200 OK\r\n\r\n', piece: 'a'.repeat(1_000_000)},
	'endless in a chunk size': {start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', piece: '0'.repeat(10_000)},
	'endless in interim heads': {start: '', piece: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(1000)},
	'endless in trailers': {start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', piece: 'A: a\r\n'.repeat(1000)},
};

const host = '127.0.0.1';
/** Virtual time in milliseconds between two pieces. */
const stepMs = 100;
/** Number of event-loop turns for real input and output in each step. */
const turnsPerStep = 20;

/** Sends one response to every client. */
export class HostileServer implements Resource {
	readonly #response: HostileResponse;
	readonly #sockets = new Set<net.Socket>();
	readonly #server = net.createServer(socket => {
		this.#serve(socket);
	});

	constructor(response: HostileResponse) {
		this.#response = response;
	}

	/** Starts to listen and returns `host:port`. */
	async listen(): Promise<string> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, host, resolve);
		});
		return `${host}:${assumeType<net.AddressInfo>(this.#server.address()).port}`;
	}

	/** Sends pieces while virtual time advances, until the client's call has ended or the time is over. Returns whether the call has ended. */
	async sendUntil(clock: VirtualClock, isEnded: () => boolean, limitMs: number): Promise<boolean> {
		for (let elapsedMs = 0; elapsedMs <= limitMs && !isEnded(); elapsedMs += stepMs) {
			for (let turn = 0; turn < turnsPerStep; turn += 1) {
				await nextTurn();
			}

			this.#sendPiece();
			await clock.runFor(stepMs);
		}

		return isEnded();
	}

	/** Closes all connections. */
	dispose(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#serve(socket: net.Socket): void {
		const {start, end} = this.#response;
		this.#sockets.add(socket);
		socket.on('error', () => {
			// The client closes what does not end.
		});
		socket.once('data', () => {
			socket.write(start, 'latin1', () => {
				if (end === 'close') {
					socket.end();
				} else if (end === 'reset') {
					socket.resetAndDestroy();
				}
			});
		});
	}

	#sendPiece(): void {
		const {piece = ''} = this.#response;
		for (const socket of this.#sockets) {
			if (socket.writable) {
				socket.write(piece, 'latin1');
			}
		}
	}
}
