/** Ends an attempt at the deadline of its request. */
import type {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {ResponseRelay} from './response-relay.js';

/** What the end of an attempt depends on. */
export type AttemptDeadline = {
	readonly clock: Clock;
	/** Monotonic time in milliseconds by which the caller gets its final response. */
	readonly deadlineAt: number;
	readonly relay: ResponseRelay;
};

/**
Resolves the outcome of an attempt with a timeout at its deadline, unless the signal aborts before.

@example
```
void enforceDeadline(done, options, timerAbort.signal);
```
*/
export async function enforceDeadline(done: Deferred<AttemptOutcome>, {clock, deadlineAt, relay}: AttemptDeadline, signal: AbortSignal): Promise<void> {
	await clock.sleep(deadlineAt - clock.now(), signal);
	if (!signal.aborted) {
		done.resolve({kind: 'timeout', hasStarted: relay.hasStarted});
	}
}
