/** Opens a connection to a back end for a request, which waits for it until its deadline at the longest. */
import {codes, TimeoutError} from '@mulberrypitch/errors/catalogue';
import {hasCode} from '@mulberrypitch/errors/coded-error';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {withTimeout} from '@mulberrypitch/lifecycle/with-timeout';
import type {BackendConnection} from './backend-connection.js';
import type {KnownBackend} from './known-backend.js';

/** What a request needs of its connection. */
export type ConnectionNeeds = {
	readonly clock: Clock;
	/** Monotonic time in milliseconds. */
	readonly deadlineAt: number;
	/** Connections that have carried the request before. */
	readonly used: ReadonlySet<BackendConnection>;
};

/**
Resolves with a connection to a back end that has not carried the request before: what is left there of an earlier response can't be told from
the next one. Throws `TimeoutError` at the deadline, and closes a connection that comes later.

@example
```
const connection = await connectInTime(backend, {clock, deadlineAt, used});
```
*/
export async function connectInTime(backend: KnownBackend, {clock, deadlineAt, used}: ConnectionNeeds): Promise<BackendConnection> {
	const leftMs = deadlineAt - clock.now();
	const connecting = backend.connect(used);
	try {
		return await withTimeout(clock, connecting, leftMs, () => new TimeoutError(backend.id, leftMs));
	} catch (error) {
		if (hasCode(error, codes.timeout)) {
			void destroyLate(connecting);
		}

		throw error;
	}
}

async function destroyLate(connecting: Promise<BackendConnection>): Promise<void> {
	try {
		const connection = await connecting;
		connection.destroy();
	} catch {
		// The request has ended, and the back end was not reached: there is nothing to close.
	}
}
