/** Time as an interface, so that tests run on virtual time. */
import {setTimeout as delay} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';

/** A source of time. Durations and instants are in milliseconds. */
export type Clock = {
	/** Monotonic time, unaffected by changes of the wall clock. */
	now(): number;
	/** Wall time since the Unix epoch; data only, never for leases. */
	wallTime(): number;
	/** Resolves after the duration, or at once when the signal aborts. */
	sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
};

/** The clock of the machine. */
export class SystemClock implements Clock {
	now(): number {
		return performance.now();
	}

	wallTime(): number {
		return Date.now();
	}

	async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
		try {
			await delay(Math.max(0, durationMs), undefined, {signal});
		} catch {
			// An aborted sleep ends early; the caller looks at its signal.
		}
	}
}
