/** Transfers the KV cache of one request from one engine to another. */
import type {Engine} from '@mulberrypitch/backends/types';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {TimeoutSignal} from './timeout-signal.js';

/** Parameters of one transfer. */
export type CacheMove = {
	readonly engine: Engine;
	readonly clock: Clock;
	readonly requestId: string;
	/** Address of the engine that exports the cache. */
	readonly from: string;
	/** Address of the engine that imports the cache. */
	readonly to: string;
	/** Aborts when this host abandons the request. */
	readonly signal: AbortSignal;
};

/** Timeout of export and import together, in milliseconds. */
const moveTimeoutMs = 5000;

/**
Transfers a KV cache. Returns the number of answer tokens whose cache the importing engine now has, or `undefined` when the transfer failed.

@example
```
const tokens = await moveCache({engine, clock, requestId, from, to, signal});
```
*/
export async function moveCache({engine, clock, requestId, from, to, signal}: CacheMove): Promise<number | undefined> {
	const timeout = new TimeoutSignal(clock, moveTimeoutMs, signal);
	const call = {requestId, signal: timeout.signal};
	try {
		const cache = await engine.exportCache({...call, address: from});
		await engine.importCache({...call, address: to}, cache);
		return cache.tokens;
	} catch {
		// The exporting engine still has the cache after any failure.
		return undefined;
	} finally {
		timeout.cancel();
	}
}
