/**
 * The encoded form in which configurations are sent: blocks of JSON, each compressed with deflate and preceded by its length, so that a
 * reader can decode a large configuration in short steps.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {ProtocolError} from '@mulberrypitch/errors/catalogue';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import type {ConfigurationDelta, DeltaHeader, DeltaItems} from './configuration-delta.js';

/** Number of characters of JSON from which on a further item begins a new block. At 48 Ki a block is decoded in under a millisecond. */
export const blockCharacters = 48 * 1024;
/** Maximum number of bytes of one decompressed block. */
const maxBlockBytes = 16 * 1024 * 1024;
/** Number of bytes of the length before each block. */
const lengthBytes = 4;

const itemKinds = ['services', 'workspaces', 'routes', 'removedServices', 'removedWorkspaces', 'removedRoutes'] as const satisfies ReadonlyArray<keyof DeltaItems>;

type ItemKind = typeof itemKinds[number];

/** One block. The first one has a header. */
type Block = Partial<DeltaItems> & {
	readonly header?: DeltaHeader;
};

/**
Encodes a delta.

@example
```
const bytes = encodeDelta(createWholeDelta(held));
```
*/
export function encodeDelta({header, items}: ConfigurationDelta): Uint8Array {
	const writer = new BlockWriter(header);
	for (const kind of itemKinds) {
		for (const item of items[kind]) {
			writer.add(kind, JSON.stringify(item));
		}
	}

	return writer.finish();
}

/**
Decodes a delta block by block: a step of the generator decodes one block, and its return value is the delta. Throws `ProtocolError`
when the bytes are no encoded delta.

@example
```
const steps = decodeDelta(bytes);
```
*/
export function * decodeDelta(bytes: Uint8Array): Generator<void, ConfigurationDelta> {
	const items: Record<ItemKind, unknown[]> = {
		services: [], workspaces: [], routes: [], removedServices: [], removedWorkspaces: [], removedRoutes: [],
	};
	let header: DeltaHeader | undefined;
	for (const compressed of listBlocks(bytes)) {
		const block = decodeBlock(compressed);
		header ??= block.header;
		for (const kind of itemKinds) {
			for (const item of block[kind] ?? []) {
				items[kind].push(item);
			}
		}

		yield;
	}

	if (header === undefined) {
		throw new ProtocolError('An encoded configuration has no header.');
	}

	return {header, items: assumeType<DeltaItems>(items)};
}

/**
Returns the number of blocks of an encoded delta.

@example
```
const isSmall = countBlocks(bytes) === 1;
```
*/
export function countBlocks(bytes: Uint8Array): number {
	return [...listBlocks(bytes)].length;
}

/**
Returns the SHA-256 digest of a text or of bytes, in hexadecimal.

@example
```
const digest = getDigest(JSON.stringify(configuration));
```
*/
export function getDigest(content: string | Uint8Array): string {
	return createHash('sha256').update(content).digest('hex');
}

function * listBlocks(bytes: Uint8Array): Generator<Uint8Array> {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	for (let position = 0; position < bytes.length;) {
		const start = position + lengthBytes;
		const end = start <= bytes.length ? start + view.getUint32(position) : Number.POSITIVE_INFINITY;
		if (end > bytes.length) {
			throw new ProtocolError('An encoded configuration is cut off.');
		}

		yield bytes.subarray(start, end);
		position = end;
	}
}

function decodeBlock(compressed: Uint8Array): Block {
	try {
		return assumeType<Block>(JSON.parse(inflateRawSync(compressed, {maxOutputLength: maxBlockBytes}).toString()));
	} catch (error) {
		throw new ProtocolError(`A block of an encoded configuration is not readable: ${getMessage(error)}`);
	}
}

/** Writes blocks one after the other. */
class BlockWriter {
	readonly #blocks: Uint8Array[] = [];
	/** Fields of the block in progress that are complete. */
	#fields: string[];
	/** Items of the list in progress. */
	#kind: ItemKind = 'services';
	#items: string[] = [];
	#characters: number;

	constructor(header: DeltaHeader) {
		this.#fields = [`"header":${JSON.stringify(header)}`];
		this.#characters = this.#fields[0]!.length;
	}

	add(kind: ItemKind, item: string): void {
		if (this.#characters > 0 && this.#characters + item.length > blockCharacters) {
			this.#endBlock();
		}

		if (kind !== this.#kind) {
			this.#endList();
			this.#kind = kind;
		}

		this.#items.push(item);
		this.#characters += item.length;
	}

	finish(): Uint8Array {
		this.#endBlock();
		return Buffer.concat(this.#blocks);
	}

	#endList(): void {
		if (this.#items.length > 0) {
			this.#fields.push(`"${this.#kind}":[${this.#items.join(',')}]`);
			this.#items = [];
		}
	}

	#endBlock(): void {
		this.#endList();
		const compressed = deflateRawSync(`{${this.#fields.join(',')}}`);
		const length = Buffer.alloc(lengthBytes);
		length.writeUInt32BE(compressed.length);
		this.#blocks.push(length, compressed);
		this.#fields = [];
		this.#characters = 0;
	}
}
