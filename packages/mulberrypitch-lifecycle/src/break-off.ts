/** Closes the connection of an HTTP response that can't be completed. */
import type {ServerResponse} from 'node:http';
import {TLSSocket} from 'node:tls';

/**
Closes the connection so that the receiver can't take the incomplete response for a complete one. When only the end of the
connection may mark the end of the body, as for a caller that speaks HTTP/1.0, the connection is reset.

@example
```
breakOff(response);
```
*/
export function breakOff(response: ServerResponse): void {
	const {socket} = response;
	const endsWithConnection = response.headersSent && response.req.httpVersion === '1.0';
	// A TLS connection can't be reset here. Its receiver notices that the closing message of TLS is missing.
	if (endsWithConnection && socket !== null && !(socket instanceof TLSSocket)) {
		socket.resetAndDestroy();
	}

	response.destroy();
}
