/** The requests of the group, indexed by identifier, by idempotency key and by holder. */
import {NotFoundError} from '@mulberrypitch/errors/catalogue';
import type {RequestRecord} from './types.js';

/** Retention of a finished request without an idempotency key, in milliseconds. */
const retentionMs = 60_000;
/** Retention of a finished request with an idempotency key, in milliseconds. */
const keyedRetentionMs = 24 * 60 * 60_000;

/** Holds unfinished requests and, for a retention time, finished ones. */
export class RequestTable {
	readonly #requests = new Map<string, RequestRecord>();
	readonly #requestIdsByKey = new Map<string, string>();
	readonly #unfinishedByHolder = new Map<string, Set<string>>();
	readonly #finished: RequestRecord[] = [];
	readonly #finishedKeyed: RequestRecord[] = [];

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

	list(): readonly RequestRecord[] {
		return [...this.#requests.values()];
	}

	/** Returns the request accepted with an idempotency key, or undefined. */
	findByKey(customer: string, service: string, key: string): RequestRecord | undefined {
		const requestId = this.#requestIdsByKey.get(getKeyName(customer, service, key));
		return requestId === undefined ? undefined : this.#requests.get(requestId);
	}

	/** Returns the unfinished requests held by a host. */
	listHeld(node: string): readonly RequestRecord[] {
		return [...this.#unfinishedByHolder.get(node) ?? []].map(requestId => this.#requests.get(requestId)!);
	}

	/** Returns the unfinished requests of all hosts without scanning the finished ones. */
	listUnfinished(): readonly RequestRecord[] {
		return [...this.#unfinishedByHolder.keys()].flatMap(node => this.listHeld(node));
	}

	/** Adds or replaces a request. */
	put(request: RequestRecord): void {
		const previous = this.#requests.get(request.requestId);
		if (previous !== undefined) {
			this.#unfinishedByHolder.get(previous.holder)?.delete(previous.requestId);
		}

		this.#requests.set(request.requestId, request);
		if (request.idempotencyKey !== undefined) {
			this.#requestIdsByKey.set(getKeyName(request.customer, request.service, request.idempotencyKey), request.requestId);
		}

		if (request.outcome === undefined) {
			this.#getUnfinishedIds(request.holder).add(request.requestId);
		} else {
			this.#getFinishedQueue(request).push(request);
		}
	}

	/** Removes requests that finished longer ago than their retention time. */
	dropExpired(now: number): void {
		this.#dropFinishedBefore(this.#finished, now - retentionMs);
		this.#dropFinishedBefore(this.#finishedKeyed, now - keyedRetentionMs);
	}

	restore(requests: readonly RequestRecord[]): void {
		this.#requests.clear();
		this.#requestIdsByKey.clear();
		this.#unfinishedByHolder.clear();
		this.#finished.length = 0;
		this.#finishedKeyed.length = 0;
		for (const request of requests) {
			this.put(request);
		}

		this.#finished.sort(compareFinish);
		this.#finishedKeyed.sort(compareFinish);
	}

	#dropFinishedBefore(queue: RequestRecord[], before: number): void {
		let count = 0;
		while (count < queue.length && queue[count]!.finishedAt! < before) {
			this.#dropRequest(queue[count]!);
			count += 1;
		}

		if (count > 0) {
			queue.splice(0, count);
		}
	}

	#dropRequest(request: RequestRecord): void {
		this.#requests.delete(request.requestId);
		if (request.idempotencyKey !== undefined) {
			this.#requestIdsByKey.delete(getKeyName(request.customer, request.service, request.idempotencyKey));
		}
	}

	#getFinishedQueue(request: RequestRecord): RequestRecord[] {
		return request.idempotencyKey === undefined ? this.#finished : this.#finishedKeyed;
	}

	#getUnfinishedIds(node: string): Set<string> {
		let held = this.#unfinishedByHolder.get(node);
		if (held === undefined) {
			held = new Set();
			this.#unfinishedByHolder.set(node, held);
		}

		return held;
	}
}

function getKeyName(customer: string, service: string, key: string): string {
	return JSON.stringify([customer, service, key]);
}

function compareFinish(left: RequestRecord, right: RequestRecord): number {
	return left.finishedAt! - right.finishedAt!;
}
