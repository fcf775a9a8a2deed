/** Tests the conversion of texts that are put into the heads of HTTP messages. */
import {Buffer} from 'node:buffer';
import t from 'tap';
import {encodeHeaderText, getHeaderForms, isHeaderText} from '../header-text.js';

const sendable = ['a', 'a b', 'a\tb', 'Łódź', '\u00A0', 'Ã¼', '🖨'];

// Guards against two texts that the reader of a head can't tell apart, and against one that ends its line.
await t.test('a text that a header can carry is read back from its bytes', async t => {
	for (const text of sendable) {
		t.equal(isHeaderText(text), true, JSON.stringify(text));
		t.equal(Buffer.from(encodeHeaderText(text), 'latin1').toString(), text);
	}
});

// Guards against a text that ends its line, or that the reader of a head cuts at its ends.
await t.test('texts that no header can carry are told', async t => {
	for (const text of ['', ' ', 'a ', ' a', '\ta', 'a\r', 'a\nb', 'a\u0000b', '\u007F', '\uD800', 'a\uDFFF']) {
		t.equal(isHeaderText(text), false, JSON.stringify(text));
	}
});

// Guards against a key that is refused since its sender wrote it in the other encoding.
await t.test('the forms of a text are UTF-8 and, if it has all the letters, Latin-1', async t => {
	t.same(getHeaderForms('key'), ['key']);
	t.same(getHeaderForms('é'), ['\u00C3\u00A9', 'é']);
	t.same(getHeaderForms('ł'), ['\u00C5\u0082']);
});
