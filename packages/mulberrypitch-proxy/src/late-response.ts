/** A response that comes after its request has ended, on a connection that carries the next one. It is skipped. */
import {Buffer} from 'node:buffer';
import {ProtocolError} from '@mulberrypitch/errors/catalogue';
import {hasStatusLine} from './response-head.js';

/** Length in bytes of the longest status line that is looked for, without its reason. */
const statusLineBytes = 'HTTP/1.1 200 '.length;

/** Skips the body of one late response, and notices when the response to the current request is in it. */
export class LateResponse {
	/** Identifier of the current request; absent if it has none, so that nothing in the body can be told from its response. */
	readonly #currentId: string | undefined;
	/** Last characters so far, in which the identifier or a status line may begin. */
	#tail = '';
	#hasStatusLine = false;

	constructor(currentId: string | undefined) {
		this.#currentId = currentId === '' ? undefined : currentId;
	}

	/**
	Skips a part of the body. Throws `ProtocolError` when a status line and the identifier of the current request are in it: the late
	response was cut short, and the current request would wait for its own one in vain.
	*/
	skip(data: Uint8Array): void {
		const id = this.#currentId;
		if (id === undefined) {
			return;
		}

		const text = this.#tail + Buffer.from(data).toString('latin1');
		this.#hasStatusLine ||= hasStatusLine(text);
		if (this.#hasStatusLine && text.includes(id)) {
			throw new ProtocolError('The response to this request begins inside the body of a late one.');
		}

		this.#tail = text.slice(-Math.max(id.length, statusLineBytes));
	}
}
