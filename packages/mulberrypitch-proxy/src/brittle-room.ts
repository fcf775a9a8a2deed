/**
 * Keeps the rejections of a back end that they harm rare. Entries that each find out by a rejection that a back end is full make it reject many
 * requests in a moment, so each uses a part of its slots that it can't overstep together with the others.
 */
import type {Random} from '@mulberrypitch/lifecycle/random';

/** Dependencies of the room. */
export type BrittleRoomOptions = {
	readonly random: Random;
	/** Returns the number of entries in the deployment. */
	readonly getEntryCount: () => number;
};

/** Load of the back end, as this entry knows it. */
export type KnownLoad = {
	readonly slots: number;
	/** Requests in flight from this entry. */
	readonly inFlight: number;
	/** Requests in flight from this entry and, as last reported, from all other entries. */
	readonly load: number;
};

/** Share of the rejections that a back end bears which all entries together risk. */
const riskedShare = 1 / 4;
/** Share of the slots up to which an entry without a part of them still sends one request. */
const sparePartShare = 1 / 2;

/** This entry's room at one back end that states how many rejections it bears. */
export class BrittleRoom {
	readonly #options: BrittleRoomOptions;
	/** Decides at random whether the entry rounds its part of the slots up, so that all parts add up to the slots. Drawn when it is first needed. */
	#draw: number | undefined;

	constructor(options: BrittleRoomOptions) {
		this.#options = options;
	}

	/** Reports whether another request may be sent. */
	hasRoom({slots, inFlight, load}: KnownLoad): boolean {
		const {random, getEntryCount} = this.#options;
		this.#draw ??= random.next();
		const room = Math.floor((slots / getEntryCount()) + this.#draw);
		return load < slots && (room > 0 ? inFlight < room : inFlight === 0 && load < slots * sparePartShare);
	}

	/** Returns the time in milliseconds for which nothing is sent after a rejection. Entries that were rejected together return at different times. */
	getBackoffMs(rejectionsPerSecond: number): number {
		const {random, getEntryCount} = this.#options;
		const shortestMs = 1000 * getEntryCount() / (Math.max(1, rejectionsPerSecond) * riskedShare);
		return shortestMs * (1 + random.next());
	}
}
