/**
 * Finds out whether this entry can connect to any back end at all. It can't if connections to several back ends, of each service, have failed for
 * a while and none was opened since. Open connections may live on meanwhile. One back end that is silent, or one service that is down, shows nothing.
 */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {AnnouncedBackend} from '@mulberrypitch/serving/types';

/** Dependencies of the observation. */
export type BackendReachabilityOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** Returns the back ends in use. */
	readonly getServing: () => ReadonlyArray<Pick<AnnouncedBackend, 'id' | 'service'>>;
	/** Reports whether any back end owes this entry a response. */
	readonly isWaiting: () => boolean;
	/** Opens a connection to a back end, and keeps it for a request. Rejects if that fails. */
	readonly probe: (backend: string) => Promise<void>;
};

/** Time in milliseconds without bytes from any back end that owes a response after which connections are probed. */
const quietMs = 400;
/** Time in milliseconds between two rounds of probes, and while bytes still arrive. */
const probeIntervalMs = 250;
const busyProbeIntervalMs = 1000;
/** Number of back ends that are probed in one round. */
const probedBackends = 2;
/** Number of back ends that must have failed; fewer if fewer are in use. */
const minFailed = 3;
/** Time in milliseconds for which no connection must have been opened. A process that was held up for a moment sees several fail at once. */
const minFailingMs = 300;

/** Observes the connections of one entry to back ends. */
export class BackendReachability {
	readonly #options: BackendReachabilityOptions;
	/** Back ends to which a connection has failed since one was last opened. */
	readonly #failed = new Set<string>();
	/** Monotonic time in milliseconds of the first of these failures. */
	#failingSince: number | undefined;
	/** Monotonic time in milliseconds at which bytes last arrived from any back end. */
	#dataAt: number;
	#probedAt = Number.NEGATIVE_INFINITY;
	#isCutOff = false;

	constructor(options: BackendReachabilityOptions) {
		this.#options = options;
		this.#dataAt = options.clock.now();
	}

	/** Whether the entry can connect to no back end. */
	get isCutOff(): boolean {
		return this.#isCutOff;
	}

	/** Records that bytes arrived from a back end. */
	recordData(): void {
		this.#dataAt = this.#options.clock.now();
	}

	/** Records that a connection to a back end was opened. */
	recordConnection(): void {
		this.recordData();
		this.#failed.clear();
		this.#failingSince = undefined;
		if (this.#isCutOff) {
			this.#isCutOff = false;
			this.#options.logger.log(events.backendsReached);
		}
	}

	/** Records that a connection to a back end could not be opened. */
	recordFailure(backend: string): void {
		this.#failed.add(backend);
		this.#failingSince ??= this.#options.clock.now();
		this.#evaluate();
	}

	/** Probes back ends while connections fail, or while nothing comes from those that owe a response. Called several times a second. */
	check(): void {
		const {clock, isWaiting} = this.#options;
		const isQuiet = clock.now() - this.#dataAt >= quietMs;
		const isSuspicious = this.#failed.size > 0 || (isQuiet && isWaiting());
		const intervalMs = isQuiet || this.#isCutOff ? probeIntervalMs : busyProbeIntervalMs;
		if (isSuspicious && clock.now() - this.#probedAt >= intervalMs) {
			this.#probedAt = clock.now();
			this.#probeSome();
		}
	}

	/** Probes the back ends of services of which none has failed first, then others of which no failure is known. */
	#probeSome(): void {
		const serving = this.#options.getServing();
		const failedServices = new Set(serving.filter(({id}) => this.#failed.has(id)).map(({service}) => service));
		const rank = ({id, service}: {readonly id: string; readonly service: string}) => (failedServices.has(service) ? 1 : 0) + (this.#failed.has(id) ? 1 : 0);
		for (const {id} of serving.toSorted((left, right) => rank(left) - rank(right)).slice(0, probedBackends)) {
			void this.#probe(id);
		}
	}

	async #probe(backend: string): Promise<void> {
		try {
			await this.#options.probe(backend);
		} catch {
			// The failure has been recorded where the connection was opened.
		}
	}

	#evaluate(): void {
		const {clock, logger, getServing} = this.#options;
		const serving = getServing();
		const failed = serving.filter(({id}) => this.#failed.has(id));
		const hasAllServices = new Set(failed.map(({service}) => service)).size === new Set(serving.map(({service}) => service)).size;
		const failingForMs = clock.now() - this.#failingSince!;
		if (this.#isCutOff || failed.length === 0 || failed.length < Math.min(minFailed, serving.length) || !hasAllServices || failingForMs < minFailingMs) {
			return;
		}

		this.#isCutOff = true;
		logger.log(events.backendsUnreachable, {failed: failed.length, serving: serving.length, failingForMs: Math.round(failingForMs)});
	}
}
