/** Client-side service discovery of entry hosts: a caller resolves one, reuses it for a while, and resolves again. */
import type {HostDemand} from '@mulberrypitch/admission/demand-quota';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';

/** Callers that reuse a resolved address. */
export type CallerModel = {
	/** Number of callers. */
	readonly callers: number;
	/** Time for which a caller reuses its entry host. */
	readonly keepMs: number;
	/** Number of the least loaded entry hosts that a caller draws from; all of them when absent. */
	readonly shortListLength?: number;
};

type KeptEntry = {
	readonly entry: number;
	readonly expiresAt: number;
};

/** Tracks which entry host each caller uses. */
export class EntryChoice {
	readonly #model: CallerModel;
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #keptEntries = new Map<number, KeptEntry>();

	constructor(model: CallerModel, clock: Clock, random: Random) {
		this.#model = model;
		this.#clock = clock;
		this.#random = random;
	}

	/** Draws the caller of the next request and returns the index of its entry host. A few callers send most requests. */
	next(hosts: readonly HostDemand[], entries: number): number {
		const {callers, keepMs} = this.#model;
		const caller = Math.floor(callers * (this.#random.next() ** 2));
		const now = this.#clock.now();
		let kept = this.#keptEntries.get(caller);
		if (kept === undefined || kept.expiresAt < now) {
			kept = {entry: this.#resolveEntry(hosts, entries), expiresAt: now + keepMs};
			this.#keptEntries.set(caller, kept);
		}

		return kept.entry;
	}

	#resolveEntry(hosts: readonly HostDemand[], entries: number): number {
		const length = this.#model.shortListLength ?? entries;
		const ranked = Array.from({length: entries}, (_, index) => index)
			.toSorted((left, right) => getTotalDemand(hosts[left]) - getTotalDemand(hosts[right]));
		return ranked[Math.floor(this.#random.next() * length)]!;
	}
}

/**
Returns the largest demand of a host, as a multiple of the mean.

@example
```
getImbalance(hosts); // 1.4
```
*/
export function getImbalance(hosts: readonly HostDemand[]): number {
	const totals = hosts.map(host => getTotalDemand(host));
	const mean = totals.reduce((sum, total) => sum + total, 0) / Math.max(1, totals.length);
	return mean === 0 ? 1 : Math.max(...totals) / mean;
}

/** Returns the total demand of a host. Each request counts twice, for its service and for its workspace, which doesn't affect comparisons. */
function getTotalDemand(host: HostDemand | undefined): number {
	return Object.values(host?.demand ?? {}).reduce((sum, value) => sum + value, 0);
}
