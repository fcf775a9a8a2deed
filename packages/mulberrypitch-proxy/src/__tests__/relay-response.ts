/** Relays one response of a back end to a caller, without the entry around it. For tests. */
import type {ServerResponse} from 'node:http';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import type {AttemptOutcome} from '../attempt-outcome.js';
import {BackendConnection} from '../backend-connection.js';
import {ResponseCollector} from '../response-collector.js';
import {ResponseRelay} from '../response-relay.js';
import {ResponseTiming} from '../response-timing.js';

const host = '127.0.0.1';

/** How the route of a relayed response treats it. */
export type RelayOptions = {
	/** Whether streams may be resumed; not by default. */
	readonly isResumable?: boolean;
	/** Whether the route responds with a stream; it does by default. */
	readonly isStream?: boolean;
	/** Body of the request; none by default. */
	readonly requestBody?: Uint8Array;
};

/**
Sends a request to the back end at a port and relays its response. Closes the caller's connection unless the response was delivered.

@example
```
const outcome = await relayResponse(backendPort, response, {isStream: false});
```
*/
export async function relayResponse(backendPort: number, response: ServerResponse, {isResumable = false, isStream = true, requestBody}: RelayOptions): Promise<AttemptOutcome> {
	const connection = await BackendConnection.open({
		address: `${host}:${backendPort}`,
		connectTimeoutMs: 1000,
		attemptHeader: 'attempt',
		onHead() {
			// The tests read no statements of back ends.
		},
		onClosed() {
			// The tests use no connection pool.
		},
		onIdle() {
			// The tests use no connection pool.
		},
		now: () => 0,
	});
	const relay = new ResponseRelay(response, {
		isResumable,
		timing: new ResponseTiming(new VirtualClock(), 0),
		onStarted() {
			// The response is bound to no version.
		},
		getExtraHeaders: () => [],
	});
	const outcome = await new Promise<AttemptOutcome>(resolve => {
		connection.send(requestBody === undefined ? 'GET / HTTP/1.1\r\n\r\n' : `POST / HTTP/1.1\r\nContent-Length: ${requestBody.length}\r\n\r\n`, requestBody, new ResponseCollector({
			attemptId: undefined,
			isHead: false,
			isStream,
			relay,
			connection,
			attemptHeader: 'attempt',
			signatureHeader: 'signature',
			notRunHeader: 'not-run',
			onBodyBytes() {
				// The tests have no permits.
			},
			onRunning() {
				// The tests count no usage.
			},
			onOutcome: resolve,
		}));
	});
	connection.destroy();
	if (outcome.kind !== 'delivered') {
		relay.cut();
	}

	return outcome;
}
