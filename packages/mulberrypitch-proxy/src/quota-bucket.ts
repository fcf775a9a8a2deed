/**
 * The quota of one workspace at one entry: a token bucket for the units that all entries together may still spend, and this entry's
 * own share for times when the other entries' spending is unknown.
 */
import type {Workspace} from '@mulberrypitch/serving/types';

/** How far quotas may be exceeded. */
export type QuotaTolerance = {
	/** Share of a quota by which it may be exceeded in one window. */
	readonly part: number;
	/** Units by which a quota may be exceeded in addition to that share. */
	readonly units: number;
	/** Length in milliseconds of the window to which the tolerance applies. */
	readonly windowMs: number;
};

/** The units that a request needs from a quota. */
export type QuotaClaim = {
	readonly units: number;
	/** Whether the request has the highest priority. */
	readonly isUrgent: boolean;
};

/** What a bucket knows of the other entries, for the log. */
export type QuotaFacts = {
	/** Units that this entry has spent since it started. */
	readonly spent: number;
	/** Units that the others had spent by the last report; absent after a change of coordinator. */
	readonly othersReported?: number;
	/** Units that the others are taken to have spent since that report. */
	readonly othersEstimated: number;
	/** Units a second that the others are expected to spend. */
	readonly othersRate: number;
	/** Time in milliseconds since that report. */
	readonly reportAgeMs: number;
};

/** State of the entry at the time of a claim. */
export type QuotaContext = {
	/** Monotonic time in milliseconds. */
	readonly now: number;
	/** Number of entries in the deployment. */
	readonly entryCount: number;
	/** Whether the other entries' spending is known from recent reports. */
	readonly isInTouch: boolean;
};

/** Time in milliseconds until the other entries' spending is reported. */
const reportDelayMs = 250;
/** Initial level of a bucket as a share of its capacity: when no entry is known to have spent, and when others may have. */
const unspentInitialShare = 0.7;
const initialShare = 0.55;
/** Spending beyond a quota before the entries receive reports of each other's spending, in seconds of the quota's rate. */
const unreportedSeconds = 1.2;
/** Share of the tolerance's units that is reserved for small requests, so that large ones don't starve them. */
const smallRequestReserve = 0.3;
/** Share of a full bucket that is reserved for urgent requests. */
const urgentRequestReserve = 0.35;
/** Maximum number of units of a small request. */
const maxSmallRequestUnits = 500;
/** Highest level for which a request must wait, as a share of a full bucket. */
const maxRequiredShare = 0.8;
/** Bounds of an entry's own rate while the others' spending is unknown, as multiples of an even share. */
const minEvenShares = 0.5;
const maxEvenShares = 3;
/** Time constants, in milliseconds, of the averages of the other entries' rate and of this entry's rate. */
const othersAverageMs = 400;
const ownAverageMs = 3000;
/** Minimum time in seconds after which a rejected request may be retried. */
const minWaitSeconds = 0.05;
/** Level, as a share of a full bucket, below which a bucket is tight. */
const tightShare = 0.75;
/** Smallest capacity of a bucket, as a share of the burst. */
const minCapacityShare = 0.5;

/** Token bucket of one workspace. A request for more units than the bucket holds is admitted when the bucket is nearly full. */
export class QuotaBucket {
	readonly #tolerance: QuotaTolerance;
	#level: number;
	#filledAt: number;
	/** Units that this entry may spend while the others' spending is unknown. */
	#share = 0;
	#spent = 0;
	/** The other entries' total at the last report; absent after a change of coordinator. */
	#othersSpent: number | undefined;
	#othersRate = 0;
	/** The other entries' estimated spending since the last report. */
	#estimatedOthersSpent = 0;
	#ownRate = 0;
	#reportedAt: number;
	#spentAtReport = 0;

	/** Creates a bucket that is never full, since entries that start together may all spend their first units at once. */
	constructor(workspace: Workspace, tolerance: QuotaTolerance, {now, isUnspent}: {readonly now: number; readonly isUnspent: boolean}) {
		this.#tolerance = tolerance;
		this.#level = (isUnspent ? unspentInitialShare : initialShare) * this.#getCapacity(workspace);
		this.#filledAt = now;
		this.#reportedAt = now;
	}

	/** Estimated number of units that all entries together may still spend. */
	get level(): number {
		return this.#level;
	}

	/** Units that this entry has spent since it started. */
	get spent(): number {
		return this.#spent;
	}

