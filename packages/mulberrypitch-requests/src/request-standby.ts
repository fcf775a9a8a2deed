/** Copies of requests that other hosts hold, kept to carry them on. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {OverloadedError} from '@mulberrypitch/errors/catalogue';
import type {Transport} from '@mulberrypitch/transport/types';
import {
	heldCopySchema, progressSchema, releaseSchema, type Progress,
} from './messages.js';
import type {AnswerChunk, HeldCopy} from './types.js';

const maxCopies = 100_000;
const releasedRetentionMs = 60_000;

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

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get size(): number {
		return this.#copies.size;
	}

	/** Registers the methods of the standby. */
	register(transport: Transport): void {
		transport.handle(standbyMethods.hold, heldCopySchema, async copy => {
			this.#hold(copy);
		});
		transport.handle(standbyMethods.progress, progressSchema, async progress => {
			this.#progress(progress);
		});
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
		this.#dropReleased();
		if (this.#copies.size >= maxCopies) {
			throw new OverloadedError('This host keeps too many copies of requests.', 1);
		}

		this.#copies.set(held.requestId, {held, chunks: [...held.chunks]});
	}

	#progress({requestId, chunks}: Progress): void {
		const copy = this.#copies.get(requestId);
		if (copy === undefined) {
			return;
		}

		for (const chunk of chunks) {
			if (chunk.offset === copy.chunks.length) {
				copy.chunks.push(chunk);
			}
		}
	}

	#release(requestId: string): void {
		const copy = this.#copies.get(requestId);
		if (copy !== undefined) {
			copy.releasedAt = this.#clock.now();
		}
	}

	#dropReleased(): void {
		const before = this.#clock.now() - releasedRetentionMs;
		for (const [requestId, copy] of this.#copies) {
			if (copy.releasedAt !== undefined && copy.releasedAt < before) {
				this.#copies.delete(requestId);
			}
		}
	}
}
