/** Logs what a roster changed in an entry's view of the back ends. */
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {BackendChange} from './backend-view.js';

/** Where a roster came from. */
export type RosterSource = {
	/** Address of the coordinator that replied. */
	readonly coordinator: string | undefined;
	/** Whether the coordinator is in contact with a leader and the other coordinators. */
	readonly isInTouch: boolean;
};

/**
Logs each change with the coordinator that told the entry of it.

@example
```
logBackendChanges(logger, backends.apply(roster), {coordinator, isInTouch});
```
*/
export function logBackendChanges(logger: Logger, changes: readonly BackendChange[], source: RosterSource): void {
	for (const {backend: incarnation, kind} of changes) {
		if (kind === 'taken') {
			logger.log(events.backendTaken, {...incarnation, ...source});
		} else {
			logger.log(events.backendDropped, {...incarnation, reason: kind, ...source});
		}
	}
}
