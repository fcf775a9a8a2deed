/** Parses HTTP/1.1 responses from the bytes of one connection. */
import {Buffer} from 'node:buffer';
import {ProtocolError} from '@mulberrypitch/errors/catalogue';
import {ByteBuffer, type NodeBuffer} from '@mulberrypitch/lifecycle/byte-buffer';
import {
	checkTrailer, findBodyFraming, framings, mayBeginResponse, noBody, parseHead, requireNoStatusLine, type BodyFraming, type ResponseHead,
} from './response-head.js';

/** Receives the parts of responses in order. Interim responses (status 1xx) are left out. */
export type ResponseListener = {
	onHead(head: ResponseHead): void;
	/** Called once for all parts of the body that arrived together, however many chunks they came in. */
	onBody(data: Uint8Array): void;
	/** Called when the response is complete, with the bytes that have arrived after it. May throw `ProtocolError`, which `push` passes on. */
	onEnd(following: Uint8Array): void;
};

/** Size in bytes above which the head of a response with the interim responses before it, or the trailers after it, are an error. */
const maxHeadBytes = 64 * 1024;
/** Size in bytes above which a chunk-size line, with its extensions, is an error. */
const maxSizeLineBytes = 1024;
const headEnd = Buffer.from('\r\n\r\n');
const lineEnd = Buffer.from('\r\n');
const chunkSizeLine = /^(?<size>[0-9A-Fa-f]{1,12})[ \t]*(?:;.*)?$/v;

/** Part of a response that the parser expects next. */
const states = {
	head: 'head',
	/** Body with a `Content-Length`. */
	counted: 'counted',
	/** Body that ends with the connection. */
	untilClose: 'untilClose',
	chunkSize: 'chunkSize',
	chunkData: 'chunkData',
	/** Line end after the data of a chunk. */
	chunkEnd: 'chunkEnd',
	trailers: 'trailers',
} as const;

type State = typeof states[keyof typeof states];

/** Parses consecutive responses. Throws `ProtocolError` for malformed bytes. */
export class ResponseParser {
	readonly #listener: ResponseListener;
	/** Reports whether the response whose head has just arrived has no body because of its request, such as HEAD. The parser itself handles status 204 and 304. */
	readonly #isBodiless: () => boolean;
	#state: State = states.head;
	/** Received bytes of an incomplete part. */
	readonly #incomplete = new ByteBuffer();
	/** Number of bytes of the incomplete part in which its end was looked for. */
	#searchedBytes = 0;
	/** Bytes of the body or chunk that have not arrived yet. */
	#remainingBytes = 0;
	/** Bytes of the interim responses before the current head, or of the current response's trailers. */
	#headBytes = 0;
	/** Parts of the body that the listener has not received yet. */
	#bodyParts: Uint8Array[] = [];

	constructor(listener: ResponseListener, isBodiless: () => boolean) {
		this.#listener = listener;
		this.#isBodiless = isBodiless;
	}

	/** Whether the body of the current response lasts until the connection is closed. */
	get lastsUntilClose(): boolean {
		return this.#state === states.untilClose;
	}

	/** Whether the bytes so far end inside a response, or an interim one. */
	get isInsideResponse(): boolean {
		return this.#state !== states.head || this.#headBytes > 0 || this.#incomplete.lengthBytes > 0;
	}

	/** Parses received bytes and calls the listener. Keeps an incomplete part until the next call. */
	push(data: Uint8Array): void {
		try {
			this.#incomplete.append(data);
			this.#consumeAll();
		} finally {
			this.#passBodyOn();
		}
	}

	/** Handles the orderly end of the connection. Returns whether this completed a response whose body lasts until the close. */
	finish(): boolean {
		if (this.#state !== states.untilClose) {
			return false;
		}

		this.#end(Buffer.alloc(0));
		return true;
	}

	#consumeAll(): void {
		const received = this.#incomplete.bytes;
		let rest = received;
		while (rest.length > 0) {
			const next = this.#consume(rest);
			if (next === undefined) {
				break;
			}

			this.#searchedBytes = 0;
			rest = next;
		}

