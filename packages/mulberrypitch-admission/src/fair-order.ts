/** The order of waiting requests: fair between customers, short answers before long ones, deadlines within. */

const urgentMs = 3000;

/** One request that waits. */
export type Waiting = {
	readonly customer: string;
	readonly share: number;
	/** Requests of the customer that may run on this host. */
	readonly limit: number;
	readonly isShort: boolean;
	/** Expected time in a slot, in milliseconds. */
	readonly costMs: number;
	/** Time after which it can't finish before its deadline. */
	readonly latestStart: number;
};

/** One class of requests of one customer. */
type Line<Item> = {
	/** Earliest deadline first. */
	readonly items: Item[];
	/** Service received in this class, divided by the share. */
	virtualTime: number;
};

/** Virtual time of the class, by which customers that were idle begin. */
type ClassTime = {
	short: number;
	long: number;
};

type LineName = keyof ClassTime;

type Lane<Item> = {
	readonly customer: string;
	share: number;
	limit: number;
	inFlight: number;
	readonly short: Line<Item>;
	readonly long: Line<Item>;
};

/** Slots of the host and how long answers use them. */
export type Usage = {
	readonly now: number;
	/** Slots that long answers get before short ones. */
	readonly longFloor: number;
	/** Slots that long answers may use at most. */
	readonly longCeiling: number;
	readonly longInFlight: number;
};

/**
Start-time fair queueing with one lane for each customer and virtual times for each class, so that a customer's documents
don't hold up its short answers.

@example
```
order.add(waiting);
const next = order.take(usage);
```
*/
export class FairOrder<Item extends Waiting> {
	readonly #lanes = new Map<string, Lane<Item>>();
	readonly #virtualTime: ClassTime = {short: 0, long: 0};
	#size = 0;

	/** Requests that wait. */
	get size(): number {
		return this.#size;
	}

	/** Requests that run or wait, by customer. */
	get demands(): ReadonlyMap<string, number> {
		return new Map([...this.#lanes].map(([customer, lane]) => [customer, lane.inFlight + getCount(lane)]));
	}

	add(item: Item): void {
		const name = getLineName(item);
		const line = this.#getLane(item)[name];
		if (line.items.length === 0) {
			// A customer that was idle gets no credit for it.
			line.virtualTime = Math.max(line.virtualTime, this.#virtualTime[name]);
		}

		const index = line.items.findLastIndex(other => other.latestStart <= item.latestStart);
		line.items.splice(index + 1, 0, item);
		this.#size += 1;
	}

	/** Removes a request that waits. Tells whether it did. */
	remove(item: Item): boolean {
		const lane = this.#lanes.get(item.customer);
		const items = lane?.[getLineName(item)].items ?? [];
		const index = items.indexOf(item);
		if (index === -1) {
			return false;
		}

		items.splice(index, 1);
		this.#size -= 1;
		this.#dropIdle(lane!);
		return true;
	}

	/** Takes the request that runs next, if one may run. */
	take(usage: Usage): Item | undefined {
		const item = this.#choose(usage);
		if (item === undefined) {
			return undefined;
		}

		const lane = this.#lanes.get(item.customer)!;
		const name = getLineName(item);
		const line = lane[name];
		lane.inFlight += 1;
		this.#virtualTime[name] = Math.max(this.#virtualTime[name], line.virtualTime);
		line.virtualTime += item.costMs / lane.share;
		line.items.shift();
		this.#size -= 1;
		return item;
	}

	/** Ends a request that was taken, and charges the customer what it really used. */
	finish(item: Item, usedMs: number): void {
		const lane = this.#lanes.get(item.customer)!;
		lane.inFlight -= 1;
		lane[getLineName(item)].virtualTime += (usedMs - item.costMs) / lane.share;
		this.#dropIdle(lane);
	}

	/** Gives the expected work before a new request, in milliseconds of one slot. */
	getWorkBefore(item: Item): number {
		let activeShares = item.share;
		let total = 0;
		for (const lane of this.#lanes.values()) {
			const work = getWork(lane, item.isShort);
			total += work;
			activeShares += work > 0 && lane.customer !== item.customer ? lane.share : 0;
		}

		const lane = this.#lanes.get(item.customer);
		const own = lane === undefined ? 0 : getWork(lane, item.isShort);
		return Math.min(total, (own + item.costMs) * activeShares / item.share);
	}

	/** Gives the last request of the customer that waits with the most requests for its share, when that is more than the given one's. */
	getExcess(item: Item): Item | undefined {
		let longest: Lane<Item> | undefined;
		for (const lane of this.#lanes.values()) {
			longest = longest === undefined || getExcess(lane) > getExcess(longest) ? lane : longest;
		}

		const own = this.#lanes.get(item.customer);
		if (longest === undefined || longest === own || getExcess(longest) <= ((own === undefined ? 0 : getCount(own)) + 1) / item.share) {
			return undefined;
		}

		return longest.long.items.at(-1) ?? longest.short.items.at(-1);
	}

	#choose({now, longFloor, longCeiling, longInFlight}: Usage): Item | undefined {
		const long = longInFlight < longCeiling ? this.#getFirst('long') : undefined;
		const isLongDue = long !== undefined && (longInFlight < longFloor || long.latestStart - now < urgentMs);
		return isLongDue ? long : this.#getFirst('short') ?? long;
	}

	/** Gives the first request of a class of the customer that has received least for its share. */
	#getFirst(name: LineName): Item | undefined {
		let least: Lane<Item> | undefined;
		for (const lane of this.#lanes.values()) {
			const isRunnable = lane[name].items.length > 0 && lane.inFlight < lane.limit;
			if (isRunnable && (least === undefined || lane[name].virtualTime < least[name].virtualTime)) {
				least = lane;
			}
		}

		return least?.[name].items[0];
	}

	#getLane(item: Item): Lane<Item> {
		let lane = this.#lanes.get(item.customer);
		if (lane === undefined) {
			lane = {
				customer: item.customer, share: item.share, limit: item.limit, inFlight: 0, short: {items: [], virtualTime: 0}, long: {items: [], virtualTime: 0},
			};
			this.#lanes.set(item.customer, lane);
		}

		lane.share = item.share;
		lane.limit = item.limit;
		return lane;
	}

	/** Forgets a customer without work, unless it has received more than others. */
	#dropIdle(lane: Lane<Item>): void {
		const isAhead = lane.short.virtualTime > this.#virtualTime.short || lane.long.virtualTime > this.#virtualTime.long;
		if (lane.inFlight === 0 && getCount(lane) === 0 && !isAhead) {
			this.#lanes.delete(lane.customer);
		}
	}
}

function getCount<Item>(lane: Lane<Item>): number {
	return lane.short.items.length + lane.long.items.length;
}

function getExcess<Item>(lane: Lane<Item>): number {
	return getCount(lane) / lane.share;
}

function getWork<Item extends Waiting>(lane: Lane<Item>, isShort: boolean): number {
	const items = isShort ? lane.short.items : [...lane.short.items, ...lane.long.items];
	return items.reduce((sum, item) => sum + item.costMs, 0);
}

function getLineName(item: Waiting): LineName {
	return item.isShort ? 'short' : 'long';
}
