/** Tests by which fingerprints the contents of requests are told apart. */
import t from 'tap';
import {getContentFingerprints} from '../content-fingerprints.js';

function getPartFingerprints(sharedParts: readonly string[]) {
	return getContentFingerprints({
		workspace: 'shop', method: 'POST', path: '/chat/', body: new Uint8Array(), sharedParts,
	}).slice(0, -1);
}

// Guards against two parts of which one crashes back ends, and whose long identifiers begin alike, being quarantined together.
await t.test('parts whose long identifiers begin alike are different contents', async t => {
	const beginning = 'x'.repeat(64);
	const [first, second] = getPartFingerprints([`${beginning}1`, `${beginning}2`]);
	t.not(first, second);
	t.ok(first!.length < 80);
	t.equal(getPartFingerprints([`${beginning}1`])[0], first);
	t.not(getPartFingerprints([beginning])[0], first);
});

// Guards against a fingerprint that an operator can't find among the shared parts that the entries log.
await t.test('a short identifier is readable in its fingerprint', async t => {
	t.strictSame(getPartFingerprints(['5c1e', '91bd']), ['part:5c1e', 'part:91bd']);
});
