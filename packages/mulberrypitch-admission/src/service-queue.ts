/** The queue of one service on one host. */
import {abortReason} from '@mulberrypitch/lifecycle/abort-reason';
import PQueue from 'p-queue';
import {DeadlineExceededError, OverloadedError} from '@mulberrypitch/errors/catalogue';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {FairOrder, type Usage, type Waiting} from './fair-order.js';
import {getCustomerKey, getServiceKey} from './keys.js';
import type {Quota} from './quota.js';
import {ServiceTimes} from './service-times.js';
import {SlotDemand} from './slot-demand.js';
import type {AdmissionRequest, Ticket} from './types.js';

const shortAnswerTokens = 256;
/** Slots kept for short answers, as a factor of what they need on average. */
const shortHeadroom = 2;
/** Part of the slots that stays open to long answers. */
const longFloorPart = 0.25;

type Entry = Waiting & {
	readonly request: AdmissionRequest;
	readonly started: Deferred<Ticket>;
	/** Ends the timer of a request that no longer waits. */
	readonly settled: AbortController;
};

/** Lets requests run in fair order and refuses early what can't finish in time. */
export class ServiceQueue {
	readonly #clock: Clock;
	readonly #quota: Quota;
	/** Bounds the requests that run; their order is decided before they enter it. */
	readonly #running = new PQueue();
	readonly #order = new FairOrder<Entry>();
	readonly #times = new ServiceTimes();
	readonly #shortDemand = new SlotDemand();
	#longInFlight = 0;
	#key = '';
	#capacity = 1;

	constructor(clock: Clock, quota: Quota) {
		this.#clock = clock;
		this.#quota = quota;
		this.#running.on('next', () => {
			this.#startNext();
		});
	}

	/** Requests that wait. */
	get size(): number {
		return this.#order.size;
	}

	/** Requests that run or wait. */
	get demand(): number {
		return this.#running.pending + this.#order.size;
	}

	/** Requests that run or wait, by customer. */
	get customerDemands(): ReadonlyMap<string, number> {
		return this.#order.demands;
	}

	/** Takes a new part of the slots into use. */
	refresh(): void {
		this.#setSlots();
		this.#startNext();
	}

	/** Resolves when the request may run; throws at once when it won't. */
	async acquire(request: AdmissionRequest): Promise<Ticket> {
		this.#key = getServiceKey(request.service);
		this.#capacity = Math.max(1, request.capacity);
		this.#setSlots();
		const entry = this.#createEntry(request);
		if (entry.isShort) {
			this.#shortDemand.add(entry.costMs, this.#clock.now());
		}

		this.#refuseLate(entry);
		this.#makeRoom(entry);
		this.#order.add(entry);
		this.#startNext();
		void this.#expire(entry);
		return entry.started.promise;
	}

	#setSlots(): void {
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
			costMs: this.#times.getMean(maxTokens),
			latestStart: deadline - (this.#times.getBound(maxTokens) ?? 0),
			started: new Deferred(),
			settled: new AbortController(),
		};
	}

	/** Refuses a request whose predicted start is too late for its deadline. */
	#refuseLate(entry: Entry): void {
		const lateMs = this.#clock.now() + this.#getWaitMs(entry) - entry.latestStart;
		if (lateMs > 0) {
			throw new DeadlineExceededError(`Service ${entry.request.service} can't finish the request before its deadline.`, toSeconds(lateMs));
		}
	}

	#getWaitMs(entry: Entry): number {
		return this.#running.pending < this.#running.concurrency && this.#order.size === 0
			? 0
			: this.#order.getWorkBefore(entry) / this.#running.concurrency;
	}

	/** Keeps the queue within its bound, at the cost of the customer that fills it beyond its share. */
	#makeRoom(entry: Entry): void {
		const {service, queueLimit} = entry.request;
		if (this.#order.size < queueLimit) {
			return;
		}

		const error = new OverloadedError(`Service ${service} has ${this.#order.size} requests waiting.`, toSeconds(this.#getWaitMs(entry)));
		const excess = this.#order.getExcess(entry);
		if (excess === undefined) {
			throw error;
		}

		this.#reject(excess, error);
	}

	/** Gives a request its final answer as soon as it can't finish before its deadline. */
	async #expire(entry: Entry): Promise<void> {
		await this.#clock.sleep(entry.latestStart - this.#clock.now(), entry.settled.signal);
		if (!entry.settled.signal.aborted) {
			this.#reject(entry, new DeadlineExceededError(`Service ${entry.request.service} had no room before the deadline.`, toSeconds(this.#getWaitMs(entry))));
		}
	}

	#reject(entry: Entry, error: Error): void {
		if (this.#order.remove(entry)) {
			entry.settled.abort(abortReason);
			entry.started.reject(error);
		}
	}

	#startNext(): void {
		while (this.#running.pending < this.#running.concurrency) {
			const entry = this.#order.take(this.#getUsage());
			if (entry === undefined) {
				return;
			}

			void this.#running.add(async () => this.#run(entry));
		}
	}

	#getUsage(): Usage {
		const now = this.#clock.now();
		const slots = this.#running.concurrency;
		const longFloor = Math.floor(slots * longFloorPart);
		const kept = Math.ceil(this.#shortDemand.getSlots(now) * shortHeadroom);
		return {
			now, longFloor, longCeiling: Math.max(1, longFloor, slots - kept), longInFlight: this.#longInFlight,
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
		this.#times.add(entry.request.maxTokens, usedMs);
		this.#order.finish(entry, usedMs);
	}
}

function toSeconds(durationMs: number): number {
	return Math.max(1, Math.ceil(durationMs / 1000));
}
