/**
 * Finds the contents of requests that crash back ends, from what all entries report. A back end that crashes breaks off every
 * request that it runs, most of them innocent. What tells a fatal content from those is that back end after back end breaks it off
 * and none answers it.
 */
import {findOutages} from '@mulberrypitch/control/crash-outages';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {QuarantineList} from '@mulberrypitch/serving/quarantine-list';
import type {CrashReport} from '@mulberrypitch/serving/view-messages';

/** Dependencies of the evidence. */
export type CrashEvidenceOptions = {
	readonly clock: Clock;
	/** The contents that are quarantined, to which the evidence adds. */
	readonly quarantine: QuarantineList;
	/** Called when a content becomes suspect, so that the entries report at once whether they had it answered. */
	readonly onSuspect: () => void;
	/** Called when a content is quarantined, with the incarnations of the back ends that broke it off. */
	readonly onQuarantined: (fingerprint: string, backends: readonly string[]) => void;
};

/** Reports of all entries on one content. */
type Content = {
	/** Position among the fingerprints of its requests; a higher one is more specific. */
	readonly rank: number;
	/** Monotonic time in milliseconds of the first charge by each incarnation of a back end since the last answer. */
	readonly charges: Map<string, number>;
	/** Monotonic time in milliseconds of the last known answer. */
	answeredAt: number;
	/** Monotonic time in milliseconds since which the content has been suspect; absent if it is not. */
	suspectSince?: number;
};

/** Number of crashes that make a content suspect. */
const suspectThreshold = 2;
/** Number of crashes, with no answer in between, that quarantine a content. */
const quarantineThreshold = 3;
/** Crashes that are less than this time, in milliseconds, apart count as one: they may have one cause outside of the requests. */
const sameCrashMs = 250;
/**
Time in milliseconds for which the entries may report, before a content is quarantined: what else a crash broke off, and whether a
suspect content was answered.
*/
const reportWaitMs = 400;
/** Difference in milliseconds above which a report tells of a later event, and not of a known one after a delay. */
const sameReportMs = 2000;
/** Time in milliseconds for which a charge counts. */
const chargeMs = 5 * 60_000;
/** Maximum number of suspects that the entries are asked about. */
const maxSuspects = 100;
/** Number of contents that are remembered; those that were charged first are forgotten first. */
const maxContents = 5000;
/** Time in milliseconds between two evaluations, since reports arrive hundreds of times a second. */
const evaluationMs = 50;

/** Combines the reports of all entries. */
export class CrashEvidence {
	readonly #options: CrashEvidenceOptions;
	readonly #contents = new Map<string, Content>();
	/** Monotonic time in milliseconds at which each incarnation of a back end last broke off requests. */
	readonly #crashedAt = new Map<string, number>();
	#suspects: readonly string[] = [];
	#evaluatedAt = Number.NEGATIVE_INFINITY;

	constructor(options: CrashEvidenceOptions) {
		this.#options = options;
	}

	/** Adds the report of an entry, which may repeat what is known, and quarantines what the evidence then suffices for. */
	merge({charges, answered, quarantined}: CrashReport): void {
		const {clock, quarantine} = this.#options;
		const now = clock.now();
		quarantine.merge(quarantined);
		for (const {backend, ageMs, fingerprints} of charges) {
			this.#recordCrash(backend, now - ageMs);
			for (const [rank, fingerprint] of fingerprints.entries()) {
				this.#charge(fingerprint, rank, {backend, at: now - ageMs});
			}
		}

		for (const {fingerprint, ageMs} of answered) {
			this.#recordAnswer(fingerprint, now - ageMs);
		}

		if (now - this.#evaluatedAt >= evaluationMs) {
			this.#evaluatedAt = now;
			this.#markSuspects();
			this.#quarantineFatal();
			this.#listSuspects();
		}
	}

	/** Returns the contents, as of the last evaluation, of which the coordinators need to know whether they were answered. */
	getSuspects(): readonly string[] {
		return this.#suspects;
	}

