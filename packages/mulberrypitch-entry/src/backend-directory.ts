/** Handles the announcements that back ends send to this host. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {ControlClient} from '@mulberrypitch/control/control-client';
import type {Announcement} from './types.js';

/** Dependencies of a `BackendDirectory`. */
export type BackendDirectoryOptions = {
	readonly getControl: () => ControlClient;
	readonly clock: Clock;
	readonly logger: Logger;
};

/**
Registers new back ends with the control group, records when they will leave, and collects the back ends that announced
themselves.
*/
export class BackendDirectory {
	readonly #options: BackendDirectoryOptions;
	/** Incarnations of the back ends that announced themselves since the last `takeAnnounced()`, by id. */
	readonly #announced = new Map<string, string>();

	constructor(options: BackendDirectoryOptions) {
		this.#options = options;
	}

	/** Handles one announcement. Resolves after a new back end is registered, or the first announcement that it will leave is committed. */
	async announce(announcement: Announcement): Promise<void> {
		const {logger, getControl, clock} = this.#options;
		const {id, incarnation, kind, leavesInMs, ...registration} = announcement;
		this.#announced.set(id, incarnation);
		const control = getControl();
		const known = control.backends.find(backend => backend.id === id && backend.incarnation === incarnation);
		if (known === undefined && leavesInMs === undefined) {
			await control.propose({
				kind: 'registerBackend', id, incarnation, ...registration, backendKind: kind,
			});
			logger.log(events.backendRegistered, {backend: id, zone: registration.zone});
		}

		if (leavesInMs !== undefined && known?.isLeaving !== true) {
			await control.propose({
				kind: 'leaveBackend', id, incarnation, leavesAt: clock.wallTime() + leavesInMs,
			});
			logger.log(events.backendLeaving, {backend: id});
		}
	}

	/** Returns the back ends that announced themselves since the last call, and clears the collection. */
	takeAnnounced(): ReadonlyArray<{id: string; incarnation: string}> {
		const announced = [...this.#announced].map(([id, incarnation]) => ({id, incarnation}));
		this.#announced.clear();
		return announced;
	}
}
