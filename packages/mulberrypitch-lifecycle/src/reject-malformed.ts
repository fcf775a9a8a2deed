/** Answers bytes that an HTTP server can't take for a request. */
import type {Duplex} from 'node:stream';

/** Code of the error of a head that is longer than the server's limit. */
const headOverflow = 'HPE_HEADER_OVERFLOW';

/**
Replies to bytes that are not a valid request, and closes the connection.

@example
```
server.on('clientError', rejectMalformed);
```
*/
export function rejectMalformed(error: Error & {readonly code?: string}, socket: Duplex): void {
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	const status = error.code === headOverflow ? '431 Request Header Fields Too Large' : '400 Bad Request';
	socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
