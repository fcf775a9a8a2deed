/** Collects bytes that arrive in parts. */
import {Buffer} from 'node:buffer';

/** The type of a Node.js `Buffer`, which unlike a plain `Uint8Array` can be searched and decoded. */
export type NodeBuffer = ReturnType<typeof Buffer.concat>;

const noBytes: NodeBuffer = Buffer.alloc(0);

/**
Holds the bytes so far in one piece of memory of at most twice their size, or that of the last part if it is larger. A list of parts takes about a
hundred times their size where a sender writes single bytes.
*/
export class ByteBuffer {
	#memory = noBytes;
	#lengthBytes = 0;

	/** Number of bytes so far. */
	get lengthBytes(): number {
		return this.#lengthBytes;
	}

	/** The bytes so far. They don't change when others are appended. */
	get bytes(): NodeBuffer {
		return this.#memory.subarray(0, this.#lengthBytes);
	}

	/**
	Copies a part to the end.

	@example
	```
	buffer.append(data);
	```
	*/
	append(part: Uint8Array): void {
		const neededBytes = this.#lengthBytes + part.length;
		if (neededBytes > this.#memory.length) {
			const memory = Buffer.allocUnsafe(Math.max(neededBytes, 2 * this.#memory.length));
			memory.set(this.bytes);
			this.#memory = memory;
		}

		this.#memory.set(part, this.#lengthBytes);
		this.#lengthBytes = neededBytes;
	}

	/**
	Returns the bytes so far, and begins anew without them.

	@example
	```
	const body = buffer.take();
	```
	*/
	take(): NodeBuffer {
		const {bytes} = this;
		this.#memory = noBytes;
		this.#lengthBytes = 0;
		return bytes;
	}
}
