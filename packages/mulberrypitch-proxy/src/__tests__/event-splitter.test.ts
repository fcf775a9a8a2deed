/** Tests the splitter with streams whose bytes are split within an event. */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import t from 'tap';
import {EventSplitter} from '../event-splitter.js';

const stream = 'id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\nda';

await t.test('complete events pass once and in order however their bytes are split, and an incomplete one is held back', async t => {
	fc.assert(fc.property(fc.array(fc.nat(stream.length), {maxLength: 10}), cuts => {
		const splitter = new EventSplitter();
		const places = [0, ...cuts.toSorted((left, right) => left - right), stream.length];
		let passed = '';
		let lastId: string | undefined;
		for (const [index, place] of places.slice(1).entries()) {
			const events = splitter.push(Buffer.from(stream.slice(places[index], place)));
			passed += events === undefined ? '' : Buffer.from(events.data).toString();
			lastId = events?.lastId ?? lastId;
		}

		return passed === stream.slice(0, stream.lastIndexOf('id: 4')) && lastId === '3';
	}), {seed: 5, numRuns: 300});
	t.pass();
});

// Guards against a stream that is held back until its end because its lines do not end with a line feed alone.
await t.test('events pass as they become complete whatever the line ending', async t => {
	for (const lineEnd of ['\r\n', '\r']) {
		const splitter = new EventSplitter();
		const event = `id: 1${lineEnd}data: a${lineEnd}${lineEnd}`;
		const events = splitter.push(Buffer.from(`${event}id: 2${lineEnd}da`));
		t.equal(events === undefined ? '' : Buffer.from(events.data).toString(), event);
		t.equal(events?.lastId, '1');
	}
});
