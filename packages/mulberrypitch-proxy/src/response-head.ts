/** Status line and headers of HTTP/1.1 responses. */
import {Buffer} from 'node:buffer';
import {ProtocolError} from '@mulberrypitch/errors/catalogue';

/** One header, with the name in its original case. */
export type Header = {
	readonly name: string;
	readonly value: string;
};

/** Marks of the end of a response's body. */
export const framings = {
	/** The response has no body. */
	none: 'none',
	/** The body has the length in bytes that `Content-Length` states. */
	counted: 'counted',
	chunked: 'chunked',
	/** The body ends with the connection. */
	untilClose: 'untilClose',
} as const;

/** One of `framings`. */
export type Framing = typeof framings[keyof typeof framings];

/** Status line and headers of a response. */
export type ResponseHead = {
	readonly status: number;
	readonly reason: string;
	readonly headers: readonly Header[];
	readonly framing: Framing;
	/** Whether the connection may carry another response after this one. */
	readonly isPersistent: boolean;
};

/** The framing of a body and its length in bytes, which is zero unless the framing is `counted`. */
export type BodyFraming = {
	readonly framing: Framing;
	readonly lengthBytes: number;
};

/** The framing of a response without a body. */
export const noBody: BodyFraming = {framing: framings.none, lengthBytes: 0};

/** Beginning of each status line. */
const protocolName = 'HTTP/1.';
/** A status line with a status that HTTP defines; a client can't take another one for an answer. */
const statusLine = /^HTTP\/1\.(?<minor>[01]) (?<status>[1-5]\d{2})(?: (?<reason>.*))?$/v;
const headerName = /^[!#$%\u0026'*+\-.^_`\|~0-9A-Za-z]+$/v;
/** A control character, which Node.js refuses to write in the value of a header or in the reason of a status line. */
const controlCharacter = /[^\t\u0020-\u007E\u0080-\u00FF]/v;
const statusLineAnywhere = /HTTP\/1\.[01] [1-9]\d{2}(?: |\r|$)/v;
const decimal = /^\d{1,15}$/v;

/**
Parses the status line and the headers of a response, without the blank line after them. Throws `ProtocolError` when they are malformed.

@example
```
const {status} = parseHead('HTTP/1.1 200 OK\r\nContent-Length: 0');
```
*/
export function parseHead(text: string): Omit<ResponseHead, 'framing'> {
	requireNoStatusLine(text.slice(1));
	const [first, ...lines] = text.split('\r\n');
	const match = statusLine.exec(first!);
	if (match === null) {
		throw new ProtocolError('The received bytes are not an HTTP response.');
	}

	const headers = lines.map(line => parseHeader(line));
	const {minor, status, reason = ''} = match.groups!;
	if (controlCharacter.test(reason)) {
		throw new ProtocolError('The status line of the response has a control character.');
	}

	const connectionOptions = new Set(getHeaderValues(headers, 'connection').flatMap(value => value.toLowerCase().split(',').map(option => option.trim())));
	const isPersistent = minor === '1' ? !connectionOptions.has('close') : connectionOptions.has('keep-alive');
	return {
		status: Number(status), reason, headers, isPersistent,
	};
}

/**
Returns how the end of the body is found. Throws `ProtocolError` when the headers contradict each other.

@example
```
const {framing, lengthBytes} = findBodyFraming(headers);
```
*/
export function findBodyFraming(headers: readonly Header[]): BodyFraming {
	const codings = getHeaderValues(headers, 'transfer-encoding');
	const [length, ...otherLengths] = getHeaderValues(headers, 'content-length');
	if (codings.length > 0) {
		if (length !== undefined || codings.length > 1 || codings[0]!.toLowerCase() !== 'chunked') {
			throw new ProtocolError('The response has an ambiguous or unsupported transfer coding.');
		}

		return {framing: framings.chunked, lengthBytes: 0};
	}

	if (length === undefined) {
		return {framing: framings.untilClose, lengthBytes: 0};
	}

	// Callers refuse a length that is stated twice, even if it is the same.
	if (otherLengths.length > 0 || !decimal.test(length)) {
		throw new ProtocolError('The response has an ambiguous or invalid content length.');
	}

	const lengthBytes = Number(length);
	return lengthBytes === 0 ? noBody : {framing: framings.counted, lengthBytes};
}

/**
Checks a line after the head of a response, which is discarded otherwise: a trailer. Throws `ProtocolError` when it is malformed.

@example
```
checkTrailer('Server-Timing: total;dur=12');
```
*/
export function checkTrailer(line: string): void {
	requireNoStatusLine(line);
	parseHeader(line);
}

/**
Throws `ProtocolError` when a status line stands in a text where none may stand. What comes before it was cut short, and the rest is the response
to another request.

@example
```
requireNoStatusLine('Date: Sat, 05 DecHTTP/1.1 500 Internal Server Error');
```
*/
export function requireNoStatusLine(text: string): void {
	if (hasStatusLine(text)) {
		throw new ProtocolError('A response begins inside the head, the trailers or a chunk-size line of another one.');
	}
}

/**
Reports whether a status line stands anywhere in a text.

@example
```
hasStatusLine('{"stock":HTTP/1.1 200 OK'); // true
```
*/
export function hasStatusLine(text: string): boolean {
	return statusLineAnywhere.test(text);
}

/**
Reports whether bytes may be the beginning of a response.

@example
```
mayBeginResponse(Buffer.from('HTT')); // true
```
*/
export function mayBeginResponse(bytes: Uint8Array): boolean {
	const length = Math.min(protocolName.length, bytes.length);
	return Buffer.from(bytes.subarray(0, length)).toString('latin1') === protocolName.slice(0, length);
}

/**
Returns the value of the first header with the given lower-case name, or `undefined`.

@example
```
const id = findHeader(head, 'x-request-id');
```
*/
export function findHeader({headers}: ResponseHead, name: string): string | undefined {
	return headers.find(header => header.name.toLowerCase() === name)?.value;
}

/**
Returns the values of all headers with the given lower-case name.

@example
```
const lengths = getHeaderValues(headers, 'content-length');
```
*/
export function getHeaderValues(headers: readonly Header[], name: string): string[] {
	return headers.filter(header => header.name.toLowerCase() === name).map(({value}) => value);
}

function parseHeader(line: string): Header {
	const colon = line.indexOf(':');
	const name = line.slice(0, Math.max(0, colon));
	const value = trimBlanks(line.slice(colon + 1));
	if (!headerName.test(name) || controlCharacter.test(value)) {
		throw new ProtocolError('The response has a malformed header.');
	}

	return {name, value};
}

/** Removes blanks and tabs at both ends. A regular expression would take time that grows with the square of their number. */
function trimBlanks(text: string): string {
	let start = 0;
	let end = text.length;
	while (start < end && isBlank(text[start]!)) {
		start += 1;
	}

	while (end > start && isBlank(text[end - 1]!)) {
		end -= 1;
	}

	return text.slice(start, end);
}

function isBlank(character: string): boolean {
	return character === ' ' || character === '\t';
}
