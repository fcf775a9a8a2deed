/** Tests the collection of bytes that arrive in parts. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import t from 'tap';
import {ByteBuffer} from '../byte-buffer.js';

/** Memory in mebibytes for the objects of the worker. The body has less than a mebibyte. */
const maxOldGenerationSizeMb = 32;

// Guards against parts that are lost or out of order where the memory grows.
await t.test('the bytes are those of all parts, whatever their sizes', async t => {
	const buffer = new ByteBuffer();
	const parts = [0, 1, 1, 2, 1000, 1, 5000, 3].map((length, index) => Buffer.alloc(length, index));
	for (const part of parts) {
		buffer.append(part);
	}

	t.equal(buffer.lengthBytes, Buffer.concat(parts).length);
	t.strictSame(buffer.bytes, Buffer.concat(parts));
});

// Guards against bytes that change while they are being written to a caller.
await t.test('bytes that were read or taken stay as they are', async t => {
	const buffer = new ByteBuffer();
	const part = Buffer.from('abc');
	buffer.append(part);
	const read = buffer.bytes;
	part.fill('x');
	buffer.append(Buffer.from('def'));
	t.equal(read.toString(), 'abc');
	const taken = buffer.take();
	buffer.append(Buffer.from('uvwxyz'));
	t.equal(taken.toString(), 'abcdef');
	t.equal(buffer.bytes.toString(), 'uvwxyz');
});

// Guards against a body that takes a hundred times its size since its sender writes single bytes.
await t.test('a body of single bytes is read into little more memory than their number', async t => {
	const worker = new Worker(new URL('single-byte-body.js', import.meta.url), {execArgv: [], resourceLimits: {maxOldGenerationSizeMb}});
	const failures: unknown[] = [];
	worker.on('error', error => {
		failures.push(error);
	});
	await once(worker, 'exit');
	t.strictSame(failures, []);
});
