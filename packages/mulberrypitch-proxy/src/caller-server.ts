/** Creates the HTTP server for callers and applies the configured timeouts to it. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import type {ClientConnections} from '@mulberrypitch/lifecycle/client-connections';
import type {CallerLimits} from '@mulberrypitch/serving/types';

/** Size in bytes beyond which the HTTP parser itself rejects headers; the configured limit is checked afterwards. */
const maxHeaderBytes = 32 * 1024;
/** Limits until the first configuration arrives. */
const defaultLimits: CallerLimits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};
/** Added, in milliseconds, to the configured idle and header timeouts, so that no connection is closed earlier than promised. */
const keepAliveMarginMs = 2000;

/** Handlers of a server for callers. */
export type CallerServerOptions = {
	/** Holds and limits the open connections. */
	readonly connections: ClientConnections;
	readonly onRequest: (request: IncomingMessage, response: ServerResponse) => void;
	readonly onMalformed: (error: Error & {code?: string}, socket: Duplex) => void;
};

/**
Creates a server that has the timeouts of the default limits and does not listen yet.

@example
```
const server = createCallerServer({connections, onRequest, onMalformed});
```
*/
export function createCallerServer({connections, onRequest, onMalformed}: CallerServerOptions): http.Server {
	const server = http.createServer({
		maxHeaderSize: maxHeaderBytes, keepAliveTimeout: defaultLimits.idleTimeoutMs + keepAliveMarginMs, requestTimeout: 0, requireHostHeader: false,
	}, connections.limit(onRequest));
	connections.watch(server);
	server.on('clientError', onMalformed);
	return server;
}

/**
Applies the timeouts of the configured limits, or of the default ones.

@example
```
applyCallerLimits(server, configuration.limits);
```
*/
export function applyCallerLimits(server: http.Server, {idleTimeoutMs, headerTimeoutMs} = defaultLimits): void {
	server.keepAliveTimeout = idleTimeoutMs + keepAliveMarginMs;
	server.headersTimeout = headerTimeoutMs + keepAliveMarginMs;
}
