/** Answers bytes that an HTTP server can't take for a request. */
import type {Duplex} from 'node:stream';
import {assumeType} from '@mulberrypitch/errors/assume-type';

/** Code of the error of a head that is longer than the server's limit. */
const headOverflow = 'HPE_HEADER_OVERFLOW';

/** Fields that the HTTP server of Node.js keeps with a socket. */
type ServerSocket = {
	/** The response in progress, begun or not; absent if there is none. Node.js has no public name for it. */
	readonly _httpMessage?: unknown;
};

/**
Replies to bytes that are not a valid request, and closes the connection. While another request of the connection is in progress, it is only
closed, since the caller would take the reply for a part of that response.

@example
```
server.on('clientError', rejectMalformed);
```
*/
export function rejectMalformed(error: Error & {readonly code?: string}, socket: Duplex): void {
	const isAnswering = Boolean(assumeType<ServerSocket>(socket)._httpMessage);
	if (!socket.writable || isAnswering) {
		socket.destroy();
		return;
	}

	const status = error.code === headOverflow ? '431 Request Header Fields Too Large' : '400 Bad Request';
	socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
