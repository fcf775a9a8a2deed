/** A caller whose HTTP requests are endless, trickled, cut, reset or garbled, for tests of servers. */
import net from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {VirtualClock} from './virtual-clock.js';

/** Bytes that the caller sends at once, and then at each step. */
export type HostileRequest = {
	readonly start: string;
	readonly piece?: string;
	/** Way in which the caller ends the connection after the start; absent if it does not. */
	readonly end?: 'close' | 'reset';
	/** Whether the HTTP server of Node.js ends the request, by timers of its own that virtual time does not advance. */
	readonly isTimedByNode?: boolean;
};

const host = '127.0.0.1';
/** Virtual time in milliseconds between two pieces. */
const stepMs = 100;
/** Number of event-loop turns for real input and output in each step. */
const turnsPerStep = 20;
const pieceBytes = 1_000_000;
const pieceChunk = `${pieceBytes.toString(16)}\r\n${'a'.repeat(pieceBytes)}\r\n`;

/**
Returns requests with the given method, target and headers that no server can take for complete ones.

@example
```
const requests = createHostileRequests('POST /v1/announce', 'Authorization: Bearer key\r\n');
```
*/
export function createHostileRequests(methodAndTarget: string, headers = ''): Readonly<Record<string, HostileRequest>> {
	const head = `${methodAndTarget} HTTP/1.1\r\nHost: callers.example\r\n${headers}`;
	const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;
	const sizedHead = `${head}Content-Length: 1000000\r\n\r\n`;
	return {
		'endless in its request line': {start: methodAndTarget, piece: 'a'.repeat(10_000)},
		'trickled in its request line': {start: methodAndTarget, piece: 'a', isTimedByNode: true},
		'cut in its request line': {start: methodAndTarget, end: 'close'},
		'reset in its request line': {start: methodAndTarget, end: 'reset'},
		'garbled in its request line': {start: '\u0001\u00FF\u0000 hello\r\n\r\n'},
		'garbled in its target': {start: `${methodAndTarget.replace(/ .*$/v, '')} //%E0%A4%A?%zz HTTP/1.1\r\nHost: callers.example\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`},
		'endless in its headers': {start: head, piece: 'A: a\r\n'.repeat(1000)},
		'trickled in its headers': {start: `${head}A: `, piece: 'a', isTimedByNode: true},
		'cut in its headers': {start: `${head}A: `, end: 'close'},
		'reset in its headers': {start: `${head}A: `, end: 'reset'},
		'garbled in its headers': {start: `${head}\u0000\u0001\r\n\r\n`},
		'endless in its body': {start: chunkedHead, piece: pieceChunk},
		'trickled in its body': {start: sizedHead, piece: 'a'},
		'silent in its body': {start: sizedHead},
		'cut in its body': {start: `${sizedHead}a`, end: 'close'},
		'reset in its body': {start: `${sizedHead}a`, end: 'reset'},
		'garbled in its body': {start: `${head}Connection: close\r\nContent-Length: 6\r\n\r\n{{\u0000\u00FF[[`},
		'endless in a chunk size': {start: chunkedHead, piece: '0'.repeat(10_000)},
		'endless in a chunk extension': {start: `${chunkedHead}1;`, piece: 'a'.repeat(10_000)},
		'trickled in a chunk size': {start: chunkedHead, piece: '0'},
		'cut in a chunk size': {start: `${chunkedHead}1`, end: 'close'},
		'reset in a chunk size': {start: `${chunkedHead}1`, end: 'reset'},
		'garbled in a chunk size': {start: `${chunkedHead}xyz\r\n`},
	};
}

/** Sends one hostile request. */
export class HostileCaller {
	readonly #request: HostileRequest;
	readonly #socket: net.Socket;
	#received = '';

	constructor(request: HostileRequest, port: number) {
		this.#request = request;
		this.#socket = net.connect(port, host, () => {
			this.#begin();
		});
		this.#socket.setEncoding('latin1').on('data', (data: string) => {
			this.#received += data;
		});
		this.#socket.on('error', () => {
			// The server may reset the connection.
		});
	}

	/** Bytes that the server sent. */
	get received(): string {
		return this.#received;
	}

	/** Sends pieces while virtual time advances, until the connection is closed or the time is over. Returns whether it is closed. */
	async sendUntilClosed(clock: VirtualClock, limitMs: number): Promise<boolean> {
		for (let elapsedMs = 0; elapsedMs <= limitMs && !this.#socket.closed; elapsedMs += stepMs) {
			for (let turn = 0; turn < turnsPerStep; turn += 1) {
				await nextTurn();
			}

			if (this.#socket.writable) {
				this.#socket.write(this.#request.piece ?? '', 'latin1');
			}

			await clock.runFor(stepMs);
		}

		return this.#socket.closed;
	}

	/** Ends the connection. */
	dispose(): void {
		this.#socket.destroy();
	}

	#begin(): void {
		const {start, end} = this.#request;
		this.#socket.write(start, 'latin1', () => {
			if (end === 'close') {
				this.#socket.end();
			} else if (end === 'reset') {
				this.#socket.resetAndDestroy();
			}
		});
	}
}
