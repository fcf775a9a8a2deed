/** Stores copies of requests that other hosts hold, so that this host can continue them when their holder fails. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {
	assertInvariant, NotFoundError, OverloadedError, StaleEpochError,
} from '@mulberrypitch/errors/catalogue';
import type {Transport} from '@mulberrypitch/transport/types';
import {
	heldCopySchema, progressSchema, releaseSchema, type Progress, type ProgressReply,
} from './messages.js';
import type {AnswerChunk, HeldCopy} from './types.js';

/** Maximum number of copies that a host stores. */
const maxCopies = 100_000;
/** Time for which a copy is kept after its holder has released it, in milliseconds. */
const releasedRetentionMs = 60_000;
/** Time for which an unreleased copy is kept after the deadline of its request, in milliseconds. */
const orphanRetentionMs = 60_000;

/** Transport methods that a standby handles. */
export const standbyMethods = {
	hold: 'request.hold',
	progress: 'request.progress',
	release: 'request.release',
} as const;

/** A stored copy, and the monotonic time in milliseconds at which its holder released it. */
type Copy = {
	readonly held: HeldCopy;
	readonly chunks: AnswerChunk[];
	/** Software version that the chunks come from. */
	version: string | undefined;
	releasedAt?: number;
};

/**
Stores the copies of requests for which this host is the standby.

@example
```
const standby = new RequestStandby(clock, requestId => epochs.get(requestId) ?? 0);
standby.register(transport);
```
*/
export class RequestStandby {
	readonly #copies = new Map<string, Copy>();
	readonly #clock: Clock;
	readonly #getHeldEpoch: (requestId: string) => number;

	/** `getHeldEpoch` returns the epoch with which this host holds a request itself, or zero. */
	constructor(clock: Clock, getHeldEpoch: (requestId: string) => number) {
		this.#clock = clock;
		this.#getHeldEpoch = getHeldEpoch;
	}

	/** Number of stored copies. */
	get size(): number {
		return this.#copies.size;
	}

	/** Registers the handlers of the standby's methods with a transport. */
	register(transport: Transport): void {
		transport.handle(standbyMethods.hold, heldCopySchema, async copy => {
			this.#hold(copy);
		});
		transport.handle(standbyMethods.progress, progressSchema, async progress => this.#appendProgress(progress));
		transport.handle(standbyMethods.release, releaseSchema, async ({requestId}) => {
			this.#release(requestId);
		});
	}

	/** Returns the copy of a request with the chunks received so far, or `undefined` when this host has none. */
	get(requestId: string): HeldCopy | undefined {
		const copy = this.#copies.get(requestId);
		return copy === undefined ? undefined : {...copy.held, chunks: copy.chunks, version: copy.version};
	}

	/** Removes the copy of a request. */
	drop(requestId: string): void {
		this.#copies.delete(requestId);
	}

	/** Stores or replaces a copy. Keeps the stored chunks of the same epoch when they are more than those of the new copy. */
	#hold(held: HeldCopy): void {
		this.#dropExpired();
		if (this.#copies.size >= maxCopies) {
			throw new OverloadedError('This host already stores the maximum number of request copies.', 1);
		}

		this.#requireCurrentEpoch(held.requestId, held.epoch);
		const existing = this.#copies.get(held.requestId);
		const hasMoreChunks = existing?.held.epoch === held.epoch && existing.chunks.length > held.chunks.length;
		this.#copies.set(held.requestId, {
			held,
			chunks: hasMoreChunks ? existing.chunks : [...held.chunks],
			version: hasMoreChunks ? existing.version : held.version,
		});
	}

	/**
	Appends the chunks that follow the stored ones. Skips duplicates, and chunks after a gap; the holder sends those again
	because the reply contains the stored length.
	*/
	#appendProgress({
		requestId, epoch, chunks, version,
	}: Progress): ProgressReply {
		this.#requireCurrentEpoch(requestId, epoch);
		const copy = this.#copies.get(requestId);
		if (copy === undefined) {
			throw new NotFoundError(`This host has no copy of request ${requestId}.`);
		}

		for (const chunk of chunks) {
			const existing = copy.chunks[chunk.offset];
			assertInvariant(existing === undefined || existing.text === chunk.text, `Chunk ${chunk.offset} of request ${requestId} differs from the one received before.`);
			if (chunk.offset === copy.chunks.length) {
				copy.chunks.push(chunk);
			}
		}

		copy.version ??= version;
		return {length: copy.chunks.length};
	}

	/** Rejects messages of a holder that has been replaced, so that its chunks never mix with those of the new holder. */
	#requireCurrentEpoch(requestId: string, epoch: number): void {
		const current = Math.max(this.#getHeldEpoch(requestId), this.#copies.get(requestId)?.held.epoch ?? 0);
		if (epoch < current) {
			throw new StaleEpochError(`Request ${requestId} has another holder.`);
		}
	}

	/** Marks a copy for removal after `releasedRetentionMs`. */
	#release(requestId: string): void {
		const copy = this.#copies.get(requestId);
		if (copy !== undefined) {
			copy.releasedAt = this.#clock.now();
		}
	}

	/** Removes copies whose retention after release is over, and copies that were never released and whose deadline has long passed. */
	#dropExpired(): void {
		const releasedBefore = this.#clock.now() - releasedRetentionMs;
		const deadlineBefore = this.#clock.wallTime() - orphanRetentionMs;
		for (const [requestId, copy] of this.#copies) {
			if ((copy.releasedAt ?? Number.POSITIVE_INFINITY) < releasedBefore || copy.held.deadlineAt < deadlineBefore) {
				this.#copies.delete(requestId);
			}
		}
	}
}
