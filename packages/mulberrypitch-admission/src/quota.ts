/** The part of limits and slots that one host may use. */

/** Splits what all hosts share. */
export type Quota = {
	/** Gives this host's part of a number of slots or of a limit; at least one. The key names what is split. */
	getPart(key: string, total: number): number;
};

/** One host among those that share. */
export type Membership = {
	/** Hosts that take requests; at least one. */
	readonly hosts: number;
	/** Place of this host among them, from zero. */
	readonly rank: number;
};

/**
Splits evenly over the hosts with a session. The parts add up to the total when there are no more hosts than that.

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
Gives the membership of a host among the names of all.

@example
```
getMembership(['b', 'a'], 'b'); // {hosts: 2, rank: 1}
```
*/
export function getMembership(hosts: readonly string[], host: string): Membership {
	const sorted = hosts.toSorted((left, right) => left.localeCompare(right));
	return {hosts: Math.max(1, sorted.length), rank: Math.max(0, sorted.indexOf(host))};
}
