/** The quota of one workspace as one entry follows it: what all entries together may still spend, and its own share. */
import type {Workspace} from '@mulberrypitch/serving/types';

/** How exactly quotas hold. */
export type QuotaTolerance = {
	/** Part of a quota by which it may be passed in one window. */
	readonly part: number;
	/** Units beyond that. */
	readonly units: number;
	readonly windowMs: number;
};

/** What a request asks of a quota. */
export type QuotaClaim = {
	readonly units: number;
	/** Of the highest priority. */
	readonly isUrgent: boolean;
};

/** What an entry knows at one context. */
export type QuotaContext = {
	readonly now: number;
	readonly entryCount: number;
	/** The others' spending is being told. */
	readonly isInTouch: boolean;
};

/** Time after which the others' spending is learned. */
const reportDelayMs = 250;
/** Parts of its burst that a new bucket holds: when nobody is known to have spent of it, and when others may have. */
const unspentInitialShare = 0.7;
const initialShare = 0.55;
/** What entries may spend beyond a quota before they hear of each other, in seconds of its rate. */
const unreportedSeconds = 1.2;
/** Part of the tolerance's units that is kept for small requests, so that large ones don't shut them out. */
const smallRequestReserve = 0.3;
/** Part of a full bucket that is kept for urgent requests. */
const urgentRequestReserve = 0.35;
/** Units up to which a request is small. */
const maxSmallRequestUnits = 500;
/** Part of a full bucket that the largest requests wait for. */
const maxRequiredShare = 0.8;
/** Bounds of an entry's own share while it is out of touch, as parts of an even share. */
const minEvenShares = 0.5;
const maxEvenShares = 3;
/** Time over which rates are averaged. */
const othersAverageMs = 400;
const ownAverageMs = 3000;
const minWaitSeconds = 0.05;
/** Least size of a bucket, as a part of the burst. */
const minCapacityShare = 0.5;

/** Requests that are larger than a bucket pass when it is nearly full. */
export class QuotaBucket {
	readonly #tolerance: QuotaTolerance;
	#level: number;
	#filledAt: number;
	/** What this entry may spend on its own while it is out of touch. */
	#share = 0;
	#spent = 0;
	/** What the others had spent when that was last told; absent after another coordinator was asked. */
	#othersSpent: number | undefined;
	#othersRate = 0;
	/** What the others were taken to spend since that was last told. */
	#estimatedOthersSpent = 0;
	#ownRate = 0;
	#reportedAt: number;
	#spentAtReport = 0;

	/** Entries that start together may all spend the first units at once, so a bucket never begins full. */
	constructor(workspace: Workspace, tolerance: QuotaTolerance, {now, isUnspent}: {readonly now: number; readonly isUnspent: boolean}) {
		this.#tolerance = tolerance;
		this.#level = (isUnspent ? unspentInitialShare : initialShare) * this.#getCapacity(workspace);
		this.#filledAt = now;
		this.#reportedAt = now;
	}

	/** Units that all entries together may still spend, as far as this entry knows. */
	get level(): number {
		return this.#level;
	}

	/** Units that this entry has spent since it started. */
	get spent(): number {
		return this.#spent;
	}

	/** Takes units; gives zero, or the seconds after which to come back when none are left. */
	take(workspace: Workspace, {units, isUrgent}: QuotaClaim, context: QuotaContext): number {
		this.#fill(workspace, context);
		const waitSeconds = context.isInTouch ? this.#getWait(workspace, {units, isUrgent}) : this.#getShareWait(workspace, units, context);
		if (waitSeconds > 0) {
			return Math.max(minWaitSeconds, waitSeconds);
		}

		this.#spend(units);
		return 0;
	}

	/** Gives units back that were taken for a request that did not run. */
	refund(units: number): void {
		this.#spend(-units);
	}

