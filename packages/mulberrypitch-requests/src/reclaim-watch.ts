/** Detects back ends that are being reclaimed, plans the reclaim of each, and moves the requests that this host runs there. */
import type {ReclaimPolicy} from '@mulberrypitch/config/types';
import type {ControlClient} from '@mulberrypitch/control/control-client';
import type {BackendServer} from '@mulberrypitch/control/types';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {planReclaim, reclaimChoices} from './reclaim-planner.js';
import type {RequestHolder} from './request-holder.js';

/** Interval of the checks for back ends that are leaving, in milliseconds. */
const watchIntervalMs = 100;
/** Estimated time to transfer the KV cache of one token, in milliseconds. */
const transferMsPerToken = 0.05;
/** Estimated time to recompute one token, in milliseconds. */
const recomputeMsPerToken = 0.5;
/** Time before the end of the notice at which the requests that still run on the back end are aborted there, in milliseconds. */
const resumeMarginMs = 300;

/** Dependencies of a `ReclaimWatch`. */
export type ReclaimWatchOptions = {
	readonly control: ControlClient;
	readonly clock: Clock;
	/** Returns the holders of all requests of this host. */
	readonly getHolders: () => readonly RequestHolder[];
	readonly getPolicy: () => ReclaimPolicy;
};

/**
Plans the reclaim of each back end once, and carries out the plan.

@example
```
await new ReclaimWatch({control, clock, getHolders, getPolicy}).run(signal);
```
*/
export class ReclaimWatch {
	readonly #options: ReclaimWatchOptions;
	/** Incarnations of the back ends whose reclaim has been planned. */
	readonly #planned = new Set<string>();

	constructor(options: ReclaimWatchOptions) {
		this.#options = options;
	}

	/** Checks for reclaims until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {control, clock} = this.#options;
		while (!signal.aborted) {
			const leaving = control.backends.filter(backend => backend.isLeaving);
			for (const backend of leaving.filter(({incarnation}) => !this.#planned.has(incarnation))) {
				this.#planned.add(backend.incarnation);
				void this.#executePlan(backend, signal);
			}

			await clock.sleep(watchIntervalMs, signal);
		}
	}

	/** Plans one reclaim, moves KV caches one after the other, and aborts the remaining requests shortly before the end of the notice. */
	async #executePlan(backend: BackendServer, signal: AbortSignal): Promise<void> {
		const {clock, getHolders, getPolicy} = this.#options;
		const leavesAt = backend.leavesAt ?? clock.wallTime();
		const holders = getHolders().filter(holder => holder.backend?.incarnation === backend.incarnation);
		const decisions = planReclaim({
			requests: holders.map(holder => holder.getProgress()),
			noticeMs: leavesAt - clock.wallTime(),
			room: backend.capabilities.movesCache ? this.#getImportCapacity(backend) : 0,
			transferMsPerToken,
			recomputeMsPerToken,
			policy: getPolicy(),
		});
		for (const {requestId} of decisions.filter(({choice}) => choice === reclaimChoices.move)) {
			await holders.find(holder => holder.requestId === requestId)!.moveCache(backend);
		}

		await clock.sleep(leavesAt - resumeMarginMs - clock.wallTime(), signal);
		for (const holder of holders) {
			holder.leaveBackend(backend);
		}
	}

	/** Returns this host's even share of the slots of the other back ends that can import KV caches of a back end: same services and version. */
	#getImportCapacity({services, id, version}: BackendServer): number {
		const {control} = this.#options;
		const slots = control.backends
			.filter(backend => backend.id !== id && backend.version === version && !backend.isLeaving && backend.capabilities.movesCache)
			.filter(backend => backend.services.some(service => services.includes(service)))
			.reduce((sum, backend) => sum + backend.capabilities.slots, 0);
		return Math.ceil(slots / Math.max(1, control.sessions.length));
	}
}
