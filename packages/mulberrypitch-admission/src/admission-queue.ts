/** Admission control of one host, with a fair, bounded queue for each service. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Demand} from './demand-quota.js';
import {getCustomerKey, getServiceKey} from './keys.js';
import type {Quota} from './quota.js';
import {ServiceQueue} from './service-queue.js';
import type {Admission, AdmissionRequest, Ticket} from './types.js';

/** Dependencies of an `AdmissionQueue`. */
export type AdmissionQueueOptions = {
	readonly clock: Clock;
	/** Determines this host's part of the slots and limits that all hosts share. */
	readonly quota: Quota;
};

/**
Admits requests up to this host's part of the capacity, in an order that is fair between customers.

@example
```
const admission = new AdmissionQueue({clock, quota: new EvenQuota(() => ({hosts: 7, rank: 0}))});
```
*/
export class AdmissionQueue implements Admission {
	readonly #options: AdmissionQueueOptions;
	readonly #queues = new Map<string, ServiceQueue>();

	constructor(options: AdmissionQueueOptions) {
		this.#options = options;
	}

	async acquire(request: AdmissionRequest): Promise<Ticket> {
		let queue = this.#queues.get(request.service);
		if (queue === undefined) {
			queue = new ServiceQueue(this.#options.clock, this.#options.quota);
			this.#queues.set(request.service, queue);
		}

		return queue.acquire(request);
	}

	getQueueLength(service: string): number {
		return this.#queues.get(service)?.size ?? 0;
	}

	/** Returns the demand of this host for each service and customer, which it sends to the other hosts. */
	getDemand(): Demand {
		const demand: Record<string, number> = {};
		for (const [service, queue] of this.#queues) {
			demand[getServiceKey(service)] = queue.demand;
			for (const [customer, count] of queue.customerDemands) {
				const key = getCustomerKey(customer);
				demand[key] = (demand[key] ?? 0) + count;
			}
		}

		return demand;
	}

	/** Recomputes this host's parts of the slots after the demands have changed, and starts requests that now may run. */
	refresh(): void {
		for (const queue of this.#queues.values()) {
			queue.refresh();
		}
	}
}