	/** Returns what the level rests on at a monotonic time in milliseconds. */
	getFacts(now: number): QuotaFacts {
		return {
			spent: Math.round(this.#spent),
			...(this.#othersSpent !== undefined && {othersReported: Math.round(this.#othersSpent)}),
			othersEstimated: Math.round(this.#estimatedOthersSpent),
			othersRate: Math.round(this.#othersRate),
			reportAgeMs: Math.round(now - this.#reportedAt),
		};
	}

	/** Reports whether much of the quota is used up. */
	isTight(workspace: Workspace, context: QuotaContext): boolean {
		this.#fill(workspace, context);
		return this.#level < tightShare * this.#getCapacity(workspace);
	}

	/** Takes units and returns zero. If too few are left, takes none and returns the seconds after which to retry. */
	take(workspace: Workspace, {units, isUrgent}: QuotaClaim, context: QuotaContext): number {
		this.#fill(workspace, context);
		const waitSeconds = context.isInTouch ? this.#getWait(workspace, {units, isUrgent}) : this.#getShareWait(workspace, units, context);
		if (waitSeconds > 0) {
			return Math.max(minWaitSeconds, waitSeconds);
		}

		this.#spend(units);
		return 0;
	}

	/** Returns units to the bucket that were taken for a request that did not run. */
	refund(units: number): void {
		this.#spend(-units);
	}

	/**
	Applies the other entries' total spending, as reported by one coordinator. The bucket is filled up to now before: what was assumed of the others counts
	only for the time since the report before, since this report replaces it.
	*/
	updateOthersSpent(workspace: Workspace, total: number, context: QuotaContext): void {
		const {now, entryCount} = context;
		this.#fill(workspace, context);
		const elapsedMs = Math.max(1, now - this.#reportedAt);
		const isComparable = this.#othersSpent !== undefined && total >= this.#othersSpent;
		// Totals of different coordinators can't be compared. The other entries are then assumed to have spent at their average rate.
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

	/** Forgets the reported total after a change of coordinator, since coordinators count from different starting points. */
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
		const required = this.#getRequiredLevel(workspace, claim);
		return (required - (this.#level - unreported)) / workspace.ratePerSecond;
	}

	/** Returns the level at which a request is admitted. Less urgent requests leave a reserve for urgent ones; small requests may overdraw. */
	#getRequiredLevel(workspace: Workspace, {units, isUrgent}: QuotaClaim): number {
		if (units <= maxSmallRequestUnits) {
			return -smallRequestReserve * this.#tolerance.units;
		}

		const capacity = this.#getCapacity(workspace);
		return Math.min(units + (isUrgent ? 0 : urgentRequestReserve * capacity), maxRequiredShare * capacity);
	}

	/** Returns the seconds until this entry's own share suffices. A request for more than a full share is admitted when the share is full. */
	#getShareWait(workspace: Workspace, units: number, context: QuotaContext): number {
		const required = Math.min(units, this.#getShareCapacity(workspace, context));
		return (required - this.#share) / this.#getShareRate(workspace, context);
	}

	#fill(workspace: Workspace, context: QuotaContext): void {
		const seconds = (context.now - this.#filledAt) / 1000;
		const assumed = this.#othersRate * seconds;
		this.#estimatedOthersSpent += assumed;
		this.#level = Math.min(this.#getCapacity(workspace), this.#level + (workspace.ratePerSecond * seconds) - assumed);
		this.#share = Math.min(this.#getShareCapacity(workspace, context), this.#share + (this.#getShareRate(workspace, context) * seconds));
		this.#filledAt = context.now;
	}

	/** Returns the burst plus the part of the tolerance that unreported spending doesn't use up. */
	#getCapacity({ratePerSecond, burst}: Workspace): number {
		const {part, units, windowMs} = this.#tolerance;
		const allowed = (part * ((ratePerSecond * windowMs / 1000) + burst)) + ((1 - smallRequestReserve) * units);
		return Math.max(minCapacityShare * burst, burst + allowed - (unreportedSeconds * ratePerSecond));
	}

	/**
	Returns the refill rate of this entry's own share in units per second: the entry's recent rate, which was within the quota,
	bounded by multiples of an even share.
	*/
	#getShareRate({ratePerSecond}: Workspace, {entryCount}: QuotaContext): number {
		const even = ratePerSecond / entryCount;
		return Math.min(maxEvenShares * even, Math.max(minEvenShares * even, this.#ownRate));
	}

	#getShareCapacity(workspace: Workspace, {entryCount}: QuotaContext): number {
		return this.#getCapacity(workspace) / entryCount;
	}
}

/** Returns the exponential moving average of a rate, in units per second, after a number of units was added in `elapsedMs`. */
function updateAverage(rate: number, added: number, elapsedMs: number, averageMs: number): number {
	const weight = 1 - Math.exp(-elapsedMs / averageMs);
	return rate + (weight * ((added * 1000 / elapsedMs) - rate));
}
