/** The quotas of all workspaces, held over all entries: each entry follows what the others spend. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Workspace} from '@mulberrypitch/serving/types';
import {
	QuotaBucket, type QuotaClaim, type QuotaContext, type QuotaTolerance,
} from './quota-bucket.js';

export type WorkspaceQuotasOptions = {
	readonly clock: Clock;
	/** Gives the number of entries. */
	readonly getEntryCount: () => number;
	/** Tells whether the others' spending is known. */
	readonly isInTouch: () => boolean;
	/** What may pass beyond a quota, over all entries. */
	readonly tolerance: QuotaTolerance;
};

/** Keeps one bucket for each workspace. */
export class WorkspaceQuotas {
	readonly #options: WorkspaceQuotasOptions;
	readonly #buckets = new Map<string, QuotaBucket>();
	#othersSpent: Readonly<Record<string, number>> = {};

	constructor(options: WorkspaceQuotasOptions) {
		this.#options = options;
	}

	/** Begins to follow what is spent by workspaces before they ask here. */
	createBuckets(workspaces: readonly Workspace[]): void {
		for (const workspace of workspaces) {
			this.#getBucket(workspace);
		}
	}

	/** Takes units; gives zero, or the seconds after which to come back when none are left. */
	take(workspace: Workspace, claim: QuotaClaim): number {
		const bucket = this.#getBucket(workspace);
		return workspace.ratePerSecond === 0 ? 0 : bucket.take(workspace, claim, this.#getContext());
	}

	/** Gives units back that were taken for a request that did not run. */
	refund({name, ratePerSecond}: Workspace, units: number): void {
		if (ratePerSecond > 0) {
			this.#buckets.get(name)?.refund(units);
		}
	}

	/** Gives the units that all entries together may still spend, as far as this entry knows. */
	getLevel({name}: Workspace): number {
		return Math.round(this.#buckets.get(name)?.level ?? 0);
	}

	/** Gives what this entry has spent of each quota since it started. */
	getSpent(): Readonly<Record<string, number>> {
		return Object.fromEntries([...this.#buckets].map(([name, {spent}]) => [name, Math.round(spent)]));
	}

	/** Takes what the other entries have spent, as one coordinator counts it. */
	updateOthersSpent(spent: Readonly<Record<string, number>>): void {
		this.#othersSpent = spent;
		const context = this.#getContext();
		for (const [name, bucket] of this.#buckets) {
			bucket.updateOthersSpent(spent[name] ?? 0, context);
		}
	}

	/** Begins to count anew what the others spend, for another coordinator counts differently. */
	resetOthersSpent(): void {
		for (const bucket of this.#buckets.values()) {
			bucket.resetOthersSpent();
		}
	}

	#getBucket(workspace: Workspace): QuotaBucket {
		const {clock, isInTouch, tolerance} = this.#options;
		let bucket = this.#buckets.get(workspace.name);
		if (bucket === undefined) {
			const isUnspent = isInTouch() && (this.#othersSpent[workspace.name] ?? 0) === 0;
			bucket = new QuotaBucket(workspace, tolerance, {now: clock.now(), isUnspent});
			this.#buckets.set(workspace.name, bucket);
		}

		return bucket;
	}

	#getContext(): QuotaContext {
		const {clock, getEntryCount, isInTouch} = this.#options;
		return {now: clock.now(), entryCount: getEntryCount(), isInTouch: isInTouch()};
	}
}
