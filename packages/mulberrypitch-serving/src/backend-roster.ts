/** The back ends that announced themselves, merged from what all coordinators heard. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {AnnouncedBackend, BackendLeave} from './types.js';

/** A back end of the roster, in the form that crosses process boundaries. */
export type RosterEntry = {
	readonly backend: AnnouncedBackend;
	/** Takes no requests; it stays listed for a while, so that a late announcement doesn't bring an ended life back. */
	readonly isGone: boolean;
	/** It is only gone because it was not heard for long, so a newer announcement of the same life brings it back. */
	readonly isSilent?: boolean;
	/** Time since it was last heard. */
	readonly ageMs: number;
};

/** Changes of a roster since a version. */
export type RosterChanges = {
	/** Names the roster that the version counts in; it changes when a coordinator starts. */
	readonly epoch: string;
	readonly version: number;
	/** Names all back ends. */
	readonly isWhole: boolean;
	/** The coordinator has been up long enough to have heard every back end. */
	readonly isSettled: boolean;
	readonly entries: readonly RosterEntry[];
};

type Record = {
	backend: AnnouncedBackend;
	isGone: boolean;
	isSilent: boolean;
	heardAt: number;
	/** When this roster learned of it last, from the back end or from another coordinator. */
	learnedAt: number;
	/** Version at which something changed that matters for routing. */
	version: number;
};

export type RosterOptions = {
	readonly epoch: string;
	readonly clock: Clock;
	/** Time between two announcements of one back end. */
	readonly announceIntervalMs: number;
};

/** Announcements that may be missed before a back end counts as gone. */
const missedAnnouncements = 7;
/** Time for which an ended life is remembered. */
const goneMemoryMs = 60_000;
/** Announcements after which every living back end was heard. */
const settledAnnouncements = 4;

/** Keeps the newest announcement of each back end. */
export class BackendRoster {
	readonly #options: RosterOptions;
	readonly #startedAt: number;
	readonly #records = new Map<string, Record>();
	#version = 0;

	constructor(options: RosterOptions) {
		this.#options = options;
		this.#startedAt = options.clock.now();
	}

	get version(): number {
		return this.#version;
	}

	get isSettled(): boolean {
		const {clock, announceIntervalMs} = this.#options;
		return clock.now() - this.#startedAt > settledAnnouncements * announceIntervalMs;
	}

	/** Takes an announcement; tells whether it changed where requests may go. */
	announce(backend: AnnouncedBackend): boolean {
		return this.merge({backend, isGone: false, ageMs: 0});
	}

	/** Takes a notice that a life ends; tells whether it was known and alive. */
	leave({id, startedAt}: BackendLeave): boolean {
		const record = this.#records.get(id);
		if (record === undefined || (record.isGone && !record.isSilent) || (startedAt !== undefined && startedAt !== record.backend.startedAt)) {
			return false;
		}

		this.#setGone(record, {isSilent: false});
		return true;
	}

