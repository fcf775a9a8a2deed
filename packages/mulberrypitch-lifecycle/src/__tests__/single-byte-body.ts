/** Reads a body that arrives one byte at a time, in a worker whose memory is limited. For tests. */
import {readText} from '../read-text.js';

const count = 600_000;

async function * send(): AsyncGenerator<Uint8Array, void> {
	for (let sent = 0; sent < count; sent += 1) {
		yield Uint8Array.of(0x61);
	}
}

await readText(send(), {maxBytes: count, subject: 'The body'});
