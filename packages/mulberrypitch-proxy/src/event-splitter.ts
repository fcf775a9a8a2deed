/** Splits a stream of server-sent events at event boundaries, and reads the events' identifiers. */
import {Buffer} from 'node:buffer';
import type {NodeBuffer} from './response-parser.js';

/** One or more complete events. */
export type CompleteEvents = {
	/** Bytes of the events, unchanged. */
	readonly data: Uint8Array;
	/** Identifier of the last event in `data` that has one. */
	readonly lastId?: string;
};

const eventEnd = Buffer.from('\n\n');
const idLine = /^id:[ ]?(?<id>.*)$/gmv;

/** Buffers an event until it is complete. */
export class EventSplitter {
	#incomplete: NodeBuffer = Buffer.alloc(0);

	/** Adds bytes. Returns the events that these complete, or `undefined` when there are none. */
	push(data: Uint8Array): CompleteEvents | undefined {
		const all = Buffer.concat([this.#incomplete, data]);
		const end = all.lastIndexOf(eventEnd);
		if (end === -1) {
			this.#incomplete = all;
			return undefined;
		}

		const whole = all.subarray(0, end + eventEnd.length);
		this.#incomplete = all.subarray(end + eventEnd.length);
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