	/** Takes what another coordinator heard; tells whether it changed where requests may go. */
	merge({backend, isGone, isSilent = false, ageMs}: RosterEntry): boolean {
		const heardAt = this.#options.clock.now() - ageMs;
		const known = this.#records.get(backend.id);
		if (known === undefined) {
			return this.#add({
				backend, isGone, isSilent, heardAt, learnedAt: this.#options.clock.now(), version: 0,
			});
		}

		if (isOlder(backend, known.backend)) {
			return false;
		}

		const isNewLife = backend.startedAt > known.backend.startedAt;
		if (known.isGone && !isNewLife && !this.#mayReturn(known, backend, isGone)) {
			if (isGone && !isSilent && known.isSilent) {
				this.#setGone(known, {isSilent: false});
			}

			return false;
		}

		const isNews = isNewLife || backend.sequence > known.backend.sequence || isGone !== known.isGone;
		const isChanged = isNewLife || isGone !== known.isGone || !isSameForRouting(backend, known.backend);
		known.backend = backend;
		known.isGone = isGone;
		known.isSilent = isSilent;
		known.heardAt = Math.max(known.heardAt, heardAt);
		known.learnedAt = isNews ? this.#options.clock.now() : known.learnedAt;
		if (isChanged) {
			this.#touch(known);
			this.#endPredecessors(backend);
		}

		return isChanged;
	}

	/** Marks back ends that were not heard for long as gone; tells whether there were any. */
	expire(): boolean {
		const {clock, announceIntervalMs} = this.#options;
		let isChanged = false;
		for (const [id, record] of this.#records) {
			const ageMs = clock.now() - record.heardAt;
			if (record.isGone && ageMs > goneMemoryMs) {
				this.#records.delete(id);
			} else if (!record.isGone && ageMs > missedAnnouncements * announceIntervalMs) {
				this.#setGone(record, {isSilent: true});
				isChanged = true;
			}
		}

		return isChanged;
	}

	/** Tells whether something changed since a version, or the epoch is another one. */
	hasChanges(epoch: string, version: number): boolean {
		return epoch === this.#options.epoch ? this.#version > version : this.#records.size > 0;
	}

	/** Gives what changed since a version, or everything for another epoch. */
	getChanges(epoch: string, version: number): RosterChanges {
		const isWhole = epoch !== this.#options.epoch;
		const records = [...this.#records.values()].filter(record => isWhole || record.version > version);
		return {
			epoch: this.#options.epoch,
			version: this.#version,
			isWhole,
			isSettled: this.isSettled,
			entries: records.map(record => this.#toEntry(record)),
		};
	}

	/** Gives the back ends of which something was learned since a time, or all, with the age of their last announcement. */
	getEntries(since = Number.NEGATIVE_INFINITY): readonly RosterEntry[] {
		return [...this.#records.values()].filter(({learnedAt}) => learnedAt >= since).map(record => this.#toEntry(record));
	}

	/** Gives the back ends that live and don't leave. */
	getServing(): readonly AnnouncedBackend[] {
		return [...this.#records.values()].filter(({isGone, backend}) => !isGone && !backend.isLeaving).map(({backend}) => backend);
	}

	/** A silent one comes back with an announcement that it made since, unless another back end has its address by now. */
	#mayReturn(known: Record, backend: AnnouncedBackend, isGone: boolean): boolean {
		return known.isSilent
			&& !isGone
			&& backend.sequence > known.backend.sequence
			&& this.#findOtherAt(backend, other => other.backend.startedAt > backend.startedAt) === undefined;
	}

	#setGone(record: Record, {isSilent}: {readonly isSilent: boolean}): void {
		record.isGone = true;
		record.isSilent = isSilent;
		record.heardAt = this.#options.clock.now();
		record.learnedAt = record.heardAt;
		this.#touch(record);
	}

	#add(record: Record): boolean {
		const successor = this.#findOtherAt(record.backend, other => other.backend.startedAt > record.backend.startedAt);
		if (successor !== undefined) {
			record.isGone = true;
		}

		this.#records.set(record.backend.id, record);
		this.#touch(record);
		if (successor === undefined) {
			this.#endPredecessors(record.backend);
		}

		return !record.isGone;
	}

	/** An address belongs to the latest start there. */
	#endPredecessors(backend: AnnouncedBackend): void {
		const predecessor = this.#findOtherAt(backend, other => !other.isGone && other.backend.startedAt < backend.startedAt);
		if (predecessor !== undefined) {
			predecessor.isGone = true;
			predecessor.isSilent = false;
			this.#touch(predecessor);
		}
	}

	#findOtherAt({id, address}: AnnouncedBackend, isMeant: (other: Record) => boolean): Record | undefined {
		return [...this.#records.values()].find(other => other.backend.id !== id && other.backend.address === address && isMeant(other));
	}

	#touch(record: Record): void {
		this.#version += 1;
		record.version = this.#version;
	}

	#toEntry({backend, isGone, isSilent, heardAt}: Record): RosterEntry {
		return {
			backend, isGone, isSilent, ageMs: this.#options.clock.now() - heardAt,
		};
	}
}

function isOlder(backend: AnnouncedBackend, known: AnnouncedBackend): boolean {
	return backend.startedAt < known.startedAt || (backend.startedAt === known.startedAt && backend.sequence < known.sequence);
}

function isSameForRouting(left: AnnouncedBackend, right: AnnouncedBackend): boolean {
	return left.service === right.service
		&& left.address === right.address
		&& left.zone === right.zone
		&& left.slots === right.slots
		&& left.isLeaving === right.isLeaving
		&& left.isSpot === right.isSpot;
}
