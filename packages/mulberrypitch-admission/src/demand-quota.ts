/** Splits shared limits and numbers of slots between hosts by their demands. */
import type {Quota} from './quota.js';

/** Number of requests that run or wait on a host, by the key of the shared slots or limit. */
export type Demand = Readonly<Record<string, number>>;

/** One of the hosts that share slots and limits. The demand is missing when the host has sent none recently. */
export type HostDemand = {
	readonly name: string;
	readonly demand?: Demand;
};

/**
Splits a total by max-min fairness over the demands that the hosts exchange, and splits the rest evenly. When all hosts know the same
demands, their parts add up to the total, except that each host gets at least one. While new demands are being
exchanged, the sum of the parts can exceed the total.

@example
```
const quota = new DemandQuota('host-1', () => hosts);
quota.getPart('service/advice', 96);
```
*/
export class DemandQuota implements Quota {
	readonly #host: string;
	readonly #getHosts: () => readonly HostDemand[];

	constructor(host: string, getHosts: () => readonly HostDemand[]) {
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

/** Returns each host's unrounded part: its demand up to the fair level, plus an even part of what is left. */
function getExactParts(needs: readonly number[], total: number): number[] {
	const level = getFairLevel(needs, total);
	const bounded = needs.map(need => Math.min(need, level));
	const spare = Math.max(0, total - sum(bounded)) / needs.length;
	return bounded.map(need => need + spare);
}

/** Returns one part as the difference of rounded running sums, so that all rounded parts add up to the total. */
function getRoundedPart(parts: readonly number[], index: number): number {
	const before = sum(parts.slice(0, index));
	return Math.round(before + parts[index]!) - Math.round(before);
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

/** Returns the max-min fair level: the cap on each host's demand at which the capped demands add up to the total, or infinity when all demands fit. */
function getFairLevel(needs: readonly number[], total: number): number {
	let remaining = total;
	const sorted = needs.toSorted((one, other) => one - other);
	for (const [index, need] of sorted.entries()) {
		const level = remaining / (sorted.length - index);
		if (need >= level) {
			return level;
		}

		remaining -= need;
	}

	return Number.POSITIVE_INFINITY;
}
