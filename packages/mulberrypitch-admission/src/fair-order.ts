/**
A queue of waiting requests: fair between customers, usually short answers before long ones, and by latest start time within a class of
one customer. Long answers go first while they use few slots or when one is urgent. A slot is the capacity of a service's back ends to
run one request.
*/

/** A request for a long answer is preferred to short ones when its `latestStart` is less than this time away, in milliseconds. */
const urgentSlackMs = 3000;

/** A request that waits for a slot. */
export type WaitingRequest = {
	readonly customer: string;
	/** Weight of the customer in the fair order, not a fraction. */
	readonly share: number;
	/** Number of requests of the customer that may run on this host at once. */
	readonly limit: number;
	readonly isShort: boolean;
	/** Expected time that the request occupies a slot, in milliseconds. */
	readonly costMs: number;
	/** Monotonic time in milliseconds after which the request can't finish before its deadline. */
	readonly latestStart: number;
};

/** The waiting requests of one class (short or long answers) of one customer. */
type ClassQueue<Item> = {
	/** Sorted by `latestStart`, the earliest first. */
	readonly items: Item[];
	/**
	Slot time used by this class, in milliseconds, divided by the customer's share. A request is charged its expected slot time when it
	starts, which is corrected to the time used when it ends. When a request arrives while none of this class of the customer waits, the
	value is raised to the class's entry in `VirtualTimes`.
	*/
	virtualTime: number;
};

/** For each class, in milliseconds, the lowest virtual time that a customer's empty queue of that class gets when a request arrives. */
type VirtualTimes = {
	short: number;
	long: number;
};

type RequestClass = keyof VirtualTimes;

/** The waiting requests of one customer, and its number of running requests. */
type CustomerQueue<Item> = {
	readonly customer: string;
	share: number;
	limit: number;
	inFlight: number;
	readonly short: ClassQueue<Item>;
	readonly long: ClassQueue<Item>;
};

/** Current time, use of the host's slots by long answers, and the limits of that use. */
export type SlotState = {
	/** Monotonic time in milliseconds. */
	readonly now: number;
	/** Long answers start before short ones while they use fewer slots than this. */
	readonly longFloor: number;
	/** Maximum number of slots that long answers may use. */
	readonly longCeiling: number;
	readonly longInFlight: number;
};

/**
Start-time fair queueing with one queue for each customer and class. Each class has its own virtual time, so that a customer's
long answers don't delay its short ones.

@example
```
queue.add(waiting);
const next = queue.take(state);
```
*/
export class FairQueue<Item extends WaitingRequest> {
	readonly #customerQueues = new Map<string, CustomerQueue<Item>>();
	readonly #virtualTime: VirtualTimes = {short: 0, long: 0};
	#size = 0;

	/** Number of waiting requests. */
	get size(): number {
		return this.#size;
	}

