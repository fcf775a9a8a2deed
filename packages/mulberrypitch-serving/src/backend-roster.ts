/** The back ends of a deployment, merged from the announcements that all coordinators have received. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {AnnouncedBackend, BackendDeregistration} from './types.js';
import type {Incarnation} from './view-messages.js';

/** A back end of the roster, as coordinators and entries exchange it. */
export type RosterEntry = {
	readonly backend: AnnouncedBackend;
	/** Whether the back end accepts no requests any more. It stays listed for a while, so that a late announcement doesn't revive it. */
	readonly isGone: boolean;
	/** Whether the back end is gone only because its announcements stopped, so that a newer announcement of the same incarnation revives it. */
	readonly isSilent?: boolean;
	/** Time in milliseconds since the last announcement, or since this roster marked the back end as gone. */
	readonly ageMs: number;
};

/** A version of a roster. */
export type RosterPosition = {
	/** Identifies the roster to which the version belongs. It changes when the coordinator restarts. */
	readonly epoch: string;
	readonly version: number;
};

/** The changes of a roster since a version. */
export type RosterChanges = RosterPosition & {
	/** Whether `entries` holds all back ends rather than only those that changed. */
	readonly isWhole: boolean;
	/** Whether the coordinator has been running for long enough to have received an announcement of every back end. */
	readonly isSettled: boolean;
	/** Time in milliseconds since the coordinator of the roster started; absent from one of an earlier version. */
	readonly ageMs?: number;
	/** All earlier incarnations of listed back ends that ended lately; absent from a coordinator of an earlier version. */
	readonly replaced?: readonly RosterEntry[];
	readonly entries: readonly RosterEntry[];
};

/** A back end as this roster stores it. */
type RosterRecord = {
	backend: AnnouncedBackend;
	isGone: boolean;
	isSilent: boolean;
	/** Monotonic time in milliseconds of the last announcement, or at which the back end was marked as gone. */
	lastSeenAt: number;
	/** Monotonic time in milliseconds at which this roster last received news of the back end, directly or from another coordinator. */
	updatedAt: number;
	/** Version of the roster at the back end's last change that affects routing. */
	version: number;
	/** Start of the incarnation of whose leave a quorum of coordinators knows, as this coordinator has found; absent if there is none. */
	confirmedLeave?: number;
};

/** Dependencies and settings of a roster. */
export type RosterOptions = {
	/** Identifies this roster; unique for each start of a coordinator. */
	readonly epoch: string;
	readonly clock: Clock;
	/** Interval in milliseconds between two announcements of one back end. */
	readonly announceIntervalMs: number;
	/** Reports whether an incarnation departed for good, by what outlives this roster; absent if nothing does. */
	readonly hasDeparted?: (incarnation: Incarnation) => boolean;
};

/** Number of announcements that may be missed before a back end counts as gone. */
const maxMissedAnnouncements = 7;
/** Time in milliseconds for which a back end that is gone stays listed. */
const goneRetentionMs = 60_000;
/** Number of announcement intervals after which every running back end has announced itself. */
const settlingAnnouncements = 4;

/** Holds the newest announcement of each back end, and a version that increases with each change. */
export class BackendRoster {
	readonly #options: RosterOptions;
	readonly #startedAt: number;
	readonly #records = new Map<string, RosterRecord>();
	/** Incarnations that a later one under the same identifier has replaced, least recent first. */
	#replaced: readonly RosterRecord[] = [];
	#version = 0;

	constructor(options: RosterOptions) {
		this.#options = options;
		this.#startedAt = options.clock.now();
	}

	/** Version of the roster, which increases with each change that affects routing. */
	get version(): number {
		return this.#version;
	}

	/** Reports whether the roster has existed for long enough to hold every back end. */
	get isSettled(): boolean {
		const {clock, announceIntervalMs} = this.#options;
		return clock.now() - this.#startedAt > settlingAnnouncements * announceIntervalMs;
	}

