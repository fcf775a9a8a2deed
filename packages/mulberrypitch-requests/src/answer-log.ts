/** The answer of one request: contiguous chunks, then one end. */
import {createHash} from 'node:crypto';
import {assertInvariant} from '@mulberrypitch/errors/catalogue';
import {Notification} from '@mulberrypitch/lifecycle/background';
import type {Outcome} from '@mulberrypitch/control/types';
import type {AnswerChunk, AnswerHead} from './types.js';

/**
Collects an answer and lets any number of readers follow it. Readers see only confirmed chunks: those that the standby
has too, so that a new holder never continues behind what a caller has seen.
*/
export class AnswerLog {
	readonly #chunks: AnswerChunk[] = [];
	readonly #changed = new Notification();
	#confirmed = 0;
	#head: AnswerHead | undefined;
	#outcome: Outcome | undefined;
	#isAbandoned = false;

	constructor(chunks: readonly AnswerChunk[] = []) {
		this.add(chunks);
	}

	get length(): number {
		return this.#chunks.length;
	}

	/** Chunks that readers may see. */
	get confirmed(): number {
		return this.#confirmed;
	}

	get outcome(): Outcome | undefined {
		return this.#outcome;
	}

	get head(): AnswerHead | undefined {
		return this.#head;
	}

	/** Another host carries the request on; this log does not grow any more. */
	get isAbandoned(): boolean {
		return this.#isAbandoned;
	}

	/** Gives the chunks from an offset on. */
	getChunks(fromOffset = 0): readonly AnswerChunk[] {
		return this.#chunks.slice(fromOffset);
	}

	/** Gives the chunks from an offset on that readers may see. */
	getConfirmed(fromOffset = 0): readonly AnswerChunk[] {
		return this.#chunks.slice(fromOffset, this.#confirmed);
	}

	/** Gives the text of all chunks. */
	getText(): string {
		return this.#chunks.map(chunk => chunk.text).join('');
	}

	/** Gives the SHA-256 of the text in hex. */
	getDigest(): string {
		return createHash('sha256').update(this.getText()).digest('hex');
	}

	/** Appends text as the next chunk. */
	append(text: string): void {
		this.add([{offset: this.#chunks.length, text}]);
	}

	/** Adds chunks; those already here are compared and skipped. */
	add(chunks: readonly AnswerChunk[]): void {
		for (const chunk of chunks) {
			const known = this.#chunks[chunk.offset];
			if (known !== undefined) {
				assertInvariant(known.text === chunk.text, `Chunk ${chunk.offset} differs from the one given before.`);
				continue;
			}

			assertInvariant(this.#outcome === undefined, 'An ended answer does not grow.');
			assertInvariant(chunk.offset === this.#chunks.length, `Chunk ${chunk.offset} does not follow chunk ${this.#chunks.length - 1}.`);
			this.#chunks.push(chunk);
		}

		this.#changed.notify();
	}

	/** Shows readers the chunks below a length. */
	confirm(length: number): void {
		assertInvariant(length <= this.#chunks.length, `Only ${this.#chunks.length} chunks exist, not ${length}.`);
		if (length > this.#confirmed) {
			this.#confirmed = length;
			this.#changed.notify();
		}
	}

	setHead(head: AnswerHead): void {
		this.#head = head;
	}

	/** Ends the answer and confirms all of it. A second end must be the same. */
	end(outcome: Outcome): void {
		assertInvariant(this.#outcome === undefined || this.#outcome.end === outcome.end, 'A request ends once.');
		this.#outcome = outcome;
		this.#confirmed = this.#chunks.length;
		this.#changed.notify();
	}

	/** Tells readers to look elsewhere. */
	abandon(): void {
		this.#isAbandoned = this.#outcome === undefined;
		this.#changed.notify();
	}

	/** Resolves when more than the given number of chunks are confirmed, or nothing more will come, or the signal aborts. */
	async waitConfirmed(length: number, signal: AbortSignal): Promise<void> {
		await this.#wait(() => this.#confirmed > length, signal);
	}

	/** Resolves when there is more than the given number of chunks, or nothing more will come, or the signal aborts. */
	async waitAppended(length: number, signal: AbortSignal): Promise<void> {
		await this.#wait(() => this.#chunks.length > length, signal);
	}

	async #wait(isReached: () => boolean, signal: AbortSignal): Promise<void> {
		while (!isReached() && this.#outcome === undefined && !this.#isAbandoned && !signal.aborted) {
			await this.#changed.wait(signal);
		}
	}
}
