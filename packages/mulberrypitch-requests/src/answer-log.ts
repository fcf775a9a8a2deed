/** The answer of one request: contiguous chunks, then one end. */
import {createHash} from 'node:crypto';
import {assertInvariant} from '@mulberrypitch/errors/catalogue';
import {Notification} from '@mulberrypitch/lifecycle/background';
import type {Outcome} from '@mulberrypitch/control/types';
import type {AnswerChunk, AnswerEvent, AnswerHead} from './types.js';

/** Collects an answer and lets any number of readers follow it. */
export class AnswerLog {
	readonly #chunks: AnswerChunk[] = [];
	readonly #changed = new Notification();
	#head: AnswerHead | undefined;
	#outcome: Outcome | undefined;

	constructor(chunks: readonly AnswerChunk[] = []) {
		this.add(chunks);
	}

	get length(): number {
		return this.#chunks.length;
	}

	get outcome(): Outcome | undefined {
		return this.#outcome;
	}

	get head(): AnswerHead | undefined {
		return this.#head;
	}

	/** Gives the chunks from an offset on. */
	getChunks(fromOffset = 0): readonly AnswerChunk[] {
		return this.#chunks.slice(fromOffset);
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

	setHead(head: AnswerHead): void {
		this.#head = head;
	}

	/** Ends the answer. A second end must be the same. */
	end(outcome: Outcome): void {
		assertInvariant(this.#outcome === undefined || this.#outcome.end === outcome.end, 'A request ends once.');
		this.#outcome = outcome;
		this.#changed.notify();
	}

	/** Resolves when there is more than the given number of chunks, or an end, or the signal aborts. */
	async wait(length: number, signal: AbortSignal): Promise<void> {
		while (this.#chunks.length <= length && this.#outcome === undefined && !signal.aborted) {
			await this.#changed.wait(signal);
		}
	}

	/** Streams the answer from an offset on, and its end. */
	async * read(fromOffset: number, signal: AbortSignal): AsyncGenerator<AnswerEvent, void> {
		let offset = fromOffset;
		while (!signal.aborted) {
			await this.wait(offset, signal);
			for (const chunk of this.getChunks(offset)) {
				yield {kind: 'chunk', chunk};
				offset += 1;
			}

			if (this.#outcome !== undefined && offset >= this.#chunks.length) {
				yield {kind: 'end', outcome: this.#outcome, ...(this.#head !== undefined && {head: this.#head})};
				return;
			}
		}
	}
}
