/** Records the outcomes of attempts for the outlier detection of back ends. */
import {getStatus, type AttemptOutcome} from './attempt-outcome.js';
import type {KnownBackend} from './known-backend.js';
import {misdirectedStatus} from './types.js';

/** Status with which a back end rejects a request when it has no free slot, or too little time for the request. */
const fullStatus = 503;

/**
Records an outcome for the back end's outlier detection. Returns whether the back end was ejected.

@example
```
const isEjected = recordResult(backend, outcome);
```
*/
export function recordResult(backend: KnownBackend, outcome: AttemptOutcome): boolean {
	const isTurnedAway = getStatus(outcome) === fullStatus;
	if (isTurnedAway && backend.isPaused) {
		// Asking for a pause is no failure: the back end gets nothing until its end, and as much as before then.
		return false;
	}

	if (outcome.kind === 'abandoned') {
		// The caller left before the end, so whether the back end would have answered is not known.
		return false;
	}

	return outcome.kind === 'notRun' ? recordNotRun(backend, outcome.status) : backend.recordResult(isGoodOutcome(outcome));
}

/**
Reports whether an outcome speaks for the back end.

@example
```
if (!isGoodOutcome(outcome)) {
	log(outcome);
}
```
*/
export function isGoodOutcome({kind}: AttemptOutcome): boolean {
	return kind === 'delivered' || kind === 'abandoned';
}

/** Records that a back end did not run a request. Returns whether the back end was ejected. */
function recordNotRun(backend: KnownBackend, status: number | undefined): boolean {
	if (status === misdirectedStatus) {
		backend.markMisdirected();
		return true;
	}

	const isFull = status === fullStatus && backend.load >= backend.slots;
	if (status === fullStatus) {
		backend.markFull();
	}

	// A back end that has free slots but rejects requests is unhealthy.
	return !isFull && backend.recordResult(false);
}
