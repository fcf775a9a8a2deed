/** Tests of the reader of lines. */
import {Buffer} from 'node:buffer';
import type net from 'node:net';
import {PassThrough} from 'node:stream';
import fc from 'fast-check';
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {createLineReader} from '../line-stream.js';

const chunkBytes = 1024;
const fuzzRuns = 100;

async function readLines(chunks: readonly Uint8Array[], count: number): Promise<readonly string[]> {
	const socket = new PassThrough();
	const lines: string[] = [];
	const reader = createLineReader(assumeType<net.Socket>(socket))[Symbol.asyncIterator]();
	for (const chunk of chunks) {
		socket.write(chunk);
	}

	while (lines.length < count) {
		const line = await reader.next();
		if (line.done) {
			break;
		}

		lines.push(line.value);
	}

	socket.destroy();
	return lines;
}

function cut(bytes: Uint8Array, size: number): readonly Uint8Array[] {
	return Array.from({length: Math.ceil(bytes.length / size)}, (_, index) => bytes.subarray(index * size, (index + 1) * size));
}

/** Returns the number of characters in which the reader searches for line ends while it reads one line in chunks. */
async function countSearched(t: Test, length: number): Promise<number> {
	let searched = 0;
	const searches = ['split', 'indexOf', 'search', 'match'] as const;
	const captures = searches.map(method => {
		const original = assumeType<(...values: unknown[]) => unknown>(Reflect.get(String.prototype, method));
		return t.intercept(String.prototype, method, {
			configurable: true,
			writable: true,
			value(this: string, ...values: unknown[]) {
				searched += this.length;
				return original.apply(this, values);
			},
		});
	});
	const [line] = await readLines(cut(Buffer.from(`${'x'.repeat(length)}\n`), chunkBytes), 1);
	for (const capture of captures) {
		capture.restore();
	}

	t.equal(line?.length, length);
	return searched;
}

// Guards against an entry that is busy for long with one large message, since it searches the unfinished line again with each chunk.
await t.test('a line that arrives in many chunks is searched once', async t => {
	const length = 512 * 1024;
	const searched = await countSearched(t, length);
	t.ok(searched >= length, 'the search is counted');
	t.ok(searched <= 2 * length, `${searched} characters were searched`);
});

// Guards against lines that are lost, merged or garbled where a chunk ends in a line end or inside a character.
await t.test('lines are the same however the bytes are cut', async t => {
	await fc.assert(fc.asyncProperty(fc.array(fc.string({unit: 'grapheme'}).map(text => text.replaceAll(/[\r\n]/gv, ' '))), fc.integer({min: 1, max: 9}), async (lines, size) => {
		const bytes = Buffer.from(lines.map(line => `${line}\n`).join(''));
		t.strictSame(await readLines(cut(bytes, size), lines.length), lines);
	}), {numRuns: fuzzRuns, seed: 1});
});
