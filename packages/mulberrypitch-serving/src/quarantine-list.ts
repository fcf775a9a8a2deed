/** The quarantined contents of requests, as entries and coordinators know them and exchange them. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** A content that is or was quarantined. */
export type QuarantinedContent = {
	/** Identifies the content: a part of a prompt, or a whole request. */
	readonly fingerprint: string;
	/** Time in milliseconds since the content was quarantined. */
	readonly ageMs: number;
	/** Time in milliseconds since a request with the content was answered, which ends an earlier quarantine; absent if none was. */
	readonly answeredAgeMs?: number;
};

type QuarantineRecord = {
	/** Monotonic times in milliseconds. */
	quarantinedAt: number;
	answeredAt: number;
};

/** Duration of a quarantine in milliseconds. */
const quarantineMs = 10 * 60_000;
/** Difference in milliseconds above which another process's time of a quarantine means a later one, and not the same one after a delay. */
const sameQuarantineMs = 2000;

/** Holds the contents that no back end may be sent. */
export class QuarantineList {
	readonly #clock: Clock;
	readonly #records = new Map<string, QuarantineRecord>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of contents that are quarantined now. */
	get count(): number {
		return [...this.#records.keys()].filter(fingerprint => this.has(fingerprint)).length;
	}

	/** Reports whether a content is quarantined now. */
	has(fingerprint: string): boolean {
		return this.getRemainingMs(fingerprint) > 0;
	}

	/** Returns the time in milliseconds until the quarantine of a content ends; zero if it is not quarantined. */
	getRemainingMs(fingerprint: string): number {
		const record = this.#records.get(fingerprint);
		return record === undefined || record.answeredAt >= record.quarantinedAt ? 0 : Math.max(0, record.quarantinedAt + quarantineMs - this.#clock.now());
	}

	/** Quarantines a content from now on. */
	add(fingerprint: string): void {
		const answeredAt = this.#records.get(fingerprint)?.answeredAt ?? Number.NEGATIVE_INFINITY;
		this.#records.set(fingerprint, {quarantinedAt: this.#clock.now(), answeredAt});
	}

	/** Ends the quarantine of a content if a request with it was answered since. */
	release(fingerprint: string, answeredAt: number): void {
		const record = this.#records.get(fingerprint);
		if (record !== undefined) {
			record.answeredAt = Math.max(record.answeredAt, answeredAt);
		}
	}

	/** Returns all contents, those whose quarantine was ended by an answer included. */
	capture(): readonly QuarantinedContent[] {
		const now = this.#clock.now();
		return [...this.#records].map(([fingerprint, {quarantinedAt, answeredAt}]) => ({
			fingerprint, ageMs: now - quarantinedAt, ...(Number.isFinite(answeredAt) && {answeredAgeMs: now - answeredAt}),
		}));
	}

	/** Takes over what another process knows. Ages are counted from now on, so the time of the transfer is ignored. */
	merge(contents: readonly QuarantinedContent[]): void {
		const now = this.#clock.now();
		for (const {fingerprint, ageMs, answeredAgeMs = Number.POSITIVE_INFINITY} of contents) {
			const known = this.#records.get(fingerprint);
			const quarantinedAt = now - ageMs;
			const isLater = known === undefined || quarantinedAt > known.quarantinedAt + sameQuarantineMs;
			this.#records.set(fingerprint, {
				quarantinedAt: isLater ? quarantinedAt : known.quarantinedAt,
				answeredAt: Math.max(known?.answeredAt ?? Number.NEGATIVE_INFINITY, now - answeredAgeMs),
			});
		}

		this.#dropExpired();
	}

	#dropExpired(): void {
		const before = this.#clock.now() - quarantineMs;
		for (const [fingerprint, {quarantinedAt}] of this.#records) {
			if (quarantinedAt < before) {
				this.#records.delete(fingerprint);
			}
		}
	}
}
