/**
 * Keeps contents that crash back ends away from them. An entry reports which contents a back end broke off and which of the
 * suspected ones were answered. The coordinators combine the reports of all entries and decide what is quarantined.
 */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {QuarantineList} from '@mulberrypitch/serving/quarantine-list';
import type {ContentCharge, ContentVerdict, CrashReport} from '@mulberrypitch/serving/view-messages';

/** The contents of one request. */
export type RequestContent = {
	/** Time in milliseconds until the request may be sent to a back end; zero if it may be now. */
	getQuarantineMs(): number;
	/** Records that a back end broke off the request and may have crashed because of it. */
	recordBrokenOff(backend: string): void;
	/** Records that the contents don't crash a back end: the request was answered, or has been running for long enough. */
	recordAnswered(): void;
};

/** Time in milliseconds for which a charge is reported, so that several reports to the coordinators carry it. */
const reportMs = 5000;
/** Maximum number of charges in a report; the oldest ones are left out. */
const maxCharges = 50;
/** Number of contents whose last answer is remembered. */
const maxAnswered = 5000;

type TimedCharge = {
	readonly backend: string;
	/** Monotonic time in milliseconds. */
	readonly at: number;
	readonly fingerprints: readonly string[];
};

/** Knows the quarantined contents, and what this entry observed of others. */
export class ContentQuarantine {
	readonly #clock: Clock;
	readonly #list: QuarantineList;
	/** Monotonic time in milliseconds of the last answer, by fingerprint, least recent first. */
	readonly #answeredAt = new Map<string, number>();
	#charges: readonly TimedCharge[] = [];
	#suspects: readonly string[] = [];

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#list = new QuarantineList(clock);
	}

	/** Number of contents that are quarantined now. */
	get count(): number {
		return this.#list.count;
	}

	/** Returns the contents of a request, given their fingerprints. */
	track(fingerprints: readonly string[]): RequestContent {
		return {
			getQuarantineMs: () => Math.max(...fingerprints.map(fingerprint => this.#list.getRemainingMs(fingerprint))),
			recordBrokenOff: backend => {
				this.#charges = [...this.#charges, {backend, at: this.#clock.now(), fingerprints}].slice(-maxCharges);
			},
			recordAnswered: () => {
				this.#recordAnswered(fingerprints);
			},
		};
	}

	/** Returns what the coordinators need to know of this entry. */
	createReport(): CrashReport {
		const now = this.#clock.now();
		this.#charges = this.#charges.filter(({at}) => now - at <= reportMs);
		return {
			charges: this.#charges.map(({backend, at, fingerprints}): ContentCharge => ({backend, ageMs: now - at, fingerprints})),
			answered: this.#suspects
				.filter(fingerprint => this.#answeredAt.has(fingerprint))
				.map(fingerprint => ({fingerprint, ageMs: now - this.#answeredAt.get(fingerprint)!})),
			quarantined: this.#list.capture(),
		};
	}

	/** Applies what the coordinators know and have decided. */
	apply({suspects, quarantined}: ContentVerdict): void {
		this.#suspects = suspects;
		this.#list.merge(quarantined);
	}

	#recordAnswered(fingerprints: readonly string[]): void {
		const now = this.#clock.now();
		for (const fingerprint of fingerprints) {
			this.#answeredAt.delete(fingerprint);
			this.#answeredAt.set(fingerprint, now);
			this.#list.release(fingerprint, now);
		}

		for (const [fingerprint] of this.#answeredAt) {
			if (this.#answeredAt.size <= maxAnswered) {
				return;
			}

			this.#answeredAt.delete(fingerprint);
		}
	}
}
