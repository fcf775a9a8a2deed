/** First-come admission with a bounded queue for each service. */
import PQueue from 'p-queue';
import {OverloadedError} from '@mulberrypitch/errors/catalogue';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Admission, AdmissionRequest, Ticket} from './types.js';

const retryAfterSeconds = 1;

/** Admits in order of arrival, up to the capacity of each service. */
export class AdmissionQueue implements Admission {
	readonly #queues = new Map<string, PQueue>();

	async acquire(request: AdmissionRequest): Promise<Ticket> {
		const queue = this.#getQueue(request);
		if (queue.size >= request.queueLimit) {
			throw new OverloadedError(`Service ${request.service} has ${queue.size} requests waiting.`, retryAfterSeconds);
		}

		const started = new Deferred<void>();
		const released = new Deferred<void>();
		void queue.add(async () => {
			started.resolve();
			await released.promise;
		});
		await started.promise;
		return {
			release() {
				released.resolve();
			},
		};
	}

	getQueueLength(service: string): number {
		return this.#queues.get(service)?.size ?? 0;
	}

	#getQueue(request: AdmissionRequest): PQueue {
		let queue = this.#queues.get(request.service);
		if (queue === undefined) {
			queue = new PQueue({concurrency: Math.max(1, request.capacity)});
			this.#queues.set(request.service, queue);
		}

		queue.concurrency = Math.max(1, request.capacity);
		return queue;
	}
}
