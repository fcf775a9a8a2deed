/** The admission queue of one service on one host. A request may be refused at its arrival, or be evicted or expire while it waits. */
import {abortReason} from '@mulberrypitch/lifecycle/abort-reason';
import PQueue from 'p-queue';
import {DeadlineExceededError, OverloadedError} from '@mulberrypitch/errors/catalogue';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {FairQueue, type SlotState, type WaitingRequest} from './fair-order.js';
import {getCustomerKey, getServiceKey} from './keys.js';
import type {Quota} from './quota.js';
import {ServiceTimes} from './service-times.js';
import {SlotDemand} from './slot-demand.js';
import type {AdmissionRequest, Ticket} from './types.js';

/** Maximum number of answer tokens of a request that counts as short. */
const shortAnswerTokens = 256;
/** Slots reserved for short answers, as a multiple of the slots that they need on average. */
const shortHeadroomFactor = 2;
/** Share of the slots up to which long answers start before short ones. */
const longFloorShare = 0.25;

/** A request from its arrival until it starts or is rejected. */
type QueuedRequest = WaitingRequest & {
	readonly request: AdmissionRequest;
	/** Resolved when the request starts, rejected when it is evicted or can no longer start in time. */
	readonly ticket: Deferred<Ticket>;
	/** Aborted when the request starts or is rejected and thus no longer waits, which cancels its deadline timer. */
	readonly settled: AbortController;
};

/**
Starts requests in fair order. Rejects requests that can't finish before their deadline as soon as this is known.

@example
```
const queue = new ServiceQueue(clock, quota);
const ticket = await queue.acquire(request);
```
*/
export class ServiceQueue {
	readonly #clock: Clock;
	readonly #quota: Quota;
	/** Limits the number of running requests. A request is added only when it may start, in the order that `#waiting` decides. */
	readonly #running = new PQueue();
	readonly #waiting = new FairQueue<QueuedRequest>();
	readonly #serviceTimes = new ServiceTimes();
	/** Mean number of slots that short answers need, from their rate of arrival. `demand` and `customerDemands` count requests instead. */
	readonly #shortDemand = new SlotDemand();
	#longInFlight = 0;
	/** Key of the service and its number of slots over all hosts, from the latest request. */
	#serviceKey = '';
	#capacity = 1;

	constructor(clock: Clock, quota: Quota) {
		this.#clock = clock;
		this.#quota = quota;
		this.#running.on('next', () => {
			this.#startNextRequests();
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

	/** Recomputes this host's part of the service's slots, and starts the requests that may now run. */
	refresh(): void {
		this.#updateConcurrency();
		this.#startNextRequests();
	}

	/** Resolves when the request may run. Rejects at once when the request is refused. Rejects later when the request is evicted, or when it can't start in time. */
	async acquire(request: AdmissionRequest): Promise<Ticket> {
		this.#serviceKey = getServiceKey(request.service);
		this.#capacity = Math.max(1, request.capacity);
		this.#updateConcurrency();
		const queued = this.#createQueuedRequest(request);
		if (queued.isShort) {
			this.#shortDemand.add(queued.costMs, this.#clock.now());
		}

		this.#requireFeasibleDeadline(queued);
		this.#enforceQueueLimit(queued);
		this.#waiting.add(queued);
		this.#startNextRequests();
		void this.#expire(queued);
		return queued.ticket.promise;
	}

	/** Limits the running requests to this host's part of the service's slots. */
	#updateConcurrency(): void {
		this.#running.concurrency = this.#quota.getPart(this.#serviceKey, this.#capacity);
	}

	/** Predicts the slot time of a request, and from it the latest time at which the request may start. */
	#createQueuedRequest(request: AdmissionRequest): QueuedRequest {
		const {customer, share, maxInFlight, maxTokens, deadline} = request;
		return {
			request,
			customer,
			share,
			limit: this.#quota.getPart(getCustomerKey(customer), maxInFlight),
			isShort: maxTokens <= shortAnswerTokens,
			costMs: this.#serviceTimes.getMean(maxTokens),
			latestStart: deadline - (this.#serviceTimes.getBound(maxTokens) ?? 0),
			ticket: new Deferred(),
			settled: new AbortController(),
		};
	}

