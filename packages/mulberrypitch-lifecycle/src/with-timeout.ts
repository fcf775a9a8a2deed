/** Time limits for promises. */
import {abortReason} from './abort-reason.js';
import {Deferred} from './background.js';
import type {Clock} from './clock.js';

/**
Gives the result of a promise, or throws when it takes longer than the limit in milliseconds. The work behind it goes on.

@example
```
const reply = await withTimeout(clock, call(), 500, () => new TimeoutError('The peer', 500));
```
*/
export async function withTimeout<Value>(clock: Clock, result: Promise<Value>, limitMs: number, createFailure: () => Error): Promise<Value> {
	const controller = new AbortController();
	const timeout = new Deferred<never>();
	void (async () => {
		await clock.sleep(limitMs, controller.signal);
		if (!controller.signal.aborted) {
			timeout.reject(createFailure());
		}
	})();

	try {
		return await Promise.race([result, timeout.promise]);
	} finally {
		controller.abort(abortReason);
	}
}