	/** Number of requests that run or wait, by customer. */
	get demands(): ReadonlyMap<string, number> {
		return new Map([...this.#customerQueues].map(([customer, customerQueue]) => [customer, customerQueue.inFlight + getWaitingCount(customerQueue)]));
	}

	/** Adds a request that waits. */
	add(item: Item): void {
		const requestClass = getRequestClass(item);
		const classQueue = this.#getCustomerQueue(item)[requestClass];
		if (classQueue.items.length === 0) {
			// A class of a customer gets no precedence for the time in which none of its requests waited.
			classQueue.virtualTime = Math.max(classQueue.virtualTime, this.#virtualTime[requestClass]);
		}

		const index = classQueue.items.findLastIndex(other => other.latestStart <= item.latestStart);
		classQueue.items.splice(index + 1, 0, item);
		this.#size += 1;
	}

	/** Removes a waiting request. Returns whether it was waiting. */
	remove(item: Item): boolean {
		const customerQueue = this.#customerQueues.get(item.customer);
		const items = customerQueue?.[getRequestClass(item)].items ?? [];
		const index = items.indexOf(item);
		if (index === -1) {
			return false;
		}

		items.splice(index, 1);
		this.#size -= 1;
		this.#removeIfIdle(customerQueue!);
		return true;
	}

	/** Removes and returns the request to run next, or `undefined` when none may run. */
	take(state: SlotState): Item | undefined {
		const item = this.#chooseNext(state);
		if (item === undefined) {
			return undefined;
		}

		const customerQueue = this.#customerQueues.get(item.customer)!;
		const requestClass = getRequestClass(item);
		const classQueue = customerQueue[requestClass];
		customerQueue.inFlight += 1;
		this.#virtualTime[requestClass] = Math.max(this.#virtualTime[requestClass], classQueue.virtualTime);
		classQueue.virtualTime += item.costMs / customerQueue.share;
		classQueue.items.shift();
		this.#size -= 1;
		return item;
	}

	/**
	Removes and returns the first short request that may run, by the order of the virtual times at which the customers' first requests would end;
	`undefined` if none may. `tryStart` is asked once for each request until it returns true, and for `maxTries` requests of a customer at most. The
	request counts as ended at once, with its expected time.
	*/
	takeWhere(tryStart: (item: Item) => boolean, maxTries: number): Item | undefined {
		const getEnd = ({short, share}: CustomerQueue<Item>) => short.virtualTime + (short.items[0]!.costMs / share);
		const customerQueues = [...this.#customerQueues.values()].filter(({short}) => short.items.length > 0);
		for (const customerQueue of customerQueues.toSorted((left, right) => getEnd(left) - getEnd(right) || right.share - left.share)) {
			const {short, share} = customerQueue;
			const item = short.items.slice(0, maxTries).find(candidate => tryStart(candidate));
			if (item !== undefined) {
				this.#virtualTime.short = Math.max(this.#virtualTime.short, short.virtualTime);
				short.virtualTime += item.costMs / share;
				this.remove(item);
				return item;
			}
		}

		return undefined;
	}

	/** Records the end of a request that was taken, and corrects the customer's virtual time by the slot time that was really used. */
	finish(item: Item, usedMs: number): void {
		const customerQueue = this.#customerQueues.get(item.customer)!;
		customerQueue.inFlight -= 1;
		customerQueue[getRequestClass(item)].virtualTime += (usedMs - item.costMs) / customerQueue.share;
		this.#removeIfIdle(customerQueue);
	}

	/**
	Returns the expected slot time of the waiting requests that start before a new one, in milliseconds. A short request counts only
	short ones, a long request counts both classes. The result is the smaller of two sums: the slot time of all counted requests, and
	the slot time that all customers with such requests get, in proportion to their shares, while the new request's customer gets
	enough for its own requests and the new one.
	*/
	getWorkBefore(item: Item): number {
		let activeShares = item.share;
		let total = 0;
		for (const customerQueue of this.#customerQueues.values()) {
			const work = getWaitingWorkMs(customerQueue, item.isShort);
			total += work;
			activeShares += work > 0 && customerQueue.customer !== item.customer ? customerQueue.share : 0;
		}

		const customerQueue = this.#customerQueues.get(item.customer);
		const own = customerQueue === undefined ? 0 : getWaitingWorkMs(customerQueue, item.isShort);
		return Math.min(total, (own + item.costMs) * activeShares / item.share);
	}

	/**
	Returns the request to evict from a full queue in favour of the given one. It is taken from the customer with the highest
	number of waiting requests divided by its share: its last long request, or its last short one if no long one waits. Returns
	`undefined` when that customer is the given request's own. Also returns `undefined` when the given request's customer, with
	that request counted, has at least as many waiting requests divided by its share.
	*/
	findEvictionCandidate(item: Item): Item | undefined {
		let largest: CustomerQueue<Item> | undefined;
		for (const customerQueue of this.#customerQueues.values()) {
			largest = largest === undefined || getWaitingPerShare(customerQueue) > getWaitingPerShare(largest) ? customerQueue : largest;
		}

		const own = this.#customerQueues.get(item.customer);
		if (largest === undefined || largest === own || getWaitingPerShare(largest) <= ((own === undefined ? 0 : getWaitingCount(own)) + 1) / item.share) {
			return undefined;
		}

		return largest.long.items.at(-1) ?? largest.short.items.at(-1);
	}

	/** Returns the request to run next without removing it. */
	#chooseNext({now, longFloor, longCeiling, longInFlight}: SlotState): Item | undefined {
		const long = longInFlight < longCeiling ? this.#getNext('long') : undefined;
		const shouldStartLong = long !== undefined && (longInFlight < longFloor || long.latestStart - now < urgentSlackMs);
		return shouldStartLong ? long : this.#getNext('short') ?? long;
	}

	/** Returns the first request of a class from the runnable customer with the lowest virtual time. */
	#getNext(requestClass: RequestClass): Item | undefined {
		let leastServed: CustomerQueue<Item> | undefined;
		for (const customerQueue of this.#customerQueues.values()) {
			const isRunnable = customerQueue[requestClass].items.length > 0 && customerQueue.inFlight < customerQueue.limit;
			if (isRunnable && (leastServed === undefined || customerQueue[requestClass].virtualTime < leastServed[requestClass].virtualTime)) {
				leastServed = customerQueue;
			}
		}

		return leastServed?.[requestClass].items[0];
	}

	#getCustomerQueue(item: Item): CustomerQueue<Item> {
		let customerQueue = this.#customerQueues.get(item.customer);
		if (customerQueue === undefined) {
			customerQueue = {
				customer: item.customer, share: item.share, limit: item.limit, inFlight: 0, short: {items: [], virtualTime: 0}, long: {items: [], virtualTime: 0},
			};
			this.#customerQueues.set(item.customer, customerQueue);
		}

		customerQueue.share = item.share;
		customerQueue.limit = item.limit;
		return customerQueue;
	}

	/** Removes an idle customer, unless one of its classes has a higher virtual time than the queue has for that class: the slot time that it used would be forgotten. */
	#removeIfIdle(customerQueue: CustomerQueue<Item>): void {
		const isAhead = customerQueue.short.virtualTime > this.#virtualTime.short || customerQueue.long.virtualTime > this.#virtualTime.long;
		if (customerQueue.inFlight === 0 && getWaitingCount(customerQueue) === 0 && !isAhead) {
			this.#customerQueues.delete(customerQueue.customer);
		}
	}
}

function getWaitingCount<Item>(customerQueue: CustomerQueue<Item>): number {
	return customerQueue.short.items.length + customerQueue.long.items.length;
}

function getWaitingPerShare<Item>(customerQueue: CustomerQueue<Item>): number {
	return getWaitingCount(customerQueue) / customerQueue.share;
}

/** Returns the expected slot time of a customer's waiting requests, of short ones only or of both classes. */
function getWaitingWorkMs<Item extends WaitingRequest>(customerQueue: CustomerQueue<Item>, isShort: boolean): number {
	const items = isShort ? customerQueue.short.items : [...customerQueue.short.items, ...customerQueue.long.items];
	return items.reduce((sum, item) => sum + item.costMs, 0);
}

function getRequestClass(item: WaitingRequest): RequestClass {
	return item.isShort ? 'short' : 'long';
}
