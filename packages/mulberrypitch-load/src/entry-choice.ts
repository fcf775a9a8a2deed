/** How callers come to their entry host: they ask for one, keep it for a while, and ask again. */
import type {DemandingHost} from '@mulberrypitch/admission/demand-quota';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';

/** Callers that keep an address. */
export type CallerModel = {
	readonly callers: number;
	readonly keepMs: number;
	/** Length of the list of the least loaded entries that a caller draws from; all entries when absent. */
	readonly shortList?: number;
};

type Kept = {
	readonly entry: number;
	readonly until: number;
};

/** The entries that callers use. */
export class EntryChoice {
	readonly #model: CallerModel;
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #kept = new Map<number, Kept>();

	constructor(model: CallerModel, clock: Clock, random: Random) {
		this.#model = model;
		this.#clock = clock;
		this.#random = random;
	}

	/** Draws a caller, a few of which send most, and gives the entry that it uses. */
	next(hosts: readonly DemandingHost[], entries: number): number {
		const {callers, keepMs} = this.#model;
		const caller = Math.floor(callers * (this.#random.next() ** 2));
		const now = this.#clock.now();
		let kept = this.#kept.get(caller);
		if (kept === undefined || kept.until < now) {
			kept = {entry: this.#ask(hosts, entries), until: now + keepMs};
			this.#kept.set(caller, kept);
		}

		return kept.entry;
	}

	#ask(hosts: readonly DemandingHost[], entries: number): number {
		const length = this.#model.shortList ?? entries;
		const ranked = Array.from({length: entries}, (_, index) => index)
			.toSorted((left, right) => getTotal(hosts[left]) - getTotal(hosts[right]));
		return ranked[Math.floor(this.#random.next() * length)]!;
	}
}

/**
Gives the largest demand of a host, as a factor of the mean.

@example
```
getImbalance(hosts); // 1.4
```
*/
export function getImbalance(hosts: readonly DemandingHost[]): number {
	const totals = hosts.map(host => getTotal(host));
	const mean = totals.reduce((sum, total) => sum + total, 0) / Math.max(1, totals.length);
	return mean === 0 ? 1 : Math.max(...totals) / mean;
}

/** Each request counts once for its service and once for its customer, which changes no comparison. */
function getTotal(host: DemandingHost | undefined): number {
	return Object.values(host?.demand ?? {}).reduce((sum, value) => sum + value, 0);
}
