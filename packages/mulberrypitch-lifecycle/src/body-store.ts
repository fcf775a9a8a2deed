/** Reads the bodies of requests into memory, up to a limit for each and one for all of them. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {ClientLimits} from './client-limits.js';
import {FragmentedBodies, type FragmentedReading} from './fragmented-bodies.js';

/** The body of a request, or why there is none. */
export type StoredBody
	= | {readonly kind: 'whole'; readonly body: Uint8Array}
		| {readonly kind: 'tooLong'}
	/** The bodies of all requests together take too much memory, or too many arrive in very small parts. */
		| {readonly kind: 'crowded'};

/** A body that is being read or is held whole. */
type Entry = {
	/** Blocks that are full but for the last one; none once the reading has ended. */
	blocks: Uint8Array[];
	lengthBytes: number;
	/** Memory that the body takes. */
	heldBytes: number;
	/** Ends the reading with a result; absent once it has ended. */
	end: ((result: StoredBody) => void) | undefined;
};

/** Size in bytes of the blocks into which bodies are read. They are used again, so that a crowd of senders leaves no garbage behind. */
const blockBytes = 16 * 1024;

/**
Holds the bodies of the requests of one server until they are released. Where a further byte would exceed the limit for all of them, the reading that
began first is given up: a client that sends its body has it read long before one that stops short of its end.
*/
export class BodyStore {
	readonly #maxBytes: number;
	/** In the order in which their readings began. */
	readonly #entries = new Map<IncomingMessage, Entry>();
	/** Blocks that are not in use. */
	readonly #freeBlocks: Uint8Array[] = [];
	readonly #fragmented: FragmentedBodies;
	#heldBytes = 0;

	constructor({maxBufferedBytes, maxFragmentedBodies}: Pick<ClientLimits, 'maxBufferedBytes' | 'maxFragmentedBodies'>) {
		this.#maxBytes = maxBufferedBytes;
		this.#fragmented = new FragmentedBodies(maxFragmentedBodies);
	}

	/** Bytes that all bodies take. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/**
	Reads the body of a request, which must be released when the request ends. Rejects if the connection closes before the end of the body.

	@example
	```
	const stored = await bodies.read(request, 65_536);
	```
	*/
	async read(request: IncomingMessage, maxBytes: number): Promise<StoredBody> {
		if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
			return {kind: 'tooLong'};
		}

		if (request.destroyed) {
			throw new Error('The connection was closed before the body was read.');
		}

		return new Promise<StoredBody>((resolve, reject) => {
			const entry: Entry = {
				blocks: [], lengthBytes: 0, heldBytes: 0, end: undefined,
			};
			const reading: FragmentedReading = {
				parts: 0, bytes: 0, giveUp() {
					entry.end?.({kind: 'crowded'});
				},
			};
			const onData = (part: Uint8Array) => {
				this.#append(entry, part, maxBytes);
				this.#fragmented.add(reading, part);
			};

			const onEnd = () => {
				entry.end?.({kind: 'whole', body: this.#join(entry)});
			};

			const onClose = () => {
				reject(new Error('The connection was closed before the end of the body.'));
				this.release(request);
			};

			entry.end = result => {
				entry.end = undefined;
				this.#fragmented.remove(reading);
				request.off('data', onData).off('end', onEnd).off('close', onClose);
				resolve(result);
				if (result.kind !== 'whole') {
					request.pause();
					this.release(request);
				}
			};

			this.#entries.set(request, entry);
			request.on('data', onData).once('end', onEnd).once('close', onClose);
			request.on('error', () => {
				// A close event follows.
			});
		});
	}

	/** Frees the memory of a request's body, and ends its reading if it is not whole. */
	release(request: IncomingMessage): void {
		const entry = this.#entries.get(request);
		if (entry !== undefined) {
			this.#entries.delete(request);
			this.#freeBlocksOf(entry);
			this.#hold(entry, 0);
			entry.end?.({kind: 'crowded'});
		}
	}

	/** Copies a part of a body into its blocks. */
	#append(entry: Entry, part: Uint8Array, maxBytes: number): void {
		if (entry.lengthBytes + part.length > maxBytes) {
			entry.end?.({kind: 'tooLong'});
			return;
		}

		let copiedBytes = 0;
		while (copiedBytes < part.length) {
			const usedBytes = entry.lengthBytes % blockBytes;
			if (entry.lengthBytes === entry.blocks.length * blockBytes && !this.#addBlock(entry)) {
				return;
			}

			const piece = part.subarray(copiedBytes, copiedBytes + blockBytes - usedBytes);
			entry.blocks.at(-1)!.set(piece, usedBytes);
			entry.lengthBytes += piece.length;
			copiedBytes += piece.length;
		}
	}

	/** Adds a block to a body. Gives up the readings that began first, perhaps this one, until there is room. Returns whether this one goes on. */
	#addBlock(entry: Entry): boolean {
		while (entry.end !== undefined && this.#heldBytes + blockBytes > this.#maxBytes) {
			const first = [...this.#entries.values()].find(({end}) => end !== undefined);
			first?.end?.({kind: 'crowded'});
		}

		if (entry.end === undefined) {
			return false;
		}

		entry.blocks.push(this.#freeBlocks.pop() ?? new Uint8Array(blockBytes));
		this.#hold(entry, entry.heldBytes + blockBytes);
		return true;
	}

	/** Returns the whole body in one piece, and frees its blocks. */
	#join(entry: Entry): Uint8Array {
		const body = Buffer.concat(entry.blocks, entry.lengthBytes);
		this.#freeBlocksOf(entry);
		this.#hold(entry, body.length);
		return body;
	}

	#freeBlocksOf(entry: Entry): void {
		this.#freeBlocks.push(...entry.blocks);
		entry.blocks = [];
	}

	#hold(entry: Entry, heldBytes: number): void {
		this.#heldBytes += heldBytes - entry.heldBytes;
		entry.heldBytes = heldBytes;
	}
}
