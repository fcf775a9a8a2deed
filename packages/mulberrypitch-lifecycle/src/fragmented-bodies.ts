/** Limits how many request bodies are read at once that arrive in very many small parts, since each of them keeps the event loop busy. */

/** Number of parts of a body from which on it counts as fragmented, if they are smaller than this on average. */
const manyParts = 4096;
const smallPartBytes = 64;

/** A body that is being read. */
export type FragmentedReading = {
	/** Ends the reading. */
	readonly giveUp: () => void;
	parts: number;
	bytes: number;
};

/** Gives up the fragmented body whose reading began to count as one first, where there are too many. */
export class FragmentedBodies {
	readonly #maxBodies: number;
	readonly #readings = new Set<FragmentedReading>();

	constructor(maxBodies: number) {
		this.#maxBodies = maxBodies;
	}

	/** Counts a part of a body. */
	add(reading: FragmentedReading, part: Uint8Array): void {
		reading.parts += 1;
		reading.bytes += part.length;
		if (reading.parts % manyParts !== 0 || reading.bytes >= reading.parts * smallPartBytes) {
			return;
		}

		this.#readings.add(reading);
		const [first] = this.#readings;
		if (this.#readings.size > this.#maxBodies) {
			this.#readings.delete(first!);
			first!.giveUp();
		}
	}

	/** Removes a body that is no longer being read. */
	remove(reading: FragmentedReading): void {
		this.#readings.delete(reading);
	}
}
