/** Splits a stream of server-sent events at event boundaries, and reads the events' identifiers. */
import {Buffer} from 'node:buffer';
import {EventBoundary} from './event-boundary.js';
import type {NodeBuffer} from './response-parser.js';

/** One or more complete events. */
export type CompleteEvents = {
	/** Bytes of the events, unchanged. */
	readonly data: Uint8Array;
	/** Identifier of the last event in `data` that has one. */
	readonly lastId?: string;
};

const idLine = /^id:[ ]?(?<id>.*)$/gmv;

/** Buffers an event until it is complete. */
export class EventSplitter {
	readonly #boundary: EventBoundary;
	#incomplete: NodeBuffer = Buffer.alloc(0);

	/** `boundary` scans the same stream, and nothing else. */
	constructor(boundary = new EventBoundary()) {
		this.#boundary = boundary;
	}

	/** Adds bytes. Returns the events that these complete, or `undefined` when there are none. */
	push(data: Uint8Array): CompleteEvents | undefined {
		const completeBytes = this.#boundary.push(data);
		if (completeBytes === 0) {
			this.#incomplete = Buffer.concat([this.#incomplete, data]);
			return undefined;
		}

		const whole = Buffer.concat([this.#incomplete, data.subarray(0, completeBytes)]);
		this.#incomplete = Buffer.from(data.subarray(completeBytes));
		const text = whole.toString('latin1');
		const lastId = [...text.matchAll(idLine)].at(-1)?.groups?.id;
		return {data: whole, ...(lastId !== undefined && {lastId})};
	}

	/** Returns the incomplete rest at the end of a response, and clears it. */
	takeRemainder(): Uint8Array {
		const rest = this.#incomplete;
		this.#incomplete = Buffer.alloc(0);
		return rest;
	}
}
