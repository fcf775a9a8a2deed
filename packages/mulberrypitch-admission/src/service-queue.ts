/** The admission queue of one service on one host. */
import {abortReason} from '@mulberrypitch/lifecycle/abort-reason';
import PQueue from 'p-queue';
import {DeadlineExceededError, OverloadedError} from '@mulberrypitch/errors/catalogue';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {FairOrder, type SlotUsage, type WaitingRequest} from './fair-order.js';
import {getCustomerKey, getServiceKey} from './keys.js';
import type {Quota} from './quota.js';
import {ServiceTimes} from './service-times.js';
import {SlotDemand} from './slot-demand.js';
import type {AdmissionRequest, Ticket} from './types.js';

/** Maximum number of answer tokens of a request that counts as short. */
const shortAnswerTokens = 256;
/** Slots reserved for short answers, as a multiple of the slots that they use on average. */
const shortHeadroomFactor = 2;
/** Share of the slots up to which long answers start before short ones. */
const longFloorShare = 0.25;

type Entry = WaitingRequest & {
	readonly request: AdmissionRequest;
	readonly started: Deferred<Ticket>;
	/** Aborts when the request no longer waits, which cancels its deadline timer. */
	readonly settled: AbortController;
};

/**
Starts requests in fair order, and rejects early those that can't finish before their deadline.

@example
```
const queue = new ServiceQueue(clock, quota);
const ticket = await queue.acquire(request);
```
*/
export class ServiceQueue {
	readonly #clock: Clock;
	readonly #quota: Quota;
	/** Limits the concurrency of running requests. Their order is decided before they are added. */
	readonly #running = new PQueue();
	readonly #waiting = new FairOrder<Entry>();
	readonly #serviceTimes = new ServiceTimes();
	readonly #shortDemand = new SlotDemand();
	#longInFlight = 0;
	#key = '';
	#capacity = 1;

	constructor(clock: Clock, quota: Quota) {
		this.#clock = clock;
		this.#quota = quota;
		this.#running.on('next', () => {
			this.#startWaiting();
		});
	}

	/** Number of waiting requests. */
	get size(): number {
		return this.#waiting.size;
	}

	/** Number of requests that run or wait. */
	get demand(): number {
		return this.#running.pending + this.#waiting.size;
	}

	/** Number of requests that run or wait, by customer. */
	get customerDemands(): ReadonlyMap<string, number> {
		return this.#waiting.demands;
	}

	/** Recomputes this host's part of the slots, and starts requests that now may run. */
	refresh(): void {
		this.#updateConcurrency();
		this.#startWaiting();
	}

	/** Resolves when the request may run. Throws at once when the request is refused, and later when it can't start in time or is evicted. */
	async acquire(request: AdmissionRequest): Promise<Ticket> {
		this.#key = getServiceKey(request.service);
		this.#capacity = Math.max(1, request.capacity);
		this.#updateConcurrency();
		const entry = this.#createEntry(request);
		if (entry.isShort) {
			this.#shortDemand.add(entry.costMs, this.#clock.now());
		}

		this.#requireFeasibleDeadline(entry);
		this.#enforceQueueLimit(entry);
		this.#waiting.add(entry);
		this.#startWaiting();
		void this.#expire(entry);
		return entry.started.promise;
	}

	#updateConcurrency(): void {
		this.#running.concurrency = this.#quota.getPart(this.#key, this.#capacity);
	}

	#createEntry(request: AdmissionRequest): Entry {
		const {customer, share, maxInFlight, maxTokens, deadline} = request;
		return {
			request,
			customer,
			share,
			limit: this.#quota.getPart(getCustomerKey(customer), maxInFlight),
			isShort: maxTokens <= shortAnswerTokens,
			costMs: this.#serviceTimes.getMean(maxTokens),
			latestStart: deadline - (this.#serviceTimes.getBound(maxTokens) ?? 0),
			started: new Deferred(),
			settled: new AbortController(),
		};
	}

	/** Throws `DeadlineExceededError` when the predicted start of a request is too late for its deadline. */
	#requireFeasibleDeadline(entry: Entry): void {
		const lateMs = this.#clock.now() + this.#predictWaitMs(entry) - entry.latestStart;
		if (lateMs > 0) {
			throw new DeadlineExceededError(`Service ${entry.request.service} can't finish the request before its deadline.`, toSeconds(lateMs));
		}
	}

	#predictWaitMs(entry: Entry): number {
		return this.#running.pending < this.#running.concurrency && this.#waiting.size === 0
			? 0
			: this.#waiting.getWorkBefore(entry) / this.#running.concurrency;
	}

	/** Keeps the queue within its limit: evicts a request of the customer that fills it beyond its share, or refuses the new one. */
	#enforceQueueLimit(entry: Entry): void {
		const {service, queueLimit} = entry.request;
		if (this.#waiting.size < queueLimit) {
			return;
		}

		const error = new OverloadedError(`Service ${service} has ${this.#waiting.size} requests waiting.`, toSeconds(this.#predictWaitMs(entry)));
		const evicted = this.#waiting.findEvictionCandidate(entry);
		if (evicted === undefined) {
			throw error;
		}

		this.#reject(evicted, error);
	}

	/** Rejects a waiting request as soon as it can't finish before its deadline. */
	async #expire(entry: Entry): Promise<void> {
		await this.#clock.sleep(entry.latestStart - this.#clock.now(), entry.settled.signal);
		if (!entry.settled.signal.aborted) {
			this.#reject(entry, new DeadlineExceededError(`Service ${entry.request.service} had no free slot before the deadline.`, toSeconds(this.#predictWaitMs(entry))));
		}
	}

	#reject(entry: Entry, error: Error): void {
		if (this.#waiting.remove(entry)) {
			entry.settled.abort(abortReason);
			entry.started.reject(error);
		}
	}

	#startWaiting(): void {
		while (this.#running.pending < this.#running.concurrency) {
			const entry = this.#waiting.take(this.#getUsage());
			if (entry === undefined) {
				return;
			}

			void this.#running.add(async () => this.#run(entry));
		}
	}

	#getUsage(): SlotUsage {
		const now = this.#clock.now();
		const slots = this.#running.concurrency;
		const longFloor = Math.floor(slots * longFloorShare);
		const slotsForShort = Math.ceil(this.#shortDemand.getSlots(now) * shortHeadroomFactor);
		return {
			now, longFloor, longCeiling: Math.max(1, longFloor, slots - slotsForShort), longInFlight: this.#longInFlight,
		};
	}

	async #run(entry: Entry): Promise<void> {
		const startedAt = this.#clock.now();
		const released = new Deferred<void>();
		this.#longInFlight += entry.isShort ? 0 : 1;
		entry.settled.abort(abortReason);
		entry.started.resolve({
			release() {
				released.resolve();
			},
		});
		await released.promise;
		this.#longInFlight -= entry.isShort ? 0 : 1;
		const usedMs = this.#clock.now() - startedAt;
		this.#serviceTimes.add(entry.request.maxTokens, usedMs);
		this.#waiting.finish(entry, usedMs);
	}
}

function toSeconds(durationMs: number): number {
	return Math.max(1, Math.ceil(durationMs / 1000));
}
