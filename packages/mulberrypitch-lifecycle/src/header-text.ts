/**
 * Texts in the heads of HTTP messages. Node.js reads and writes a head as one character for each byte, and keeps only the low byte of any other
 * character. So a text is converted to the bytes of its UTF-8, one character for each, before it is put into a head.
 */
import {Buffer} from 'node:buffer';

const ascii = /^\p{ASCII}*$/v;
/** What a header can't carry: control characters other than a tab inside, blanks at an end, which the reader removes, and halves of characters. */
const unsendable = /[^\t\u0020-\u007E\u0080-\u{10FFFF}]|^[\t ]|[\t ]$|\p{Surrogate}/v;

/** What the decoder of UTF-8 puts in place of bytes that it can't read. */
const replacementCharacter = '\uFFFD';

/**
Reports whether a header can carry a text so that its reader gets the same text.

@example
```
isHeaderText('two\r\nlines'); // false
```
*/
export function isHeaderText(text: string): boolean {
	return text !== '' && !unsendable.test(text);
}

/**
Returns a text as it is put into a head: the bytes of its UTF-8, one character for each. What is written in one piece with such a head must be
bytes, since Node.js would write a string and the head before it as UTF-8 together.

@example
```
response.setHeader('x-name', encodeHeaderText('Łódź'));
```
*/
export function encodeHeaderText(text: string): string {
	return ascii.test(text) ? text : Buffer.from(text).toString('latin1');
}

/**
Returns the text that a head has as UTF-8, or the text as Node.js reads it if its bytes are no UTF-8.

@example
```
decodeHeaderText('\u00C5\u0082'); // 'ł'
```
*/
export function decodeHeaderText(value: string): string {
	if (ascii.test(value)) {
		return value;
	}

	const text = Buffer.from(value, 'latin1').toString();
	return text.includes(replacementCharacter) ? value : text;
}

/**
Returns the forms in which a sender may have put a text into a head, as Node.js reads them: UTF-8, and Latin-1 if it has all the letters.

@example
```
getHeaderForms('é'); // ['Ã©', 'é']
```
*/
export function getHeaderForms(text: string): readonly string[] {
	const encoded = encodeHeaderText(text);
	const isLatin = Buffer.from(text, 'latin1').toString('latin1') === text;
	return isLatin && encoded !== text ? [encoded, text] : [encoded];
}
