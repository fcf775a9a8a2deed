/** Tests the boundaries of events in streams whose bytes are split anywhere, with each of the three line endings. */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import t from 'tap';
import {EventBoundary} from '../event-boundary.js';

const streams = {
	'line feed': 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
	'carriage return and line feed': 'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n',
	'carriage return': 'id: 1\rdata: a\r\rid: 2\rdata: b\r\r',
};

/** Scans a stream in parts and returns the number of bytes of complete events, and of those after them. */
function scan(text: string, cuts: readonly number[]): {complete: number; open: number} {
	const boundary = new EventBoundary();
	const places = [0, ...cuts.map(cut => cut % text.length).toSorted((left, right) => left - right), text.length];
	let complete = 0;
	for (const [index, place] of places.slice(1).entries()) {
		const start = places[index]!;
		const completeBytes = boundary.push(Buffer.from(text.slice(start, place)));
		complete = completeBytes === 0 ? complete : start + completeBytes;
	}

	return {complete, open: boundary.openBytes};
}

for (const [name, stream] of Object.entries(streams)) {
	await t.test(`a stream whose lines end with ${name} ends inside an event unless its last line is blank`, async t => {
		fc.assert(fc.property(fc.array(fc.nat(), {maxLength: 8}), cuts => {
			const whole = scan(stream, cuts);
			const broken = scan(`${stream}id: 3`, cuts);
			const unterminated = scan(stream.slice(0, stream.lastIndexOf('b') + 1), cuts);
			return whole.complete === stream.length && whole.open === 0
				&& broken.complete === stream.length && broken.open === 5
				&& unterminated.open > 0;
		}), {seed: 11, numRuns: 300});
		t.pass();
	});
}

await t.test('a stream without any byte does not end inside an event', async t => {
	t.equal(new EventBoundary().openBytes, 0);
});
