/**
 * Finds the contents of requests that crash back ends, from what all entries report. A back end that crashes breaks off every
 * request that it runs, most of them innocent. What tells a fatal content from those is that back end after back end breaks it off
 * and none answers it. A whole request that was broken off by several back ends is suspect at once, and runs at one back end at a time
 * until it is answered or quarantined: then a crash under it has no other cause, and callers who send it together end no more back ends than one.
 */
import {countCrashes} from '@mulberrypitch/control/crash-outages';
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
	/** Called when a whole request is restricted, with the incarnations of the back ends that broke it off. */
	readonly onRestricted: (fingerprint: string, backends: readonly string[]) => void;
	/** Called when a content is quarantined, with the incarnations of the back ends that broke it off. */
	readonly onQuarantined: (fingerprint: string, backends: readonly string[]) => void;
};

/** Reports of all entries on one content. */
type Content = {
	/** Position among the fingerprints of its requests; a higher one is more specific. */
	readonly rank: number;
	/** Whether the content is a whole request, and not a part that other requests share. */
	readonly isWhole: boolean;
	/** Monotonic time in milliseconds of the first charge by each incarnation of a back end since the last answer. */
	readonly charges: Map<string, number>;
	/** Monotonic time in milliseconds of the last known answer. */
	answeredAt: number;
	/** Monotonic time in milliseconds since which several back ends have broken the content off; absent if they have not. */
	brokenOffSince?: number;
	/** Monotonic time in milliseconds since which the content has been suspect; absent if it is not. */
	suspectSince?: number;
};

/** What speaks against a content. */
type Weight = {
	/** Number of back ends that broke it off. */
	readonly backends: number;
	/** Number of separate crashes among them. */
	readonly crashes: number;
};

