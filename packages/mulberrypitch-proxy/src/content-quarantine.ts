/**
 * Keeps contents that crash back ends away from them. An entry reports which contents a back end broke off and which of the
 * suspected ones were answered. The coordinators combine the reports of all entries and decide what is quarantined.
 */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {QuarantineList} from '@mulberrypitch/serving/quarantine-list';
import type {
	BackendSurvival, ContentCharge, ContentVerdict, CrashReport,
} from '@mulberrypitch/serving/view-messages';
import {RestrictedContents} from './restricted-contents.js';

/** Why a request must not be sent to a back end now, because of its contents. */
export type ContentRefusal = {
	readonly reason: string;
	/** Time in milliseconds after which the request may be tried again. */
	readonly waitMs: number;
};

/** The contents of one request. */
export type RequestContent = {
	/**
	Returns why the request must not be sent to a back end now, or `undefined` if it may be. Asked before each send. A stream that goes on after an
	event is not restricted, since content that crashes back ends does so before its first event.
	*/
	findRefusal(goesOn: boolean): ContentRefusal | undefined;
	/** Records that the request is sent to a back end. Returns what to call at the end of the attempt, with whether the back end broke it off. */
	beginRun(): (isBrokenOff: boolean) => void;
	/** Records that a back end broke off the request and may have crashed because of it. */
	recordBrokenOff(backend: string): void;
	/** Records that the contents don't crash a back end: the request was answered, or has been running for long enough. */
	recordAnswered(): void;
};

/** Reason of a refusal because of quarantined content. */
export const quarantineReason = 'quarantined content';
/** Reason of a refusal because the request runs at one back end at a time. */
export const restrictionReason = 'content that several back ends broke off';

/** Time in milliseconds for which a charge is reported, so that several reports to the coordinators carry it. */
const reportMs = 5000;
/** Time in milliseconds for which a charge is kept, to be reported to a coordinator that may know of none. */
const retentionMs = 60_000;
/** Time in milliseconds for which all of them are reported to such a coordinator. */
const repeatMs = 2000;
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
	readonly #restricted: RestrictedContents;
	/** Monotonic time in milliseconds of the last answer, by fingerprint, least recent first. */
	readonly #answeredAt = new Map<string, number>();
	#charges: readonly TimedCharge[] = [];
	/** Monotonic time in milliseconds of the last request that a back end answered after it had broken off another one. */
	readonly #survivedAt = new Map<string, number>();
	#suspects: readonly string[] = [];
	/** Monotonic time in milliseconds until which all charges are reported. */
	#repeatUntil = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#list = new QuarantineList(clock);
		this.#restricted = new RestrictedContents(clock);
	}

	/** Number of contents that are quarantined now. */
	get count(): number {
		return this.#list.count;
	}

	/** Whether any content may crash back ends, as this entry or the coordinators have seen. */
	get isActive(): boolean {
		return this.#charges.length > 0 || this.#suspects.length > 0;
	}

	/** Returns the contents of a request, given their fingerprints, the last of which is that of the whole request. */
	track(fingerprints: readonly string[]): RequestContent {
		return {
			findRefusal: goesOn => this.#findRefusal(fingerprints, goesOn),
			beginRun: () => this.#beginRun(fingerprints),
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
		this.#charges = this.#charges.filter(({at}) => now - at <= retentionMs);
		const reported = this.#charges.filter(({at}) => now <= this.#repeatUntil || now - at <= reportMs);
		return {
			charges: reported.map(({backend, at, fingerprints}): ContentCharge => ({backend, ageMs: now - at, fingerprints})),
			answered: this.#suspects
				.filter(fingerprint => this.#answeredAt.has(fingerprint))
				.map(fingerprint => ({fingerprint, ageMs: now - this.#answeredAt.get(fingerprint)!})),
			quarantined: this.#list.capture(),
			survived: this.#listSurvived(),
		};
	}

	/** Records that a back end answered a request which was sent at the given monotonic time in milliseconds: it had not crashed before. */
	recordResponse(backend: string, sentAt: number): void {
		if (this.#charges.some(charge => charge.backend === backend && charge.at < sentAt)) {
			this.#charges = this.#charges.filter(charge => charge.backend !== backend || charge.at >= sentAt);
			this.#survivedAt.set(backend, sentAt);
		}
	}

	/** Applies what the coordinators know and have decided. */
	apply(verdict: ContentVerdict): void {
		this.#suspects = verdict.suspects;
		this.#list.merge(verdict.quarantined);
		this.#restricted.apply(verdict);
	}

	/** Reports all charges of the last minute for a while, since the coordinator that replies now may know of none. */
	repeatReports(): void {
		this.#repeatUntil = this.#clock.now() + repeatMs;
	}

	#listSurvived(): readonly BackendSurvival[] {
		const now = this.#clock.now();
		for (const [backend, at] of this.#survivedAt) {
			if (now - at > reportMs) {
				this.#survivedAt.delete(backend);
			}
		}

		return [...this.#survivedAt].map(([backend, at]) => ({backend, ageMs: now - at}));
	}

	#findRefusal(fingerprints: readonly string[], goesOn: boolean): ContentRefusal | undefined {
		const quarantineMs = Math.max(...fingerprints.map(fingerprint => this.#list.getRemainingMs(fingerprint)));
		if (quarantineMs > 0) {
			return {reason: quarantineReason, waitMs: quarantineMs};
		}

		const waitMs = !goesOn && this.#restricted.has(fingerprints.at(-1)!) ? this.#restricted.getWaitMs() : 0;
		return waitMs > 0 ? {reason: restrictionReason, waitMs} : undefined;
	}

	#beginRun(fingerprints: readonly string[]): (isBrokenOff: boolean) => void {
		if (!this.#restricted.has(fingerprints.at(-1)!)) {
			return () => {
				// Only the runs of restricted requests are counted.
			};
		}

		this.#restricted.beginRun();
		return isBrokenOff => {
			this.#restricted.endRun(isBrokenOff);
		};
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

/**
Returns the key of an incarnation of a back end in charges.

@example
```
content.recordBrokenOff(getIncarnationKey('i-1', startedAt));
```
*/
export function getIncarnationKey(id: string, startedAt: number): string {
	return `${id} ${startedAt}`;
}
