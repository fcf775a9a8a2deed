/** The requests of the group, by identifier, by idempotency key and by holder. */
import {NotFoundError} from '@mulberrypitch/errors/catalogue';
import type {RequestRecord} from './types.js';

const retentionMs = 60_000;
const keyedRetentionMs = 24 * 60 * 60_000;

/** Keeps unfinished requests, and finished ones for a while. */
export class RequestTable {
	readonly #requests = new Map<string, RequestRecord>();
	readonly #keys = new Map<string, string>();
	readonly #heldBy = new Map<string, Set<string>>();
	readonly #finished: RequestRecord[] = [];
	readonly #finishedKeyed: RequestRecord[] = [];

	get(requestId: string): RequestRecord | undefined {
		return this.#requests.get(requestId);
	}

	/** Gives a request, or throws `NotFoundError`. */
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

	/** Finds the request of an idempotency key. */
	findByKey(customer: string, service: string, key: string): RequestRecord | undefined {
		const requestId = this.#keys.get(getKeyName(customer, service, key));
		return requestId === undefined ? undefined : this.#requests.get(requestId);
	}

	/** Lists the unfinished requests of a host. */
	listHeld(node: string): readonly RequestRecord[] {
		return [...this.#heldBy.get(node) ?? []].map(requestId => this.#requests.get(requestId)!);
	}

	/** Lists the unfinished requests of all hosts, without looking at the finished ones. */
	listUnfinished(): readonly RequestRecord[] {
		return [...this.#heldBy.keys()].flatMap(node => this.listHeld(node));
	}

	/** Adds a request or replaces what was known of it. */
	put(request: RequestRecord): void {
		const known = this.#requests.get(request.requestId);
		if (known !== undefined) {
			this.#heldBy.get(known.holder)?.delete(known.requestId);
		}

		this.#requests.set(request.requestId, request);
		if (request.idempotencyKey !== undefined) {
			this.#keys.set(getKeyName(request.customer, request.service, request.idempotencyKey), request.requestId);
		}

		if (request.outcome === undefined) {
			this.#getHeldBy(request.holder).add(request.requestId);
		} else {
			this.#getFinishedQueue(request).push(request);
		}
	}

	/** Forgets requests that ended longer ago than they are kept. */
	dropExpired(now: number): void {
		this.#dropOlder(this.#finished, now - retentionMs);
		this.#dropOlder(this.#finishedKeyed, now - keyedRetentionMs);
	}

	restore(requests: readonly RequestRecord[]): void {
		this.#requests.clear();
		this.#keys.clear();
		this.#heldBy.clear();
		this.#finished.length = 0;
		this.#finishedKeyed.length = 0;
		for (const request of requests) {
			this.put(request);
		}

		this.#finished.sort(compareFinish);
		this.#finishedKeyed.sort(compareFinish);
	}

	#dropOlder(queue: RequestRecord[], before: number): void {
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
			this.#keys.delete(getKeyName(request.customer, request.service, request.idempotencyKey));
		}
	}

	#getFinishedQueue(request: RequestRecord): RequestRecord[] {
		return request.idempotencyKey === undefined ? this.#finished : this.#finishedKeyed;
	}

	#getHeldBy(node: string): Set<string> {
		let held = this.#heldBy.get(node);
		if (held === undefined) {
			held = new Set();
			this.#heldBy.set(node, held);
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
