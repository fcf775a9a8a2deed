/**
 * The table of the group's requests, indexed by identifier, by idempotency key and by holder. The holder of a request is the
 * host that is responsible for it: the host dispatches the request and records its outcome.
 */
import {NotFoundError} from '@mulberrypitch/errors/catalogue';
import type {RequestRecord} from './types.js';

/** Retention of a finished request without an idempotency key, in milliseconds. */
const retentionMs = 60_000;
/** Retention of a finished request with an idempotency key, in milliseconds. */
const keyedRetentionMs = 24 * 60 * 60_000;

/** Stores unfinished requests and, for a retention time, finished ones. */
export class RequestTable {
	readonly #requests = new Map<string, RequestRecord>();
	readonly #requestIdsByKey = new Map<string, string>();
	readonly #unfinishedIdsByHolder = new Map<string, Set<string>>();
	/** Finished requests without an idempotency key, in the order in which they were put; `restore` sorts them by `finishedAt`. */
	readonly #finished: RequestRecord[] = [];
	/** Finished requests with an idempotency key, in the order in which they were put; `restore` sorts them by `finishedAt`. */
	readonly #finishedKeyed: RequestRecord[] = [];

	/** Returns a request, or undefined if it is not known. */
	get(requestId: string): RequestRecord | undefined {
		return this.#requests.get(requestId);
	}

	/** Returns a request. Throws `NotFoundError` if it is not known. */
	require(requestId: string): RequestRecord {
		const request = this.#requests.get(requestId);
		if (request === undefined) {
			throw new NotFoundError(`Request ${requestId} is not known.`);
		}

		return request;
	}

	/** Returns all requests, finished ones included. */
	list(): readonly RequestRecord[] {
		return [...this.#requests.values()];
	}

	/** Returns the request of a customer to a service that was accepted with an idempotency key, or undefined if it is not known. */
	findByKey(customer: string, service: string, key: string): RequestRecord | undefined {
		const requestId = this.#requestIdsByKey.get(getIndexKey(customer, service, key));
		return requestId === undefined ? undefined : this.#requests.get(requestId);
	}

	/** Returns the unfinished requests of a holder. */
	listHeld(holder: string): readonly RequestRecord[] {
		return [...this.#unfinishedIdsByHolder.get(holder) ?? []].map(requestId => this.#requests.get(requestId)!);
	}

	/** Returns the unfinished requests of all hosts without scanning the finished ones. */
	listUnfinished(): readonly RequestRecord[] {
		return [...this.#unfinishedIdsByHolder.keys()].flatMap(holder => this.listHeld(holder));
	}

	/** Adds or replaces a request. A finished request stays until `removePastRetention` is called after its retention time. */
	put(request: RequestRecord): void {
		const previous = this.#requests.get(request.requestId);
		if (previous !== undefined) {
			this.#unfinishedIdsByHolder.get(previous.holder)?.delete(previous.requestId);
		}

		this.#requests.set(request.requestId, request);
		if (request.idempotencyKey !== undefined) {
			this.#requestIdsByKey.set(getIndexKey(request.customer, request.service, request.idempotencyKey), request.requestId);
		}

		if (request.outcome === undefined) {
			this.#getUnfinishedIds(request.holder).add(request.requestId);
		} else {
			this.#getFinishedQueue(request).push(request);
		}
	}

	/** Removes requests that finished longer ago than their retention time. `now` is the time of the log entry that is applied. */
	removePastRetention(now: number): void {
		this.#removeFinishedBefore(this.#finished, now - retentionMs);
		this.#removeFinishedBefore(this.#finishedKeyed, now - keyedRetentionMs);
	}

	/** Replaces all requests by those of a snapshot. */
	restore(requests: readonly RequestRecord[]): void {
		this.#requests.clear();
		this.#requestIdsByKey.clear();
		this.#unfinishedIdsByHolder.clear();
		this.#finished.length = 0;
		this.#finishedKeyed.length = 0;
		for (const request of requests) {
			this.put(request);
		}

		this.#finished.sort(compareFinishedAt);
		this.#finishedKeyed.sort(compareFinishedAt);
	}

	#removeFinishedBefore(queue: RequestRecord[], before: number): void {
		let count = 0;
		while (count < queue.length && queue[count]!.finishedAt! < before) {
			this.#removeRequest(queue[count]!);
			count += 1;
		}

		if (count > 0) {
			queue.splice(0, count);
		}
	}

	#removeRequest(request: RequestRecord): void {
		this.#requests.delete(request.requestId);
		if (request.idempotencyKey !== undefined) {
			this.#requestIdsByKey.delete(getIndexKey(request.customer, request.service, request.idempotencyKey));
		}
	}

	#getFinishedQueue(request: RequestRecord): RequestRecord[] {
		return request.idempotencyKey === undefined ? this.#finished : this.#finishedKeyed;
	}

	#getUnfinishedIds(holder: string): Set<string> {
		let requestIds = this.#unfinishedIdsByHolder.get(holder);
		if (requestIds === undefined) {
			requestIds = new Set();
			this.#unfinishedIdsByHolder.set(holder, requestIds);
		}

		return requestIds;
	}
}

function getIndexKey(customer: string, service: string, key: string): string {
	return JSON.stringify([customer, service, key]);
}

function compareFinishedAt(left: RequestRecord, right: RequestRecord): number {
	return left.finishedAt! - right.finishedAt!;
}
