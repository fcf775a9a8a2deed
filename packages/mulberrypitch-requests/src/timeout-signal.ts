/** Abort signals that time out by an injected clock. */
import {abortReason} from '@mulberrypitch/lifecycle/abort-reason';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/**
Provides a signal that aborts after a duration unless the timeout is cancelled, or when the parent signal aborts.

@example
```
const timeout = new TimeoutSignal(clock, 1000, parentSignal);
await doWork(timeout.signal);
timeout.cancel();
```
*/
export class TimeoutSignal {
	/** The signal to pass to the operation. */
	readonly signal: AbortSignal;
	readonly #cancellation = new AbortController();

	constructor(clock: Clock, durationMs: number, parent?: AbortSignal) {
		const timeout = new AbortController();
		const parents = parent === undefined ? [] : [parent];
		this.signal = AbortSignal.any([timeout.signal, ...parents]);
		void this.#run(clock, durationMs, timeout);
	}

	/** Cancels the timeout. The signal then aborts only with its parent. */
	cancel(): void {
		this.#cancellation.abort(abortReason);
	}

	async #run(clock: Clock, durationMs: number, timeout: AbortController): Promise<void> {
		await clock.sleep(durationMs, this.#cancellation.signal);
		if (!this.#cancellation.signal.aborted) {
			timeout.abort(abortReason);
		}
	}
}
