/** Timeouts for promises. */
import {abortReason} from './abort-reason.js';
import {Deferred} from './background.js';
import type {Clock} from './clock.js';

/**
Returns the value of a promise, or throws the error that `createError` returns when the promise takes longer than `limitMs`.
The operation behind the promise is not cancelled.

@example
```
const reply = await withTimeout(clock, call(), 500, () => new TimeoutError('The peer', 500));
```
*/
export async function withTimeout<Value>(clock: Clock, promise: Promise<Value>, limitMs: number, createError: () => Error): Promise<Value> {
	const controller = new AbortController();
	const timeout = new Deferred<never>();
	void (async () => {
		await clock.sleep(limitMs, controller.signal);
		if (!controller.signal.aborted) {
			timeout.reject(createError());
		}
	})();

	try {
		return await Promise.race([promise, timeout.promise]);
	} finally {
		controller.abort(abortReason);
	}
}
