/** JSON texts over a socket, one in each line. */
import type net from 'node:net';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {ProtocolError} from '@mulberrypitch/errors/catalogue';
import {LineSplitter} from './line-splitter.js';

/** Maximum number of characters of a line. */
const maxFrameLength = 8 * 1024 * 1024;
/** Number of bytes that may wait for a peer to read them before the process takes further calls from it. */
const maxUnreadBytes = 8 * 1024 * 1024;

/**
Returns the lines that a socket receives. Closes the socket when a line is too long.

@example
```
for await (const line of createLineReader(socket)) { … }
```
*/
export function createLineReader(socket: net.Socket): AsyncIterable<string> {
	const lines = new LineSplitter(maxFrameLength);
	lines.on('error', () => {
		socket.destroy();
	});
	socket.once('close', () => {
		lines.destroy();
	});
	return socket.pipe(lines);
}

/**
Sends a message as one line.

@example
```
writeLine(socket, {nonce});
```
*/
export function writeLine(socket: net.Socket, message: unknown): void {
	socket.write(JSON.stringify(message) + '\n');
}

/**
Waits while the peer does not read what was sent to it, so that little of it has to be held.

@example
```
await waitForReader(socket);
```
*/
export async function waitForReader(socket: net.Socket): Promise<void> {
	if (socket.destroyed || socket.writableLength <= maxUnreadBytes) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			socket.off('drain', finish);
			socket.off('close', finish);
			resolve();
		};

		socket.on('drain', finish);
		socket.on('close', finish);
	});
}

/**
Parses a line. Throws `ProtocolError` when it is not JSON.

@example
```
const request = parseLine<JSONRPCRequest>(line);
```
*/
export function parseLine<Message>(line: string): Message {
	try {
		return assumeType<Message>(JSON.parse(line));
	} catch {
		throw new ProtocolError('A line is not JSON.');
	}
}
