/** The quotas of all workspaces across all entries: each entry accounts for what the others report to have spent. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Workspace} from '@mulberrypitch/serving/types';
import {
	QuotaBucket, type QuotaClaim, type QuotaContext, type QuotaFacts, type QuotaTolerance,
} from './quota-bucket.js';

/** Dependencies and settings of the quotas. */
export type WorkspaceQuotasOptions = {
	readonly clock: Clock;
	/** Returns the number of entries. */
	readonly getEntryCount: () => number;
	/** Reports whether the other entries' spending is known. */
	readonly isInTouch: () => boolean;
	/** How far a quota may be exceeded, across all entries. */
	readonly tolerance: QuotaTolerance;
};

/** A bucket and the workspace as it was last configured. */
type BucketOfWorkspace = {
	readonly bucket: QuotaBucket;
	readonly workspace: Workspace;
};

/** Holds one bucket per workspace. */
export class WorkspaceQuotas {
	readonly #options: WorkspaceQuotasOptions;
	readonly #buckets = new Map<string, BucketOfWorkspace>();
	#othersSpent: Readonly<Record<string, number>> = {};

	constructor(options: WorkspaceQuotasOptions) {
		this.#options = options;
	}

	/** Whether any workspace has used up much of its quota, so that it matters what the other entries spend. */
	get isAnyTight(): boolean {
		const context = this.#getContext();
		return [...this.#buckets.values()].some(({bucket, workspace}) => workspace.ratePerSecond > 0 && bucket.isTight(workspace, context));
	}

	/** Creates missing buckets, so that spending is tracked before a workspace's first request to this entry. */
	createBuckets(workspaces: readonly Workspace[]): void {
		for (const workspace of workspaces) {
			this.#getBucket(workspace);
		}
	}

	/** Takes units from a workspace's quota and returns zero. If too few are left, takes none and returns the seconds after which to retry. */
	take(workspace: Workspace, claim: QuotaClaim): number {
		const bucket = this.#getBucket(workspace);
		return workspace.ratePerSecond === 0 ? 0 : bucket.take(workspace, claim, this.#getContext());
	}

	/** Returns units to the quota that were taken for a request that did not run. */
	refund({name, ratePerSecond}: Workspace, units: number): void {
		if (ratePerSecond > 0) {
			this.#buckets.get(name)?.bucket.refund(units);
		}
	}

	/** Returns the estimated number of units that all entries together may still spend. */
	getLevel({name}: Workspace): number {
		return Math.round(this.#buckets.get(name)?.bucket.level ?? 0);
	}

	/** Returns what the estimate rests on, for the log. */
	getFacts({name}: Workspace): Partial<QuotaFacts> {
		return this.#buckets.get(name)?.bucket.getFacts(this.#options.clock.now()) ?? {};
	}

	/** Returns the units that this entry has spent of each quota since it started, by workspace. */
	getSpent(): Readonly<Record<string, number>> {
		return Object.fromEntries([...this.#buckets].map(([name, {bucket}]) => [name, Math.round(bucket.spent)]));
	}

	/** Applies the other entries' spending, as reported by one coordinator. */
	updateOthersSpent(spent: Readonly<Record<string, number>>): void {
		this.#othersSpent = spent;
		const context = this.#getContext();
		for (const [name, {bucket, workspace}] of this.#buckets) {
			bucket.updateOthersSpent(workspace, spent[name] ?? 0, context);
		}
	}

	/** Forgets the reported totals after a change of coordinator, since coordinators count from different starting points. */
	resetOthersSpent(): void {
		for (const {bucket} of this.#buckets.values()) {
			bucket.resetOthersSpent();
		}
	}

	#getBucket(workspace: Workspace): QuotaBucket {
		const {clock, isInTouch, tolerance} = this.#options;
		const known = this.#buckets.get(workspace.name);
		const isUnspent = isInTouch() && (this.#othersSpent[workspace.name] ?? 0) === 0;
		const bucket = known?.bucket ?? new QuotaBucket(workspace, tolerance, {now: clock.now(), isUnspent});
		if (known?.workspace !== workspace) {
			this.#buckets.set(workspace.name, {bucket, workspace});
		}

		return bucket;
	}

	#getContext(): QuotaContext {
		const {clock, getEntryCount, isInTouch} = this.#options;
		return {now: clock.now(), entryCount: getEntryCount(), isInTouch: isInTouch()};
	}
}
