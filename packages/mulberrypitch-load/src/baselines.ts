/** Baseline policies for the experiment. */
import PQueue from 'p-queue';
import {OverloadedError} from '@mulberrypitch/errors/catalogue';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Admission, AdmissionRequest, Ticket} from '@mulberrypitch/admission/types';
import {countSlots} from '@mulberrypitch/routing/router';
import type {
	Candidate, Dispatch, Router, RoutingRequest,
} from '@mulberrypitch/routing/types';

const retryAfterSeconds = 1;

/** Admits every request immediately. */
export class OpenAdmission implements Admission {
	async acquire(): Promise<Ticket> {
		return {
			release() {
				// Admission without limits counts no requests.
			},
		};
	}

	getQueueLength(): number {
		return 0;
	}
}

/** Admits requests in order of arrival. Each entry host uses the whole capacity of a service, as if it were the only one. */
export class FirstComeAdmission implements Admission {
	readonly #queues = new Map<string, PQueue>();

	async acquire(request: AdmissionRequest): Promise<Ticket> {
		const queue = this.#queues.get(request.service) ?? new PQueue();
		this.#queues.set(request.service, queue);
		queue.concurrency = Math.max(1, request.capacity);
		if (queue.size >= request.queueLimit) {
			throw new OverloadedError('The queue is full.', retryAfterSeconds);
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
}

/** Selects the candidates in turn. */
export class RoundRobinRouter implements Router {
	#next = 0;

	choose(candidates: readonly Candidate[], request: RoutingRequest): Dispatch | undefined {
		const usable = candidates.filter(candidate => !candidate.isLeaving && !request.excluded.has(candidate.id));
		if (usable.length === 0) {
			return undefined;
		}

		this.#next += 1;
		return {
			backend: usable[this.#next % usable.length]!.id,
			finish() {
				// Round robin ignores the outcome of requests.
			},
		};
	}

	getSlots(candidates: readonly Candidate[]): number {
		return countSlots(candidates);
	}
}