	/** Throws `DeadlineExceededError` when the predicted start of a request is too late for its deadline. */
	#requireFeasibleDeadline(queued: QueuedRequest): void {
		const lateMs = this.#clock.now() + this.#predictWaitMs(queued) - queued.latestStart;
		if (lateMs > 0) {
			throw new DeadlineExceededError(`Service ${queued.request.service} can't finish the request before its deadline.`, toRetryAfterSeconds(lateMs));
		}
	}

	/** Returns the expected time until a request starts. The fair order limits the work of other customers that is counted. */
	#predictWaitMs(queued: QueuedRequest): number {
		return this.#running.pending < this.#running.concurrency && this.#waiting.size === 0
			? 0
			: this.#waiting.getWorkBefore(queued) / this.#running.concurrency;
	}

	/** When the queue is full, evicts a request of the customer with the most waiting requests relative to its share, or throws `OverloadedError` to refuse the new one. */
	#enforceQueueLimit(queued: QueuedRequest): void {
		const {service, queueLimit} = queued.request;
		if (this.#waiting.size < queueLimit) {
			return;
		}

		const error = new OverloadedError(`Service ${service} has ${this.#waiting.size} requests waiting.`, toRetryAfterSeconds(this.#predictWaitMs(queued)));
		const evicted = this.#waiting.findEvictionCandidate(queued);
		if (evicted === undefined) {
			throw error;
		}

		this.#reject(evicted, error);
	}

	/** Waits until the request can no longer finish before its deadline, and rejects it then if it still waits. */
	async #expire(queued: QueuedRequest): Promise<void> {
		await this.#clock.sleep(queued.latestStart - this.#clock.now(), queued.settled.signal);
		if (!queued.settled.signal.aborted) {
			this.#reject(queued, new DeadlineExceededError(
				`Service ${queued.request.service} had no free slot in time to finish the request before its deadline.`,
				toRetryAfterSeconds(this.#predictWaitMs(queued)),
			));
		}
	}

	#reject(queued: QueuedRequest, error: Error): void {
		if (this.#waiting.remove(queued)) {
			queued.settled.abort(abortReason);
			queued.ticket.reject(error);
		}
	}

	/** Starts waiting requests while this host has free slots. */
	#startNextRequests(): void {
		while (this.#running.pending < this.#running.concurrency) {
			const queued = this.#waiting.take(this.#getSlotState());
			if (queued === undefined) {
				return;
			}

			void this.#running.add(async () => this.#run(queued));
		}
	}

	#getSlotState(): SlotState {
		const now = this.#clock.now();
		const slots = this.#running.concurrency;
		const longFloor = Math.floor(slots * longFloorShare);
		const slotsForShort = Math.ceil(this.#shortDemand.getSlots(now) * shortHeadroomFactor);
		return {
			now, longFloor, longCeiling: Math.max(1, longFloor, slots - slotsForShort), longInFlight: this.#longInFlight,
		};
	}

	async #run(queued: QueuedRequest): Promise<void> {
		const startedAt = this.#clock.now();
		const released = new Deferred<void>();
		this.#longInFlight += queued.isShort ? 0 : 1;
		queued.settled.abort(abortReason);
		queued.ticket.resolve({
			release() {
				released.resolve();
			},
		});
		await released.promise;
		this.#longInFlight -= queued.isShort ? 0 : 1;
		const usedMs = this.#clock.now() - startedAt;
		this.#serviceTimes.add(queued.request.maxTokens, usedMs);
		this.#waiting.finish(queued, usedMs);
	}
}

/** Returns a duration in whole seconds for a `Retry-After` header, at least one. */
function toRetryAfterSeconds(durationMs: number): number {
	return Math.max(1, Math.ceil(durationMs / 1000));
}
