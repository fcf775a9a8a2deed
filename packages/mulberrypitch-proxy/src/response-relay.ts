/**
 * Relays responses to the caller. A complete response is written at once. A stream is written as it arrives, in whole events if it
 * is resumable, and may come from several back ends in turn.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {assertInvariant} from '@mulberrypitch/errors/catalogue';
import {breakOff} from '@mulberrypitch/lifecycle/break-off';
import {
	findHeader, type Framing, type ResponseHead, type Header,
} from './response-head.js';
import type {ResponseTiming} from './response-timing.js';
import {EventBoundary} from './event-boundary.js';
import {EventSplitter} from './event-splitter.js';

/** Names of hop-by-hop headers, which apply to one connection only. */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'te', 'trailer', 'transfer-encoding', 'upgrade']);

/**
Returns the headers without the hop-by-hop ones, including those that `Connection` names.

@example
```
const headers = getEndToEndHeaders(head.headers);
```
*/
export function getEndToEndHeaders(headers: readonly Header[]): readonly Header[] {
	const named = new Set(headers.filter(({name}) => name.toLowerCase() === 'connection')
		.flatMap(({value}) => value.toLowerCase().split(',').map(option => option.trim())));
	return headers.filter(({name}) => !hopByHopHeaders.has(name.toLowerCase()) && !named.has(name.toLowerCase()));
}

/** Dependencies and settings of a response relay. */
export type ResponseRelayOptions = {
	/** Whether the route's streams may be resumed, so that only complete events may be written. */
	readonly isResumable: boolean;
	readonly timing: ResponseTiming;
	/** Called when the first part of the response is about to be written to the caller. */
	readonly onStarted: () => void;
	/** Returns headers to add to the response. */
	readonly getExtraHeaders: () => readonly Header[];
};

/** Facts about the body of the last back end that responded, for the log. */
export type BodyFacts = {
	/** Absent until a back end has responded. */
	readonly framing?: Framing;
	/** Number of bytes of a stream that arrived after its last complete event. */
	readonly openEventBytes?: number;
};

/** Writes one response to one caller. */
export class ResponseRelay {
	readonly #response: ServerResponse;
	readonly #getExtraHeaders: () => readonly Header[];
	readonly #isResumable: boolean;
	readonly #timing: ResponseTiming;
	readonly #onStarted: () => void;
	#splitter = new EventSplitter();
	/** Scans the stream of the current back end; absent while no stream has begun. */
	#boundary: EventBoundary | undefined;
	/** Framing of the last back end's response. */
	#framing: Framing | undefined;
	#head: ResponseHead | undefined;
	#lastEventId: string | undefined;
	#hasStarted = false;

	constructor(response: ServerResponse, options: ResponseRelayOptions) {
		this.#response = response;
		this.#isResumable = options.isResumable;
		this.#timing = options.timing;
		this.#onStarted = options.onStarted;
		this.#getExtraHeaders = options.getExtraHeaders;
	}

	/** Whether a part of the response has been written to the caller. */
	get hasStarted(): boolean {
		return this.#hasStarted;
	}

	/** Identifier of the last written event that has one. */
	get lastEventId(): string | undefined {
		return this.#lastEventId;
	}

	/** Whether the bytes from the current back end end inside an event. */
	get isInsideEvent(): boolean {
		return this.#boundary !== undefined && this.#boundary.openBytes > 0;
	}

	/** Reports whether a successful response may follow what has been written: only one of the same media type goes on with a stream. */
	canBegin(head: ResponseHead): boolean {
		return !this.#hasStarted || getMediaType(head) === getMediaType(this.#head!);
	}

	/** Begins the stream of one back end. If several streams follow each other, the caller gets only the head of the first one of which something is written. */
	beginStream(head: ResponseHead): void {
		if (!this.#hasStarted) {
			this.#head = this.#isResumable ? withoutLength(head) : head;
		}

		this.#framing = head.framing;
		this.#boundary = new EventBoundary();
		this.#splitter = new EventSplitter(this.#boundary);
	}

	/** Returns what is known of the last back end's body. */
	getBodyFacts(): BodyFacts {
		return {
			...(this.#framing !== undefined && {framing: this.#framing}),
			...(this.#boundary !== undefined && {openEventBytes: this.#boundary.openBytes}),
		};
	}

	/**
	Writes the data, or only the events that the data completes if the stream is resumable. Returns whether the caller's connection
	can take more at once.
	*/
	writeStream(data: Uint8Array): boolean {
		if (!this.#isResumable) {
			this.#boundary!.push(data);
			return this.#write(data);
		}

		const events = this.#splitter.push(data);
		if (events === undefined) {
			return true;
		}

		this.#lastEventId = events.lastId ?? this.#lastEventId;
		return this.#write(events.data);
	}

	/** Calls `resume` once, when the caller's connection can take more. */
	onDrain(resume: () => void): void {
		this.#response.once('drain', resume);
	}

	/** Ends the stream as complete. */
	endStream(): void {
		const rest = this.#splitter.takeRemainder();
		if (rest.length > 0) {
			this.#write(rest);
		}

		this.#writeHead();
		this.#response.end();
	}

	/** Writes a complete response. Nothing may have been written before. */
	deliver(head: ResponseHead, body: Uint8Array): void {
		assertInvariant(!this.#hasStarted, 'A complete response would follow a part of another one.');
		this.#head = head;
		this.#framing = head.framing;
		this.#timing.recordPart();
		this.#writeHead();
		this.#response.end(body.length > 0 ? Buffer.from(body) : undefined);
	}

	/** Closes the caller's connection, so that the response can't look complete. */
	cut(): void {
		breakOff(this.#response);
	}

	#write(data: Uint8Array): boolean {
		this.#timing.recordPart();
		this.#writeHead();
		return this.#response.write(data);
	}

	#writeHead(): void {
		if (this.#hasStarted) {
			return;
		}

		this.#hasStarted = true;
		this.#onStarted();
		const {status, reason, headers} = this.#head!;
		const shown = [...getEndToEndHeaders(headers), ...this.#getExtraHeaders()];
		this.#response.sendDate = false;
		this.#response.writeHead(status, reason, shown.flatMap(({name, value}) => [name, value]));
	}
}

/** Returns the media type without its parameters, in lower case. */
function getMediaType(head: ResponseHead): string | undefined {
	return findHeader(head, 'content-type')?.split(';')[0]!.trim().toLowerCase();
}

/** Returns a head without the length of its body, which is that of one back end's part of the stream only. */
function withoutLength(head: ResponseHead): ResponseHead {
	return {...head, headers: head.headers.filter(({name}) => name.toLowerCase() !== 'content-length')};
}
