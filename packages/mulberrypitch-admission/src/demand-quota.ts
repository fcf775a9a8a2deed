/** Parts of limits and slots by what each host needs. */
import type {Quota} from './quota.js';

/** Requests that run or wait on a host, by key of what is split. */
export type Demand = Readonly<Record<string, number>>;

/** One host among those that share; without a demand when nothing was heard of it lately. */
export type DemandingHost = {
	readonly name: string;
	readonly demand?: Demand;
};

/**
Splits by max-min fairness over the demands that the hosts told each other, and what is spare evenly. All hosts that know
the same demands compute parts that add up to the total, but for hosts whose part would be below one. While the news is
under way the sum can exceed it.

@example
```
const quota = new DemandQuota('host-1', () => hosts);
quota.getPart('service/advice', 96);
```
*/
export class DemandQuota implements Quota {
	readonly #host: string;
	readonly #getHosts: () => readonly DemandingHost[];

	constructor(host: string, getHosts: () => readonly DemandingHost[]) {
		this.#host = host;
		this.#getHosts = getHosts;
	}

	getPart(key: string, total: number): number {
		const hosts = this.#getHosts().toSorted((left, right) => left.name < right.name ? -1 : 1);
		const evenPart = total / Math.max(1, hosts.length);
		const needs = hosts.map(({demand}) => demand === undefined ? evenPart : demand[key] ?? 0);
		const index = hosts.findIndex(({name}) => name === this.#host);
		return Math.max(1, index === -1 ? Math.floor(evenPart) : getRoundedPart(getExactParts(needs, total), index));
	}
}

/** Gives each host its need up to the fair level, and an even part of what is spare. */
function getExactParts(needs: readonly number[], total: number): number[] {
	const level = getFairLevel(needs, total);
	const bounded = needs.map(need => Math.min(need, level));
	const spare = Math.max(0, total - sum(bounded)) / needs.length;
	return bounded.map(need => need + spare);
}

/** Rounds the running sums, so that the rounded parts add up to the total. */
function getRoundedPart(parts: readonly number[], index: number): number {
	const before = sum(parts.slice(0, index));
	return Math.round(before + parts[index]!) - Math.round(before);
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

/** Gives the largest part that any host may have when none is above its need and all fit. */
function getFairLevel(needs: readonly number[], total: number): number {
	let left = total;
	const sorted = needs.toSorted((one, other) => one - other);
	for (const [index, need] of sorted.entries()) {
		const level = left / (sorted.length - index);
		if (need >= level) {
			return level;
		}

		left -= need;
	}

	return Number.POSITIVE_INFINITY;
}
