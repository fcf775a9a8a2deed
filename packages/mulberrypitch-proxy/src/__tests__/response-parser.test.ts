/** Tests the parser with responses whose bytes arrive in arbitrary parts, and with malformed responses. */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import t from 'tap';
import {ResponseParser} from '../response-parser.js';

type Read = {
	readonly statuses: readonly number[];
	readonly bodies: readonly string[];
	readonly ends: number;
};

/** Parses a text that is split at the given positions. */
function readPieces(text: string, cuts: readonly number[] = [], isBodiless = false): Read {
	const statuses: number[] = [];
	const bodies: string[] = [];
	let ends = 0;
	const parser = new ResponseParser({
		onHead({status}) {
			statuses.push(status);
			bodies.push('');
		},
		onBody(data) {
			bodies.push(bodies.pop()! + Buffer.from(data).toString('latin1'));
		},
		onEnd() {
			ends += 1;
		},
	}, () => isBodiless);
	const places = [0, ...cuts.map(cut => cut % text.length).toSorted((left, right) => left - right), text.length];
	for (const [index, place] of places.slice(1).entries()) {
		parser.push(Buffer.from(text.slice(places[index], place), 'latin1'));
	}

	return {statuses, bodies, ends};
}

const smallChunks = 10_000;
const chunked = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1;x=y\r\n!\r\n0\r\nTrailer: t\r\n\r\n';
const counted = 'HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nnope';

await t.test('consecutive responses are parsed alike however their bytes are split', async t => {
	const text = `HTTP/1.1 103 Early\r\nLink: x\r\n\r\n${chunked}${counted}`;
	fc.assert(fc.property(fc.array(fc.nat(), {maxLength: 12}), cuts => {
		const {statuses, bodies, ends} = readPieces(text, cuts);
		return statuses.join(' ') === '200 503' && bodies.join(' ') === 'hello! nope' && ends === 2;
	}), {seed: 7, numRuns: 300});
	t.pass();
});

// Guards against an entry that answers nobody for half a second while it relays many small chunks of one read, each with a write of its own.
await t.test('the chunks of one read are passed on together', async t => {
	let calls = 0;
	let bytes = 0;
	const parser = new ResponseParser({
		onHead() {
			// Only the body matters here.
		},
		onBody(data) {
			calls += 1;
			bytes += data.length;
		},
		onEnd() {
			// Only the body matters here.
		},
	}, () => false);
	parser.push(Buffer.from(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\na\r\n'.repeat(smallChunks)}`));
	t.equal(calls, 1);
	t.equal(bytes, smallChunks);
});

await t.test('a response without a body ends with its head', async t => {
	t.match(readPieces('HTTP/1.1 204 None\r\n\r\n'), {ends: 1});
	t.match(readPieces('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n', [], true), {ends: 1});
});

const bad = {
	'no HTTP': 'SSH-2.0-x\r\n\r\n',
	'two lengths': 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
	'a length beside chunks': 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
	'a chunk without a size': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
	'a folded header': 'HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\n',
};

for (const [name, text] of Object.entries(bad)) {
	await t.test(`${name} is refused`, async t => {
		t.throws(() => readPieces(text), {code: 'protocol'});
	});
}
