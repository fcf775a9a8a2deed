/** Copies of requests that other hosts hold, kept to carry them on. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {
	assertInvariant, NotFoundError, OverloadedError, StaleEpochError,
} from '@mulberrypitch/errors/catalogue';
import type {Transport} from '@mulberrypitch/transport/types';
import {
	heldCopySchema, progressSchema, releaseSchema, type Progress, type ProgressReply,
} from './messages.js';
import type {AnswerChunk, HeldCopy} from './types.js';

const maxCopies = 100_000;
const releasedRetentionMs = 60_000;
const lostRetentionMs = 60_000;

/** Method names of the standby. */
export const standbyMethods = {
	hold: 'request.hold',
	progress: 'request.progress',
	release: 'request.release',
} as const;

type Copy = {
	readonly held: HeldCopy;
	readonly chunks: AnswerChunk[];
	releasedAt?: number;
};

/** Keeps the copies of this host. */
export class RequestStandby {
	readonly #copies = new Map<string, Copy>();
	readonly #clock: Clock;

	readonly #getHeldEpoch: (requestId: string) => number;

	/** `getHeldEpoch` gives the epoch with which this host holds a request itself, or zero. */
	constructor(clock: Clock, getHeldEpoch: (requestId: string) => number) {
		this.#clock = clock;
		this.#getHeldEpoch = getHeldEpoch;
	}

	get size(): number {
		return this.#copies.size;
	}

	/** Registers the methods of the standby. */
	register(transport: Transport): void {
		transport.handle(standbyMethods.hold, heldCopySchema, async copy => {
			this.#hold(copy);
		});
		transport.handle(standbyMethods.progress, progressSchema, async progress => this.#progress(progress));
		transport.handle(standbyMethods.release, releaseSchema, async ({requestId}) => {
			this.#release(requestId);
		});
	}

	/** Gives the copy of a request, with the progress known here. */
	get(requestId: string): HeldCopy | undefined {
		const copy = this.#copies.get(requestId);
		return copy === undefined ? undefined : {...copy.held, chunks: copy.chunks};
	}

	/** Drops the copy of a request. */
	drop(requestId: string): void {
		this.#copies.delete(requestId);
	}

	#hold(held: HeldCopy): void {
		this.#dropExpired();
		if (this.#copies.size >= maxCopies) {
			throw new OverloadedError('This host keeps too many copies of requests.', 1);
		}

		this.#requireCurrent(held.requestId, held.epoch);
		const known = this.#copies.get(held.requestId);
		const isLate = known?.held.epoch === held.epoch && known.chunks.length > held.chunks.length;
		this.#copies.set(held.requestId, {held, chunks: isLate ? known.chunks : [...held.chunks]});
	}

	/** Adds what follows the chunks here; repeated and early chunks are skipped, and the holder sends them again. */
	#progress({requestId, epoch, chunks}: Progress): ProgressReply {
		this.#requireCurrent(requestId, epoch);
		const copy = this.#copies.get(requestId);
		if (copy === undefined) {
			throw new NotFoundError(`This host keeps no copy of request ${requestId}.`);
		}

		for (const chunk of chunks) {
			const known = copy.chunks[chunk.offset];
			assertInvariant(known === undefined || known.text === chunk.text, `Chunk ${chunk.offset} of request ${requestId} differs from the one given before.`);
			if (chunk.offset === copy.chunks.length) {
				copy.chunks.push(chunk);
			}
		}

		return {length: copy.chunks.length};
	}

	/** Refuses a holder that another one has replaced, so that its chunks never mix with those of the new one. */
	#requireCurrent(requestId: string, epoch: number): void {
		const current = Math.max(this.#getHeldEpoch(requestId), this.#copies.get(requestId)?.held.epoch ?? 0);
		if (epoch < current) {
			throw new StaleEpochError(`Request ${requestId} has another holder.`);
		}
	}

	#release(requestId: string): void {
		const copy = this.#copies.get(requestId);
		if (copy !== undefined) {
			copy.releasedAt = this.#clock.now();
		}
	}

	/** Drops copies released some time ago, and those whose holder died without a release. */
	#dropExpired(): void {
		const releasedBefore = this.#clock.now() - releasedRetentionMs;
		const dueBefore = this.#clock.wallTime() - lostRetentionMs;
		for (const [requestId, copy] of this.#copies) {
			if ((copy.releasedAt ?? Number.POSITIVE_INFINITY) < releasedBefore || copy.held.deadlineAt < dueBefore) {
				this.#copies.delete(requestId);
			}
		}
	}
}
