/** Finds the boundaries between server-sent events in a stream that arrives in arbitrary parts. */

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/**
Tracks whether the bytes of a stream so far end inside an event. An event ends with a blank line; lines end with LF, CR or CR LF.
*/
export class EventBoundary {
	/** Number of bytes in the current line. */
	#lineBytes = 0;
	#openBytes = 0;
	#endsWithCarriageReturn = false;

	/** Number of bytes since the last complete event; zero when the stream does not end inside an event. */
	get openBytes(): number {
		return this.#openBytes;
	}

	/** Scans the next bytes. Returns how many of them belong to events that are complete, or zero when none of these bytes completes one. */
	push(data: Uint8Array): number {
		let completeBytes = 0;
		for (const [index, byte] of data.entries()) {
			if (this.#pushByte(byte)) {
				completeBytes = index + 1;
			}
		}

		return completeBytes;
	}

	/** Scans one byte. Returns whether it completes an event. */
	#pushByte(byte: number): boolean {
		const isSecondOfPair = byte === lineFeed && this.#endsWithCarriageReturn;
		this.#endsWithCarriageReturn = byte === carriageReturn;
		if (isSecondOfPair) {
			// The line ended with the CR. When that line was blank, the LF still belongs to the event that it ended.
			return this.#openBytes === 0;
		}

		if (byte !== lineFeed && byte !== carriageReturn) {
			this.#lineBytes += 1;
			this.#openBytes += 1;
			return false;
		}

		const isBlankLine = this.#lineBytes === 0;
		this.#lineBytes = 0;
		this.#openBytes = isBlankLine ? 0 : this.#openBytes + 1;
		return isBlankLine;
	}
}
