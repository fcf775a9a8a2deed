/** Computes the part of a limit or of a number of slots that one host may use, when all hosts share the total. */

/** Splits limits and slots that all hosts share. */
export type Quota = {
	/** Returns this host's part of a number of slots or of a limit, at least one. The key identifies the slots or limit. */
	getPart(key: string, total: number): number;
};

/** Position of this host among the hosts that share the totals. */
export type Membership = {
	/** Number of hosts that accept requests, at least one. */
	readonly hosts: number;
	/** Index of this host among them, from zero. */
	readonly rank: number;
};

/**
Splits a total evenly over the hosts with a session. The parts add up to the total unless there are more hosts than units, because each
host gets at least one.

@example
```
const quota = new EvenQuota(() => ({hosts: 7, rank: 0}));
quota.getPart('service/advice', 96); // 14
```
*/
export class EvenQuota implements Quota {
	readonly #getMembership: () => Membership;

	constructor(getMembership: () => Membership) {
		this.#getMembership = getMembership;
	}

	getPart(_key: string, total: number): number {
		const {hosts, rank} = this.#getMembership();
		const isRemainder = rank < total % hosts;
		return Math.max(1, Math.floor(total / hosts) + (isRemainder ? 1 : 0));
	}
}

/**
Returns the membership of a host, given the names of all hosts.

@example
```
getMembership(['b', 'a'], 'b'); // {hosts: 2, rank: 1}
```
*/
export function getMembership(hosts: readonly string[], host: string): Membership {
	const sorted = hosts.toSorted((left, right) => left.localeCompare(right));
	return {hosts: Math.max(1, sorted.length), rank: Math.max(0, sorted.indexOf(host))};
}
