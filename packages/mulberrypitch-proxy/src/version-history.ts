/** Which software versions the back ends of each service had lately, by the rosters of the coordinators. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {isUnannounced, type RosterChanges} from '@mulberrypitch/serving/backend-roster';
import type {AnnouncedBackend} from '@mulberrypitch/serving/types';

/** Time in milliseconds for which a back end that is gone is remembered. */
const retentionMs = 60_000;
/** Time in milliseconds without a roster after which back ends may have come and gone unseen. */
const maxGapMs = 2000;

type ListedBackend = {
	readonly id: string;
	readonly startedAt: number;
	readonly service: string;
	readonly version: string | undefined;
	/** Monotonic time in milliseconds from which on the back end is gone; infinite while it is listed. */
	readonly goneAt: number;
};

/** Remembers the back ends of the rosters, also those that are gone. */
export class VersionHistory {
	readonly #clock: Clock;
	#backends: readonly ListedBackend[] = [];
	/** Monotonic times in milliseconds since which all back ends are known, and of the last roster. */
	#knownSince = Number.POSITIVE_INFINITY;
	#appliedAt = Number.NEGATIVE_INFINITY;
	#isSettled = false;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Applies the changes of a roster. */
	apply({entries, isWhole, isSettled, ageMs = 0, replaced: earlier = []}: RosterChanges): void {
		const now = this.#clock.now();
		const isContinuous = this.#isSettled && now - this.#appliedAt <= maxGapMs;
		this.#knownSince = Math.min(isContinuous ? this.#knownSince : now, now - ageMs);
		this.#appliedAt = now;
		this.#isSettled = isSettled;
		// Of a back end that left unannounced to its coordinator, the version may be known from another one.
		const announced = [...earlier, ...entries].filter(({backend}) => !isUnannounced(backend));
		const listed = announced.map(entry => createListed(entry.backend, entry.isGone ? now - entry.ageMs : Number.POSITIVE_INFINITY));
		const others = this.#backends.filter(known => !listed.some(backend => isSameIncarnation(backend, known)));
		const replaced = new Set(entries.map(({backend}) => backend.id));
		const kept = others.map(known => (isWhole && isSettled) || replaced.has(known.id) ? {...known, goneAt: Math.min(known.goneAt, now)} : known);
		this.#backends = [...listed, ...kept].filter(({goneAt}) => goneAt >= now - retentionMs);
	}

	/**
	Returns the one version that the back ends of a service have had for the given time in milliseconds. Returns `undefined` if there was
	more than one, or if not all back ends of that time are known.
	*/
	getSole(service: string, forMs: number): string | undefined {
		const now = this.#clock.now();
		if (!this.#isSettled || now - this.#knownSince < forMs || forMs > retentionMs) {
			return undefined;
		}

		const versions = new Set(this.#backends.filter(backend => backend.service === service && backend.goneAt >= now - forMs).map(({version}) => version));
		return versions.size === 1 ? [...versions][0] : undefined;
	}
}

function createListed({id, startedAt, service, version}: AnnouncedBackend, goneAt: number): ListedBackend {
	return {
		id, startedAt, service, version, goneAt,
	};
}

function isSameIncarnation(left: ListedBackend, right: ListedBackend): boolean {
	return left.id === right.id && left.startedAt === right.startedAt;
}