	/** Merges an announcement of a back end. Returns whether it changed anything that affects routing. */
	announce(backend: AnnouncedBackend): boolean {
		return this.merge({backend, isGone: false, ageMs: 0});
	}

	/** Reports whether an incarnation is listed; without a start, whether any incarnation of the back end is. */
	isListed({id, startedAt}: BackendDeregistration): boolean {
		const record = this.#records.get(id);
		return record !== undefined && (startedAt === undefined || startedAt === record.backend.startedAt);
	}

	/**
	Marks a back end as gone. An incarnation that this roster has not heard of is listed as gone, so that no announcement of it that comes
	later puts it into use. Returns false if the incarnation was already marked as gone, or an earlier one than the listed one; a back end that is gone
	only because its announcements stopped can still be deregistered.
	*/
	deregister({id, startedAt}: BackendDeregistration): boolean {
		const record = this.#records.get(id);
		if (startedAt !== undefined && startedAt > (record?.backend.startedAt ?? Number.NEGATIVE_INFINITY)) {
			return this.merge({backend: createDeparted(id, startedAt), isGone: true, ageMs: 0});
		}

		return record !== undefined && (startedAt === undefined || startedAt === record.backend.startedAt) && this.#endIncarnation(record);
	}

	/** Reports whether this coordinator has found that a quorum knows of the leave of an incarnation. */
	isLeaveConfirmed({backend, startedAt}: Incarnation): boolean {
		return this.#records.get(backend)?.confirmedLeave === startedAt;
	}

	/** Records that a quorum of coordinators knows of the leave of an incarnation. */
	confirmLeave({backend, startedAt}: Incarnation): void {
		const record = this.#records.get(backend);
		if (record !== undefined) {
			record.confirmedLeave = startedAt;
		}
	}

	/** Marks a back end as leaving, as it stated in its responses. Returns whether this incarnation is listed and was not leaving. */
	markLeaving({backend, startedAt}: Incarnation): boolean {
		const record = this.#records.get(backend);
		if (record === undefined || record.isGone || record.backend.isLeaving || record.backend.startedAt !== startedAt) {
			return false;
		}

		record.backend = {...record.backend, isLeaving: true};
		record.updatedAt = this.#options.clock.now();
		this.#incrementVersion(record);
		return true;
	}

	/** Marks a back end as leaving whose listed incarnation, or a later one, departed. Returns whether it was listed as serving. */
	markDeparted({backend, startedAt}: Incarnation): boolean {
		const listedStart = this.#records.get(backend)?.backend.startedAt;
		return listedStart !== undefined && listedStart <= startedAt && this.markLeaving({backend, startedAt: listedStart});
	}

