/** Time limits as abort signals on the clock of the program. */
import {abortReason} from '@mulberrypitch/lifecycle/abort-reason';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** A signal that aborts after a duration, until it is cancelled. */
export class TimeoutSignal {
	readonly signal: AbortSignal;
	readonly #cancellation = new AbortController();

	constructor(clock: Clock, durationMs: number, parent?: AbortSignal) {
		const timeout = new AbortController();
		const parents = parent === undefined ? [] : [parent];
		this.signal = AbortSignal.any([timeout.signal, ...parents]);
		void this.#run(clock, durationMs, timeout);
	}

	/** Stops the time limit; the signal then follows its parent only. */
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