	/** Takes what the others have spent, as one coordinator counts it. */
	updateOthersSpent(total: number, {now, entryCount}: QuotaContext): void {
		const elapsedMs = Math.max(1, now - this.#reportedAt);
		const isComparable = this.#othersSpent !== undefined && total >= this.#othersSpent;
		// Another coordinator counts from elsewhere; the others went on spending meanwhile.
		const added = isComparable ? total - this.#othersSpent! : this.#othersRate * elapsedMs / 1000;
		this.#level -= added - this.#estimatedOthersSpent;
		this.#estimatedOthersSpent = 0;
		this.#othersRate = updateAverage(this.#othersRate, added, elapsedMs, othersAverageMs);
		this.#ownRate = updateAverage(this.#ownRate, this.#spent - this.#spentAtReport, elapsedMs, ownAverageMs);
		this.#othersSpent = total;
		this.#spentAtReport = this.#spent;
		this.#reportedAt = now;
		this.#share = Math.max(0, this.#level) / entryCount;
	}

	/** Begins to count anew what the others spend, for another coordinator counts differently. */
	resetOthersSpent(): void {
		this.#othersSpent = undefined;
	}

	#spend(units: number): void {
		this.#level -= units;
		this.#share -= units;
		this.#spent += units;
	}

	#getWait(workspace: Workspace, claim: QuotaClaim): number {
		const unreported = this.#othersRate * reportDelayMs / 1000;
		const least = this.#getRequiredLevel(workspace, claim);
		return (least - (this.#level - unreported)) / workspace.ratePerSecond;
	}

	/** Gives the level from which on a request passes. What is less urgent leaves a reserve for what is more so. */
	#getRequiredLevel(workspace: Workspace, {units, isUrgent}: QuotaClaim): number {
		if (units <= maxSmallRequestUnits) {
			return -smallRequestReserve * this.#tolerance.units;
		}

		const capacity = this.#getCapacity(workspace);
		return Math.min(units + (isUrgent ? 0 : urgentRequestReserve * capacity), maxRequiredShare * capacity);
	}

	/** A request may pass a share that is not used up, which then has to fill again. */
	#getShareWait(workspace: Workspace, units: number, context: QuotaContext): number {
		const least = Math.min(units, this.#getShareCapacity(workspace, context));
		return (least - this.#share) / this.#getShareRate(workspace, context);
	}

	#fill(workspace: Workspace, context: QuotaContext): void {
		const seconds = (context.now - this.#filledAt) / 1000;
		const assumed = this.#othersRate * seconds;
		this.#estimatedOthersSpent += assumed;
		this.#level = Math.min(this.#getCapacity(workspace), this.#level + (workspace.ratePerSecond * seconds) - assumed);
		this.#share = Math.min(this.#getShareCapacity(workspace, context), this.#share + (this.#getShareRate(workspace, context) * seconds));
		this.#filledAt = context.now;
	}

	/** A bucket holds the burst and what is left of the tolerance after what is spent unheard. */
	#getCapacity({ratePerSecond, burst}: Workspace): number {
		const {part, units, windowMs} = this.#tolerance;
		const allowed = (part * ((ratePerSecond * windowMs / 1000) + burst)) + ((1 - smallRequestReserve) * units);
		return Math.max(minCapacityShare * burst, burst + allowed - (unreportedSeconds * ratePerSecond));
	}

	/** An entry that hears of nobody goes on as before, for that was within the quota. */
	#getShareRate({ratePerSecond}: Workspace, {entryCount}: QuotaContext): number {
		const even = ratePerSecond / entryCount;
		return Math.min(maxEvenShares * even, Math.max(minEvenShares * even, this.#ownRate));
	}

	#getShareCapacity(workspace: Workspace, {entryCount}: QuotaContext): number {
		return this.#getCapacity(workspace) / entryCount;
	}
}

/** Moves an average of a rate in units for each second towards what was added in a time. */
function updateAverage(rate: number, added: number, elapsedMs: number, averageMs: number): number {
	const weight = 1 - Math.exp(-elapsedMs / averageMs);
	return rate + (weight * ((added * 1000 / elapsedMs) - rate));
}
