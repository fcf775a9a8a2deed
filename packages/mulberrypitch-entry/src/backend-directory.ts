/** Announcements of back ends as one host hears them. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {ControlClient} from '@mulberrypitch/control/control-client';
import type {Announcement} from './types.js';

/** What the directory is made of. */
export type BackendDirectoryOptions = {
	readonly getControl: () => ControlClient;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Passes on what is new and remembers who was heard. */
export class BackendDirectory {
	readonly #options: BackendDirectoryOptions;
	readonly #heard = new Map<string, string>();

	constructor(options: BackendDirectoryOptions) {
		this.#options = options;
	}

	/** Takes one announcement; resolves when what is new in it is committed. */
	async announce(announcement: Announcement): Promise<void> {
		const {logger, getControl, clock} = this.#options;
		const {id, incarnation, kind, leavesInMs, ...facts} = announcement;
		this.#heard.set(id, incarnation);
		const control = getControl();
		const known = control.backends.find(backend => backend.id === id && backend.incarnation === incarnation);
		if (known === undefined && leavesInMs === undefined) {
			await control.propose({
				kind: 'registerBackend', id, incarnation, ...facts, backendKind: kind,
			});
			logger.log(events.backendRegistered, {backend: id, zone: facts.zone});
		}

		if (leavesInMs !== undefined && known?.isLeaving !== true) {
			await control.propose({
				kind: 'leaveBackend', id, incarnation, leavesAt: clock.wallTime() + leavesInMs,
			});
			logger.log(events.backendLeaving, {backend: id});
		}
	}

	/** Gives the back ends heard since the last call. */
	takeHeard(): ReadonlyArray<{id: string; incarnation: string}> {
		const heard = [...this.#heard].map(([id, incarnation]) => ({id, incarnation}));
		this.#heard.clear();
		return heard;
	}
}
