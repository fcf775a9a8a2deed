/** Model of client-side service discovery, for load tests: a caller looks up the address of an entry host, reuses it for a while and looks up again. */
import type {HostDemand} from '@mulberrypitch/admission/demand-quota';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';

/** Model of the callers: how many there are and how they choose an entry host. */
export type CallerModel = {
	/** Number of callers. */
	readonly callers: number;
	/** Time in milliseconds for which a caller reuses its entry host. */
	readonly keepMs: number;
	/** A caller chooses at random among this many least loaded entry hosts, at most the number of entry hosts; among all of them when absent. */
	readonly shortListLength?: number;
};

/** The entry host that a caller reuses until a point in time. */
type KeptEntry = {
	/** Index of the entry host. */
	readonly entry: number;
	/** Time in milliseconds after which the caller looks up again. */
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

	/**
	Chooses a caller at random for the next request and returns the index of its entry host. A quarter of the callers sends half of the
	requests.
	*/
	next(hosts: readonly HostDemand[], entryCount: number): number {
		const {callers, keepMs} = this.#model;
		const caller = Math.floor(callers * (this.#random.next() ** 2));
		const now = this.#clock.now();
		let kept = this.#keptEntries.get(caller);
		if (kept === undefined || kept.expiresAt < now) {
			kept = {entry: this.#resolveEntry(hosts, entryCount), expiresAt: now + keepMs};
			this.#keptEntries.set(caller, kept);
		}

		return kept.entry;
	}

	#resolveEntry(hosts: readonly HostDemand[], entryCount: number): number {
		const length = this.#model.shortListLength ?? entryCount;
		const ranked = Array.from({length: entryCount}, (_, index) => index)
			.toSorted((left, right) => getTotalDemand(hosts[left]) - getTotalDemand(hosts[right]));
		return ranked[Math.floor(this.#random.next() * length)]!;
	}
}

/**
Returns the demand of the host with the largest demand, divided by the mean of all hosts; 1 when there is no demand.

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

/** Returns the total demand of a host; zero when unknown. Each request counts twice, for its service and for its customer, which doesn't affect comparisons. */
function getTotalDemand(host: HostDemand | undefined): number {
	return Object.values(host?.demand ?? {}).reduce((sum, value) => sum + value, 0);
}
