/** The clock as an interface, so that tests can run on virtual time. */
import {performance} from 'node:perf_hooks';

/** A source of time. Durations and instants are in milliseconds. */
export type Clock = {
	/** Monotonic time, unaffected by changes of the wall clock. */
	now(): number;
	/** Wall-clock time since the Unix epoch. It may jump, so it is only stored and sent as data and never used for leases. */
	wallTime(): number;
	/** Resolves after the duration, or at once when the signal aborts. */
	sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
};

/** The clock of the operating system. */
export class SystemClock implements Clock {
	now(): number {
		return performance.now();
	}

	wallTime(): number {
		return Date.now();
	}

	async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		// `setTimeout` of `node:timers/promises` creates an error at each abort, and most sleeps here are timeouts that get aborted.
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				signal?.removeEventListener('abort', stop);
				resolve();
			}, Math.max(0, durationMs));
			const stop = () => {
				clearTimeout(timer);
				resolve();
			};

			signal?.addEventListener('abort', stop, {once: true});
		});
	}
}