	/** Merges an entry of another coordinator's roster. Returns whether it changed anything that affects routing. */
	merge({backend: merged, isGone, isSilent = false, ageMs}: RosterEntry): boolean {
		const announced = this.#addDeparture(merged);
		const lastSeenAt = this.#options.clock.now() - ageMs;
		const known = this.#records.get(announced.id);
		if (known === undefined) {
			return this.#add({
				backend: announced, isGone, isSilent, lastSeenAt, updatedAt: this.#options.clock.now(), version: 0,
			});
		}

		if (isGone && !isSilent && announced.startedAt === known.backend.startedAt) {
			return this.#endIncarnation(known);
		}

		if (isOlder(announced, known.backend)) {
			// A leave holds until the end of its incarnation, also if a later announcement has overtaken it on the way.
			return announced.isLeaving && this.markLeaving({backend: announced.id, startedAt: announced.startedAt});
		}

		const isNewIncarnation = announced.startedAt > known.backend.startedAt;
		const backend = isNewIncarnation ? announced : updateIncarnation(known.backend, announced);
		if (known.isGone && !isNewIncarnation && !this.#canReturn(known, backend, isGone)) {
			return false;
		}

		const isNewer = isNewIncarnation || backend.sequence > known.backend.sequence || isGone !== known.isGone;
		const isChanged = isNewIncarnation || isGone !== known.isGone || !isSameForRouting(backend, known.backend);
		if (isNewIncarnation) {
			this.#replaced = [...this.#replaced, {...known, isGone: true, lastSeenAt: this.#options.clock.now()}];
		}

		known.backend = backend;
		known.isGone = isGone;
		known.isSilent = isSilent;
		known.lastSeenAt = Math.max(known.lastSeenAt, lastSeenAt);
		known.updatedAt = isNewer ? this.#options.clock.now() : known.updatedAt;
		if (isChanged) {
			this.#incrementVersion(known);
			this.#markPredecessorGone(backend);
		}

		return isChanged;
	}

	/**
	Marks back ends without recent announcements as gone, and removes entries that have been gone for long enough. Returns whether
	any was marked.
	*/
	expire(): boolean {
		const {clock, announceIntervalMs} = this.#options;
		this.#replaced = this.#replaced.filter(({lastSeenAt}) => clock.now() - lastSeenAt <= goneRetentionMs);
		let isChanged = false;
		for (const [id, record] of this.#records) {
			const ageMs = clock.now() - record.lastSeenAt;
			if (record.isGone && ageMs > goneRetentionMs) {
				this.#records.delete(id);
			} else if (!record.isGone && ageMs > maxMissedAnnouncements * announceIntervalMs) {
				this.#markGone(record, {isSilent: true});
				isChanged = true;
			}
		}

		return isChanged;
	}

	/** Reports whether there are changes since a version. If the epoch differs, reports whether there are any entries. */
	hasChanges(epoch: string, version: number): boolean {
		return epoch === this.#options.epoch ? this.#version > version : this.#records.size > 0;
	}

	/** Returns the changes since a version, or all entries if the epoch differs. */
	getChanges(epoch: string, version: number): RosterChanges {
		const isWhole = epoch !== this.#options.epoch;
		const records = [...this.#records.values()].filter(record => isWhole || record.version > version);
		return {
			epoch: this.#options.epoch,
			version: this.#version,
			isWhole,
			isSettled: this.isSettled,
			ageMs: this.#options.clock.now() - this.#startedAt,
			entries: records.map(record => this.#toEntry(record)),
			...(isWhole && {replaced: this.#replaced.map(record => this.#toEntry(record))}),
		};
	}

	/** Returns the entries that were updated at or after a monotonic time in milliseconds; without an argument, all entries. */
	getEntries(since = Number.NEGATIVE_INFINITY): readonly RosterEntry[] {
		return [...this.#records.values()].filter(({updatedAt}) => updatedAt >= since).map(record => this.#toEntry(record));
	}

	/** Returns the back ends that are neither gone nor leaving. */
	getServing(): readonly AnnouncedBackend[] {
		return [...this.#records.values()].filter(({isGone, backend}) => !isGone && !backend.isLeaving).map(({backend}) => backend);
	}

	/** Returns the listed incarnations that leave. */
	getLeaving(): readonly Incarnation[] {
		return [...this.#records.values()]
			.filter(({backend}) => backend.isLeaving)
			.map(({backend}) => ({backend: backend.id, startedAt: backend.startedAt}));
	}

	/** Returns an announcement as one of a back end that leaves if its incarnation departed for good. */
	#addDeparture(announced: AnnouncedBackend): AnnouncedBackend {
		const hasDeparted = this.#options.hasDeparted?.({backend: announced.id, startedAt: announced.startedAt}) === true;
		return hasDeparted ? {...announced, isLeaving: true} : announced;
	}

	/**
	Reports whether an announcement revives a back end that is gone: only if the back end is gone because its announcements stopped,
	the announcement is newer, and no other back end has started at the same address since.
	*/
	#canReturn(known: RosterRecord, backend: AnnouncedBackend, isGone: boolean): boolean {
		return known.isSilent
			&& !isGone
			&& backend.sequence > known.backend.sequence
			&& this.#findOtherAtAddress(backend, other => other.backend.startedAt > backend.startedAt) === undefined;
	}

	/** Marks an incarnation as gone for good, whatever announcement of it came last. Returns whether it was not so already. */
	#endIncarnation(record: RosterRecord): boolean {
		if (record.isGone && !record.isSilent) {
			return false;
		}

		this.#markGone(record, {isSilent: false});
		return true;
	}

	#markGone(record: RosterRecord, {isSilent}: {readonly isSilent: boolean}): void {
		record.isGone = true;
		record.isSilent = isSilent;
		record.lastSeenAt = this.#options.clock.now();
		record.updatedAt = record.lastSeenAt;
		this.#incrementVersion(record);
	}

	/** Adds a back end, and marks it as gone if a later one has the same address. Returns whether entries need to know of it. */
	#add(record: RosterRecord): boolean {
		const isDeparted = record.isGone && !record.isSilent;
		const successor = this.#findOtherAtAddress(record.backend, other => other.backend.startedAt > record.backend.startedAt);
		if (successor !== undefined) {
			record.isGone = true;
		}

		this.#records.set(record.backend.id, record);
		this.#incrementVersion(record);
		if (successor === undefined) {
			this.#markPredecessorGone(record.backend);
		}

		return isDeparted || !record.isGone;
	}

	/** Marks an earlier back end at the same address as gone, because an address belongs to the latest start there. */
	#markPredecessorGone(backend: AnnouncedBackend): void {
		const predecessor = this.#findOtherAtAddress(backend, other => !other.isGone && other.backend.startedAt < backend.startedAt);
		if (predecessor !== undefined) {
			predecessor.isGone = true;
			predecessor.isSilent = false;
			predecessor.updatedAt = this.#options.clock.now();
			this.#incrementVersion(predecessor);
		}
	}

	#findOtherAtAddress({id, address}: AnnouncedBackend, predicate: (other: RosterRecord) => boolean): RosterRecord | undefined {
		return [...this.#records.values()].find(other => other.backend.id !== id && other.backend.address === address && predicate(other));
	}

	#incrementVersion(record: RosterRecord): void {
		this.#version += 1;
		record.version = this.#version;
	}

	#toEntry({backend, isGone, isSilent, lastSeenAt}: RosterRecord): RosterEntry {
		return {
			backend, isGone, isSilent, ageMs: this.#options.clock.now() - lastSeenAt,
		};
	}
}

