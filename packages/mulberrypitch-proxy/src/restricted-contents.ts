/**
 * Lets whole requests that several back ends have broken off run at one back end at a time, over all entries, until they are answered or
 * quarantined. The coordinators list them and name the one entry that runs them; that entry runs one after the other.
 */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {ContentVerdict} from '@mulberrypitch/serving/view-messages';

/** Time in milliseconds without a reply of a coordinator after which another entry may have been named. It is shorter than the time after which coordinators do that. */
const maxVerdictAgeMs = 1000;
/** Time in milliseconds for which an entry must have been named before it runs any, since another one may not yet know that it no longer is. */
const handoverMs = 500;
/** Pause in milliseconds after a back end has broken off a restricted request, in which the coordinators decide. */
const pauseMs = 1000;
/** Time in milliseconds after which a caller may try again at an entry that runs no restricted requests. */
const otherEntryMs = 1000;

/** Knows the restricted requests, and whether this entry may run one. */
export class RestrictedContents {
	readonly #clock: Clock;
	#listed: ReadonlySet<string> = new Set();
	/** Monotonic time in milliseconds since which the coordinators have named this entry; absent if they don't. */
	#namedSince: number | undefined;
	#appliedAt = Number.NEGATIVE_INFINITY;
	#runCount = 0;
	#pausedUntil = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Applies what the coordinators have decided. */
	apply({restricted = [], mayRunRestricted = false}: ContentVerdict): void {
		this.#listed = new Set(restricted);
		this.#namedSince = mayRunRestricted ? this.#namedSince ?? this.#clock.now() : undefined;
		this.#appliedAt = this.#clock.now();
	}

	/** Reports whether the coordinators have listed a request. */
	has(fingerprint: string): boolean {
		return this.#listed.has(fingerprint);
	}

	/** Returns the time in milliseconds after which a restricted request may be tried again; zero if it may run here now. */
	getWaitMs(): number {
		const now = this.#clock.now();
		const isNamed = this.#namedSince !== undefined && now - this.#namedSince >= handoverMs && now - this.#appliedAt <= maxVerdictAgeMs;
		if (!isNamed) {
			return otherEntryMs;
		}

		return this.#runCount > 0 ? pauseMs : Math.max(0, this.#pausedUntil - now);
	}

	/** Records the begin of a run. */
	beginRun(): void {
		this.#runCount += 1;
	}

	/** Records the end of a run, and whether a back end broke it off. */
	endRun(isBrokenOff: boolean): void {
		this.#runCount -= 1;
		if (isBrokenOff) {
			this.#pausedUntil = this.#clock.now() + pauseMs;
		}
	}
}
