/** The answer of one request: a log of contiguous chunks that ends with one outcome. */
import {createHash} from 'node:crypto';
import {assertInvariant} from '@mulberrypitch/errors/catalogue';
import {Notification} from '@mulberrypitch/lifecycle/background';
import {backendKinds, type Outcome} from '@mulberrypitch/control/types';
import type {AnswerChunk, AnswerHead, HeldCopy} from './types.js';

/** Where an answer comes from. */
export type AnswerOrigin = {
	/** Version of the software of the back end that wrote the first chunk, or `undefined` if that back end states none. */
	readonly version: string | undefined;
};

/**
Creates the answer with which a holder begins. A plain service runs the whole call again, so what it answered to an earlier holder is left out.

@example
```
const answer = createAnswerLog(copy);
```
*/
export function createAnswerLog({kind, chunks, version}: HeldCopy): AnswerLog {
	return kind === backendKinds.plain ? new AnswerLog() : new AnswerLog(chunks, version);
}

/**
Collects the chunks of an answer and notifies any number of readers. Readers see only confirmed chunks, which the standby has
stored too. A new holder therefore has every chunk that a caller has read.

@example
```
const answer = new AnswerLog();
answer.append('text');
answer.confirm(1);
```
*/
export class AnswerLog {
	readonly #chunks: AnswerChunk[] = [];
	/** Notified after each change for which a reader or the standby link may wait. */
	readonly #changed = new Notification();
	#confirmed = 0;
	#origin: AnswerOrigin | undefined;
	#head: AnswerHead | undefined;
	#outcome: Outcome | undefined;
	#isAbandoned = false;

	/** Creates a log with chunks that back ends with the given software version wrote. */
	constructor(chunks: readonly AnswerChunk[] = [], version?: string) {
		this.#setOrigin(chunks, version);
		this.add(chunks);
	}

	/** Number of chunks, confirmed or not. */
	get length(): number {
		return this.#chunks.length;
	}

	/** Number of chunks that readers may see. */
	get confirmed(): number {
		return this.#confirmed;
	}

	/** Where the chunks come from, or `undefined` while there are none. */
	get origin(): AnswerOrigin | undefined {
		return this.#origin;
	}

	/** The outcome of the request, or `undefined` before its end. */
	get outcome(): Outcome | undefined {
		return this.#outcome;
	}

	/** The HTTP status and content type of the answer of a plain service, or `undefined` when they are not known. */
	get head(): AnswerHead | undefined {
		return this.#head;
	}

	/** Whether another host continues the request, so that this log no longer grows. */
	get isAbandoned(): boolean {
		return this.#isAbandoned;
	}

	/** Returns all chunks from an offset on. */
	getChunks(fromOffset = 0): readonly AnswerChunk[] {
		return this.#chunks.slice(fromOffset);
	}

	/** Returns the confirmed chunks from an offset on. */
	getConfirmed(fromOffset = 0): readonly AnswerChunk[] {
		return this.#chunks.slice(fromOffset, this.#confirmed);
	}

	/** Returns the text of all chunks. */
	getText(): string {
		return this.#chunks.map(chunk => chunk.text).join('');
	}

	/** Returns the SHA-256 digest of the text in hexadecimal. */
	getDigest(): string {
		return createHash('sha256').update(this.getText()).digest('hex');
	}

	/** Appends text as the next chunk. The first one sets the software version that the answer comes from. */
	append(text: string, version?: string): void {
		const chunks = [{offset: this.#chunks.length, text}];
		this.#setOrigin(chunks, version);
		this.add(chunks);
	}

	/** Adds chunks. A chunk whose offset already exists must have the same text and is skipped. */
	add(chunks: readonly AnswerChunk[]): void {
		for (const chunk of chunks) {
			const existing = this.#chunks[chunk.offset];
			if (existing !== undefined) {
				assertInvariant(existing.text === chunk.text, `Chunk ${chunk.offset} differs from the one received before.`);
				continue;
			}

			assertInvariant(this.#outcome === undefined, 'A chunk was added after the end of the answer.');
			assertInvariant(chunk.offset === this.#chunks.length, `Chunk ${chunk.offset} does not follow chunk ${this.#chunks.length - 1}.`);
			this.#chunks.push(chunk);
		}

		this.#changed.notify();
	}

	/** Makes the first `length` chunks visible to readers. */
	confirm(length: number): void {
		assertInvariant(length <= this.#chunks.length, `Only ${this.#chunks.length} chunks exist, not ${length}.`);
		if (length > this.#confirmed) {
			this.#confirmed = length;
			this.#changed.notify();
		}
	}

	/** Sets the HTTP status and content type of the answer. */
	setHead(head: AnswerHead): void {
		this.#head = head;
	}

	/** Sets the outcome and confirms all chunks. A second call must have the same `end`. */
	end(outcome: Outcome): void {
		assertInvariant(this.#outcome === undefined || this.#outcome.end === outcome.end, 'The request has already ended in another way.');
		this.#outcome = outcome;
		this.#confirmed = this.#chunks.length;
		this.#changed.notify();
	}

	/** Makes readers look for the answer on another host, unless it has ended here. */
	abandon(): void {
		this.#isAbandoned = this.#outcome === undefined;
		this.#changed.notify();
	}

	/** Resolves when more than `length` chunks are confirmed, when no more will be, or when the signal aborts. */
	async waitConfirmed(length: number, signal: AbortSignal): Promise<void> {
		await this.#wait(() => this.#confirmed > length, signal);
	}

	/** Resolves when the log has more than `length` chunks, when no more will be added, or when the signal aborts. */
	async waitAppended(length: number, signal: AbortSignal): Promise<void> {
		await this.#wait(() => this.#chunks.length > length, signal);
	}

	#setOrigin(chunks: readonly AnswerChunk[], version: string | undefined): void {
		if (this.#origin === undefined && chunks.length > 0) {
			this.#origin = {version};
		}
	}

	async #wait(isReached: () => boolean, signal: AbortSignal): Promise<void> {
		while (!isReached() && this.#outcome === undefined && !this.#isAbandoned && !signal.aborted) {
			await this.#changed.wait(signal);
		}
	}
}