/**
Reports whether an incarnation left before any announcement of it arrived, so that only its identifier and start are known.

@example
```
const announced = backends.filter(backend => !isUnannounced(backend));
```
*/
export function isUnannounced({address}: AnnouncedBackend): boolean {
	return address === '';
}

function createDeparted(id: string, startedAt: number): AnnouncedBackend {
	return {
		id, startedAt, sequence: 0, service: '', address: '', zone: '', slots: 0, isLeaving: true, isSpot: false,
	};
}

function isOlder(backend: AnnouncedBackend, known: AnnouncedBackend): boolean {
	return backend.startedAt < known.startedAt || (backend.startedAt === known.startedAt && backend.sequence < known.sequence);
}

/**
Returns a newer announcement of an incarnation with what holds until its end: one that leaves never returns to service, and its version
stays known when the announcement came through a process of an earlier version.

@example
```
const backend = updateIncarnation(known, announced);
```
*/
export function updateIncarnation(known: AnnouncedBackend, announced: AnnouncedBackend): AnnouncedBackend {
	const version = announced.version ?? known.version;
	return {...announced, isLeaving: announced.isLeaving || known.isLeaving, ...(version !== undefined && {version})};
}

function isSameForRouting(left: AnnouncedBackend, right: AnnouncedBackend): boolean {
	return left.service === right.service
		&& left.address === right.address
		&& left.zone === right.zone
		&& left.version === right.version
		&& left.slots === right.slots
		&& left.isLeaving === right.isLeaving
		&& left.isSpot === right.isSpot;
}
