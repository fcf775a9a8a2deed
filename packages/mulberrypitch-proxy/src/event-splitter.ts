/** Splits a stream of server-sent events at event boundaries, and reads the events' identifiers. */
import {ProtocolError} from '@mulberrypitch/errors/catalogue';
import {ByteBuffer} from '@mulberrypitch/lifecycle/byte-buffer';
import {EventBoundary} from './event-boundary.js';

/** One or more complete events. */
export type CompleteEvents = {
	/** Bytes of the events, unchanged. */
	readonly data: Uint8Array;
	/** Identifier of the last event in `data` that has one. */
	readonly lastId?: string;
};

const idLine = /^id:[ ]?(?<id>.*)$/gmv;

/** Size in bytes beyond which an incomplete event is an error. */
const maxEventBytes = 256 * 1024;

/** Buffers an event until it is complete. */
export class EventSplitter {
	readonly #boundary: EventBoundary;
	readonly #incomplete = new ByteBuffer();

	/** `boundary` scans the same stream, and nothing else. */
	constructor(boundary = new EventBoundary()) {
		this.#boundary = boundary;
	}

	/**
	Adds bytes. Returns the events that these complete, or `undefined` when there are none. Throws `ProtocolError` when the event after them
	is too long.
	*/
	push(data: Uint8Array): CompleteEvents | undefined {
		const completeBytes = this.#boundary.push(data);
		if (this.#boundary.openBytes > maxEventBytes) {
			throw new ProtocolError(`An event of the stream is longer than ${maxEventBytes} bytes.`);
		}

		if (completeBytes === 0) {
			this.#incomplete.append(data);
			return undefined;
		}

		this.#incomplete.append(data.subarray(0, completeBytes));
		const whole = this.#incomplete.take();
		this.#incomplete.append(data.subarray(completeBytes));
		const text = whole.toString('latin1');
		const lastId = [...text.matchAll(idLine)].at(-1)?.groups?.id;
		return {data: whole, ...(lastId !== undefined && {lastId})};
	}

	/** Returns the incomplete rest at the end of a response, and clears it. */
	takeRemainder(): Uint8Array {
		return this.#incomplete.take();
	}
}
