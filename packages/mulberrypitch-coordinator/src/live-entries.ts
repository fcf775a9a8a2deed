/**
 * The entries that reported recently. Sums and lists over them are kept while statuses come and go, so that a poll costs the same however many
 * entries there are.
 */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {BackendLoad, EntryStatus} from '@mulberrypitch/serving/view-messages';
import {LoadSums} from './load-sums.js';

/** The last status of an entry. */
export type LiveEntry = {
	readonly status: EntryStatus;
	/** Monotonic time in milliseconds. */
	readonly lastSeenAt: number;
	/** Whether the entry reported to this coordinator rather than to another one. */
	readonly isLocal: boolean;
};

/** An entry that accepts callers. */
export type ReadyEntry = {
	readonly name: string;
	readonly address: string;
	readonly zone: string;
	readonly reachesBackends: boolean;
};

/** Time in milliseconds without a status after which an entry is no longer offered to callers. */
const entryTimeoutMs = 1500;

/** Holds the last status of each entry, for as long as it is recent. */
export class LiveEntries {
	readonly #clock: Clock;
	/** By name, the one that was heard of least recently first. */
	readonly #entries = new Map<string, LiveEntry>();
	readonly #loads = new LoadSums();
	/** Number of entries to which back ends stated limits. */
	#limitedCount = 0;
	/** Absent after a change of what it is made from. */
	#ready: readonly ReadyEntry[] | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of entries that reported recently, to this coordinator or to another one. */
	get count(): number {
		this.#expire();
		return this.#entries.size;
	}

	/** Whether a back end has stated a limit to any of them. */
	get hasLimits(): boolean {
		this.#expire();
		return this.#limitedCount > 0;
	}

	/** Stores a status as the last one of its entry. */
	set(status: EntryStatus, isLocal: boolean): void {
		const known = this.#entries.get(status.name);
		this.#remove(known);
		this.#entries.set(status.name, {status, lastSeenAt: this.#clock.now(), isLocal});
		this.#loads.add(status.loads);
		this.#limitedCount += hasLimits(status) ? 1 : 0;
		if (known === undefined || !isSameForCallers(known.status, status)) {
			this.#ready = undefined;
		}
	}

	/** Returns all of them. */
	list(): readonly LiveEntry[] {
		this.#expire();
		return [...this.#entries.values()];
	}

	/** Returns those that accept callers. */
	getReady(): readonly ReadyEntry[] {
		this.#expire();
		this.#ready ??= [...this.#entries.values()].filter(({status}) => status.isReady).map(({status}) => ({
			name: status.name, address: status.address, zone: status.zone, reachesBackends: status.reachesBackends ?? true,
		}));
		return this.#ready;
	}

	/** Returns the load of each back end, summed over all entries except the named one. */
	getLoads(except?: string): Readonly<Record<string, BackendLoad>> {
		this.#expire();
		return this.#loads.getWithout(except === undefined ? {} : this.#entries.get(except)?.status.loads ?? {});
	}

	/** Forgets entries without a recent status. */
	#expire(): void {
		const since = this.#clock.now() - entryTimeoutMs;
		for (const entry of this.#entries.values()) {
			if (entry.lastSeenAt >= since) {
				return;
			}

			this.#remove(entry);
			this.#ready = undefined;
		}
	}

	#remove(entry: LiveEntry | undefined): void {
		if (entry !== undefined) {
			this.#entries.delete(entry.status.name);
			this.#loads.subtract(entry.status.loads);
			this.#limitedCount -= hasLimits(entry.status) ? 1 : 0;
		}
	}
}

function hasLimits({limits = []}: EntryStatus): boolean {
	return limits.length > 0;
}

function isSameForCallers(left: EntryStatus, right: EntryStatus): boolean {
	return left.isReady === right.isReady
		&& left.address === right.address
		&& left.zone === right.zone
		&& left.reachesBackends === right.reachesBackends;
}