		this.#searchedBytes = rest.length;
		if (rest.length < received.length) {
			this.#incomplete.take();
			this.#incomplete.append(rest);
		}
	}

	/** Returns the position of a delimiter in the data, or -1. Looks only where it can end in bytes that were not searched before. */
	#findEnd(data: NodeBuffer, delimiter: NodeBuffer): number {
		return data.indexOf(delimiter, Math.max(0, this.#searchedBytes - delimiter.length + 1));
	}

	/** Parses a part of the data and returns the rest, or `undefined` when more bytes are needed. */
	#consume(data: NodeBuffer): NodeBuffer | undefined {
		switch (this.#state) {
			case states.head: {
				return this.#consumeHead(data);
			}

			case states.counted:
			case states.chunkData: {
				return this.#consumeBody(data);
			}

			case states.untilClose: {
				this.#bodyParts.push(data);
				return data.subarray(data.length);
			}

			case states.chunkSize: {
				return this.#consumeChunkSize(data);
			}

			case states.chunkEnd: {
				return this.#consumeChunkEnd(data);
			}

			case states.trailers: {
				return this.#consumeTrailer(data);
			}
		}
	}

	#consumeHead(data: NodeBuffer): NodeBuffer | undefined {
		const end = this.#findEnd(data, headEnd);
		checkLength(this.#headBytes + (end === -1 ? data.length : end), maxHeadBytes);
		if (end === -1) {
			checkStatusPrefix(data);
			return undefined;
		}

		const head = parseHead(data.toString('latin1', 0, end));
		const rest = data.subarray(end + headEnd.length);
		if (head.status >= 100 && head.status < 200) {
			this.#headBytes += end + headEnd.length;
			return rest;
		}

		this.#headBytes = 0;

		const isBodiless = this.#isBodiless() || head.status === 204 || head.status === 304;
		const {framing, lengthBytes} = isBodiless ? noBody : findBodyFraming(head.headers);
		this.#listener.onHead({...head, framing});
		this.#beginBody({framing, lengthBytes}, rest);
		return rest;
	}

	#beginBody({framing, lengthBytes}: BodyFraming, rest: NodeBuffer): void {
		switch (framing) {
			case framings.none: {
				this.#end(rest);

				break;
			}

			case framings.counted: {
				this.#remainingBytes = lengthBytes;
				this.#state = states.counted;

				break;
			}

			case framings.chunked: {
				this.#state = states.chunkSize;

				break;
			}

			case framings.untilClose: {
				this.#state = states.untilClose;
			}
		}
	}

	#consumeBody(data: NodeBuffer): NodeBuffer {
		const part = data.subarray(0, this.#remainingBytes);
		const rest = data.subarray(part.length);
		this.#remainingBytes -= part.length;
		this.#bodyParts.push(part);
		if (this.#remainingBytes === 0) {
			if (this.#state === states.counted) {
				this.#end(rest);
			} else {
				this.#state = states.chunkEnd;
			}
		}

		return rest;
	}

	#consumeChunkSize(data: NodeBuffer): NodeBuffer | undefined {
		const end = this.#findEnd(data, lineEnd);
		checkLength(end === -1 ? data.length : end, maxSizeLineBytes);
		if (end === -1) {
			return undefined;
		}

		const line = data.toString('latin1', 0, end);
		requireNoStatusLine(line);
		const size = chunkSizeLine.exec(line)?.groups?.size;
		if (size === undefined) {
			throw new ProtocolError('The response has an invalid chunk size.');
		}

		this.#remainingBytes = Number.parseInt(size, 16);
		this.#state = this.#remainingBytes === 0 ? states.trailers : states.chunkData;
		return data.subarray(end + lineEnd.length);
	}

	#consumeChunkEnd(data: NodeBuffer): NodeBuffer | undefined {
		if (data.length < lineEnd.length) {
			return undefined;
		}

		if (!data.subarray(0, lineEnd.length).equals(lineEnd)) {
			throw new ProtocolError('A chunk of the response is not followed by a line end.');
		}

		this.#state = states.chunkSize;
		return data.subarray(lineEnd.length);
	}

	#consumeTrailer(data: NodeBuffer): NodeBuffer | undefined {
		const end = this.#findEnd(data, lineEnd);
		checkLength(this.#headBytes + (end === -1 ? data.length : end), maxHeadBytes);
		if (end === -1) {
			return undefined;
		}

		this.#headBytes += end + lineEnd.length;
		const rest = data.subarray(end + lineEnd.length);
		if (end === 0) {
			this.#end(rest);
		} else {
			checkTrailer(data.toString('latin1', 0, end));
		}

		return rest;
	}

	#passBodyOn(): void {
		const parts = this.#bodyParts;
		if (parts.length > 0) {
			this.#bodyParts = [];
			this.#listener.onBody(parts.length === 1 ? parts[0]! : Buffer.concat(parts));
		}
	}

	#end(following: Uint8Array): void {
		this.#passBodyOn();
		this.#state = states.head;
		this.#headBytes = 0;
		this.#listener.onEnd(following);
	}
}

/** Throws `ProtocolError` when a part of a response is longer than the limit. */
function checkLength(lengthBytes: number, limitBytes: number): void {
	if (lengthBytes > limitBytes) {
		throw new ProtocolError(`The head, the trailers or a chunk-size line of the response is longer than ${limitBytes} bytes.`);
	}
}

/** Throws `ProtocolError` when an incomplete head doesn't start like an HTTP/1 status line. */
function checkStatusPrefix(data: NodeBuffer): void {
	if (!mayBeginResponse(data)) {
		throw new ProtocolError('The received bytes are not an HTTP response.');
	}
}