	/** Forgets charges that no longer count. */
	expire(): void {
		const before = this.#options.clock.now() - chargeMs;
		for (const [backend, crashedAt] of this.#crashedAt) {
			if (crashedAt < before) {
				this.#crashedAt.delete(backend);
			}
		}

		for (const [fingerprint, {charges}] of this.#contents) {
			for (const [backend, at] of charges) {
				if (at < before) {
					charges.delete(backend);
				}
			}

			if (charges.size === 0) {
				this.#contents.delete(fingerprint);
			}
		}

		const excess = Math.max(0, this.#contents.size - maxContents);
		for (const fingerprint of [...this.#contents.keys()].slice(0, excess)) {
			this.#contents.delete(fingerprint);
		}
	}

	#listSuspects(): void {
		const {quarantine} = this.#options;
		this.#suspects = [...this.#contents]
			.filter(([fingerprint, {suspectSince}]) => suspectSince !== undefined || quarantine.has(fingerprint))
			.slice(-maxSuspects)
			.map(([fingerprint]) => fingerprint);
	}

	#recordCrash(backend: string, at: number): void {
		const knownAt = this.#crashedAt.get(backend);
		if (knownAt === undefined || at > knownAt + sameReportMs) {
			this.#crashedAt.set(backend, at);
		}
	}

	#charge(fingerprint: string, rank: number, {backend, at}: {readonly backend: string; readonly at: number}): void {
		let content = this.#contents.get(fingerprint);
		if (content === undefined) {
			content = {rank, charges: new Map(), answeredAt: Number.NEGATIVE_INFINITY};
			this.#contents.set(fingerprint, content);
		}

		if (at > content.answeredAt && !content.charges.has(backend)) {
			content.charges.set(backend, at);
		}
	}

	#recordAnswer(fingerprint: string, answeredAt: number): void {
		this.#options.quarantine.release(fingerprint, answeredAt);
		const content = this.#contents.get(fingerprint);
		if (content === undefined || answeredAt <= content.answeredAt) {
			return;
		}

		content.answeredAt = answeredAt;
		for (const [backend, at] of content.charges) {
			if (at <= answeredAt) {
				content.charges.delete(backend);
			}
		}
	}

	#markSuspects(): void {
		const {clock, onSuspect} = this.#options;
		const unrelated = this.#getUnrelated();
		let hasNew = false;
		for (const content of this.#contents.values()) {
			const isSuspect = content.charges.size >= suspectThreshold && countCrashes(content, unrelated, clock.now()) >= suspectThreshold;
			if (!isSuspect) {
				delete content.suspectSince;
			} else if (content.suspectSince === undefined) {
				content.suspectSince = clock.now();
				hasNew = true;
			}
		}

		if (hasNew) {
			onSuspect();
		}
	}

	/** Quarantines one content after the other, since each explains crashes that then no longer speak against the others. */
	#quarantineFatal(): void {
		const {clock, quarantine, onQuarantined} = this.#options;
		for (;;) {
			const unrelated = this.#getUnrelated();
			const [worst] = [...this.#contents]
				.filter(([, content]) => content.suspectSince !== undefined && clock.now() - content.suspectSince >= reportWaitMs)
				.map(([fingerprint, content]) => ({fingerprint, content, count: countCrashes(content, unrelated, clock.now() - reportWaitMs)}))
				.filter(({count}) => count >= quarantineThreshold)
				.toSorted((left, right) => right.count - left.count || right.content.rank - left.content.rank);
			if (worst === undefined) {
				return;
			}

			quarantine.add(worst.fingerprint);
			onQuarantined(worst.fingerprint, [...worst.content.charges.keys()]);
		}
	}

	/** Returns the back ends whose crash is no evidence against a content that is not quarantined: another one explains it, or an outage. */
	#getUnrelated(): ReadonlySet<string> {
		const {quarantine} = this.#options;
		const explained = [...this.#contents].filter(([fingerprint]) => quarantine.has(fingerprint)).flatMap(([, {charges}]) => [...charges.keys()]);
		return new Set([...explained, ...findOutages(this.#crashedAt)]);
	}
}

/** Returns the number of separate crashes up to a time that speak against a content. */
function countCrashes({charges}: Content, unrelated: ReadonlySet<string>, until: number): number {
	const times = [...charges]
		.filter(([backend, at]) => at <= until && !unrelated.has(backend))
		.map(([, at]) => at)
		.toSorted((left, right) => left - right);
	let count = 0;
	let countedAt = Number.NEGATIVE_INFINITY;
	for (const at of times) {
		if (at - countedAt >= sameCrashMs) {
			count += 1;
			countedAt = at;
		}
	}

	return count;
}
