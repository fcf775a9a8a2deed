/** Waits for the disk of a replica to accept writes again after its log has failed. The process must then start anew, since memory and disk may differ. */
import {getMessage} from '@mulberrypitch/errors/coded-error';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';

/** Dependencies of the watch. */
export type StorageWatchOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** Reports whether a write of the log has failed. */
	readonly hasFailed: () => boolean;
	/** Makes a test write to the disk. Rejects while the disk accepts no writes. */
	readonly probe: () => Promise<void>;
	/** Called once the disk accepts writes after a failure. */
	readonly onRecovered: () => void;
};

const intervalMs = 300;

/**
Watches the disk until it has recovered from a failure, or until the signal aborts.

@example
```
await watchStorage({clock, logger, hasFailed, probe, onRecovered}, signal);
```
*/
export async function watchStorage({clock, logger, hasFailed, probe, onRecovered}: StorageWatchOptions, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		await clock.sleep(intervalMs, signal);
		if (signal.aborted || !hasFailed()) {
			continue;
		}

		try {
			await probe();
		} catch (error) {
			logger.log(events.storageFailed, {reason: getMessage(error)});
			continue;
		}

		logger.log(events.storageRecovered);
		onRecovered();
		return;
	}
}
