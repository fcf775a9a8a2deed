/** Moves the KV cache of one request from one engine to another. */
import type {Engine} from '@mulberrypitch/backends/types';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {TimeoutSignal} from './timeout-signal.js';

/** One move. */
export type CacheMove = {
	readonly engine: Engine;
	readonly clock: Clock;
	readonly requestId: string;
	/** Addresses of the back ends. */
	readonly from: string;
	readonly to: string;
	/** Aborts when the request is given up. */
	readonly signal: AbortSignal;
};

const moveTimeoutMs = 5000;

/**
Moves a cache. Gives the tokens that the second engine holds then, or nothing when the move failed.

@example
```
const tokens = await moveCache({engine, clock, requestId, from, to, signal});
```
*/
export async function moveCache({engine, clock, requestId, from, to, signal}: CacheMove): Promise<number | undefined> {
	const limit = new TimeoutSignal(clock, moveTimeoutMs, signal);
	const call = {requestId, signal: limit.signal};
	try {
		const cache = await engine.exportCache({...call, address: from});
		await engine.importCache({...call, address: to}, cache);
		return cache.tokens;
	} catch {
		// Whatever failed, the first engine still has the cache.
		return undefined;
	} finally {
		limit.cancel();
	}
}