/** Number of crashes that make a content suspect. */
const suspectThreshold = 2;
/** Number of crashes, with no answer in between, that quarantine a content. */
const quarantineThreshold = 3;
/** Crashes that are less than this time, in milliseconds, apart count as one: they may have one cause outside of the requests. */
const sameCrashMs = 250;
/** Numbers of back ends and of separate crashes that quarantine a whole request, which runs at one back end at a time after the first crashes. */
const wholeBackends = 3;
const wholeCrashes = 2;
/** Time in milliseconds for which the entries may report, before a whole request is restricted, whether it was answered or its back ends answer others. */
const restrictionWaitMs = 300;
/** Difference in milliseconds above which a sign of a back end is a new one, and not the same one after a delay. */
const sameSurvivalMs = 500;
/** Time in milliseconds since the last crash for which a whole request that several back ends broke off is restricted. */
const restrictionMs = 30_000;
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
	/** Monotonic time in milliseconds of the last sign that an incarnation has not crashed. */
	readonly #survivedAt = new Map<string, number>();
	#suspects: readonly string[] = [];
	#restricted: readonly string[] = [];
	/** Whole requests that several back ends have lately broken off. */
	#brokenOff: ReadonlySet<string> = new Set();
	#evaluatedAt = Number.NEGATIVE_INFINITY;

	constructor(options: CrashEvidenceOptions) {
		this.#options = options;
	}

	/** Adds the report of an entry, which may repeat what is known, and quarantines what the evidence then suffices for. */
	merge({charges, answered, quarantined, survived = []}: CrashReport): void {
		const {clock, quarantine} = this.#options;
		const now = clock.now();
		quarantine.merge(quarantined);
		for (const {backend, ageMs} of survived) {
			this.#recordSurvival(backend, now - ageMs);
		}

		for (const {backend, ageMs, fingerprints} of charges.filter(charge => now - charge.ageMs > (this.#survivedAt.get(charge.backend) ?? Number.NEGATIVE_INFINITY))) {
			this.#recordCrash(backend, now - ageMs);
			for (const [rank, fingerprint] of fingerprints.entries()) {
				this.#charge(fingerprint, {rank, isWhole: rank === fingerprints.length - 1}, {backend, at: now - ageMs});
			}
		}

		for (const {fingerprint, ageMs} of answered) {
			this.#recordAnswer(fingerprint, now - ageMs);
		}

		if (now - this.#evaluatedAt >= evaluationMs) {
			this.#evaluatedAt = now;
			this.#markSuspects();
			this.#quarantineFatal();
			this.#listRestricted();
			this.#listSuspects();
		}
	}

	/** Returns the contents, as of the last evaluation, of which the coordinators need to know whether they were answered. */
	getSuspects(): readonly string[] {
		return this.#suspects;
	}

	/** Returns the whole requests, as of the last evaluation, that run at one back end at a time. */
	getRestricted(): readonly string[] {
		return this.#restricted;
	}

	/** Forgets charges that no longer count. */
	expire(): void {
		const before = this.#options.clock.now() - chargeMs;
		for (const [backend, crashedAt] of this.#crashedAt) {
			if (crashedAt < before) {
				this.#crashedAt.delete(backend);
			}
		}

		for (const [backend, survivedAt] of this.#survivedAt) {
			if (survivedAt < before) {
				this.#survivedAt.delete(backend);
			}
		}

		for (const [fingerprint, {charges, answeredAt}] of this.#contents) {
			for (const [backend, at] of charges) {
				if (at < before) {
					charges.delete(backend);
				}
			}

			// Entries repeat charges that an answer has cleared, so the time of the answer is kept.
			if (charges.size === 0 && answeredAt < before) {
				this.#contents.delete(fingerprint);
			}
		}

		const excess = Math.max(0, this.#contents.size - maxContents);
		for (const fingerprint of [...this.#contents.keys()].slice(0, excess)) {
			this.#contents.delete(fingerprint);
		}
	}

	#listRestricted(): void {
		const {clock, onSuspect, onRestricted} = this.#options;
		const now = clock.now();
		const wasAsked = new Set(this.#suspects);
		const brokenOff = [...this.#contents].filter(([fingerprint, content]) => this.#isBrokenOffBySeveral(fingerprint, content));
		const restricted = brokenOff.filter(([, {brokenOffSince}]) => now - brokenOffSince! >= restrictionWaitMs).slice(-maxSuspects).map(([fingerprint]) => fingerprint);
		const added = restricted.filter(fingerprint => !this.#restricted.includes(fingerprint));
		this.#restricted = restricted;
		this.#brokenOff = new Set(brokenOff.map(([fingerprint]) => fingerprint));
		if ([...this.#brokenOff].some(fingerprint => !wasAsked.has(fingerprint))) {
			onSuspect();
		}

		for (const fingerprint of added) {
			onRestricted(fingerprint, [...this.#contents.get(fingerprint)!.charges.keys()]);
		}
	}

	/** Reports whether several back ends have lately broken off a whole request, and records since when. */
	#isBrokenOffBySeveral(fingerprint: string, content: Content): boolean {
		const {clock, quarantine} = this.#options;
		const {isWhole, charges} = content;
		if (!isWhole || charges.size < suspectThreshold || quarantine.has(fingerprint) || Math.max(...charges.values()) < clock.now() - restrictionMs) {
			delete content.brokenOffSince;
			return false;
		}

		content.brokenOffSince ??= clock.now();
		return true;
	}

	#listSuspects(): void {
		const {quarantine} = this.#options;
		this.#suspects = [...this.#contents]
			.filter(([fingerprint, {suspectSince}]) => suspectSince !== undefined || this.#brokenOff.has(fingerprint) || quarantine.has(fingerprint))
			.slice(-maxSuspects)
			.map(([fingerprint]) => fingerprint);
	}

	/** Removes what speaks for a crash of a back end that has answered a later request. */
	#recordSurvival(backend: string, survivedAt: number): void {
		if (survivedAt <= (this.#survivedAt.get(backend) ?? Number.NEGATIVE_INFINITY) + sameSurvivalMs) {
			return;
		}

		this.#survivedAt.set(backend, survivedAt);
		if ((this.#crashedAt.get(backend) ?? survivedAt) < survivedAt) {
			this.#crashedAt.delete(backend);
		}

		for (const {charges} of this.#contents.values()) {
			if ((charges.get(backend) ?? survivedAt) < survivedAt) {
				charges.delete(backend);
			}
		}
	}

	#recordCrash(backend: string, at: number): void {
		const knownAt = this.#crashedAt.get(backend);
		if (knownAt === undefined || at > knownAt + sameReportMs) {
			this.#crashedAt.set(backend, at);
		}
	}

	#charge(fingerprint: string, kind: Pick<Content, 'rank' | 'isWhole'>, {backend, at}: {readonly backend: string; readonly at: number}): void {
		let content = this.#contents.get(fingerprint);
		if (content === undefined) {
			content = {...kind, charges: new Map(), answeredAt: Number.NEGATIVE_INFINITY};
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
		const explained = this.#getExplained();
		let hasNew = false;
		for (const content of this.#contents.values()) {
			const isSuspect = content.charges.size >= suspectThreshold && this.#weigh(content, explained, clock.now()).crashes >= suspectThreshold;
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
			const explained = this.#getExplained();
			const [worst] = [...this.#contents]
				.filter(([, content]) => content.suspectSince !== undefined && clock.now() - content.suspectSince >= reportWaitMs)
				.map(([fingerprint, content]) => ({fingerprint, content, weight: this.#weigh(content, explained, clock.now() - reportWaitMs)}))
				.filter(({content, weight}) => isFatal(content, weight))
				.toSorted((left, right) => right.weight.crashes - left.weight.crashes || right.content.rank - left.content.rank);
			if (worst === undefined) {
				return;
			}

			quarantine.add(worst.fingerprint);
			onQuarantined(worst.fingerprint, [...worst.content.charges.keys()]);
		}
	}

	/** Returns what speaks against a content up to a time, beside the crashes that a quarantined one explains. */
	#weigh({charges}: Content, explained: ReadonlySet<string>, until: number): Weight {
		const charged = new Map([...charges].filter(([backend, at]) => at <= until && !explained.has(backend)));
		return {backends: charged.size, crashes: countCrashes({charged, crashedAt: this.#crashedAt, sameCrashMs})};
	}

	/** Returns the back ends whose crash a quarantined content explains. */
	#getExplained(): ReadonlySet<string> {
		const {quarantine} = this.#options;
		return new Set([...this.#contents].filter(([fingerprint]) => quarantine.has(fingerprint)).flatMap(([, {charges}]) => [...charges.keys()]));
	}
}

function isFatal({isWhole}: Content, {backends, crashes}: Weight): boolean {
	return crashes >= quarantineThreshold || (isWhole && backends >= wholeBackends && crashes >= wholeCrashes);
}
