/** The entries that report to the coordinators: which accept callers, how loaded they are, and how much quota they use. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {hashText, rankNodes} from '@mulberrypitch/routing/rendezvous';
import type {BackendLoad, EntryStatus, LimitShare} from '@mulberrypitch/serving/view-messages';
import {allocateLimit, getNewestLimits} from './limit-allocation.js';
import type {EntryUsage} from './serving-state.js';
import {SpendingCounter} from './spending-count.js';

/** The last status of one incarnation of an entry. */
type Record = {
	status: EntryStatus;
	/** Monotonic time in milliseconds. */
	lastSeenAt: number;
	/** Whether the entry reported to this coordinator rather than to another one. */
	isLocal: boolean;
};

/** Time in milliseconds without a status after which an entry is no longer offered to callers. */
const entryTimeoutMs = 1500;
/** Time in milliseconds for which the usage of an entry still counts after its last status. */
const usageRetentionMs = 25_000;

/** Keeps the last status of each incarnation, that is, of each run of an entry's process. */
export class EntryDirectory {
	readonly #clock: Clock;
	readonly #records = new Map<string, Record>();
	readonly #spending = new SpendingCounter();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of entries that reported recently, to this coordinator or to another one. */
	get count(): number {
		return this.#getSeenWithin(entryTimeoutMs).length;
	}

	/** Stores a status that an entry sent to this coordinator. */
	update(status: EntryStatus): void {
		this.#set(status, true);
	}

	/** Stores a status that another coordinator received. */
	merge(status: EntryStatus): void {
		this.#set(status, false);
	}

	/** Returns the statuses that entries sent to this coordinator recently. */
	getLocalStatuses(): readonly EntryStatus[] {
		return this.#getSeenWithin(entryTimeoutMs).filter(({isLocal}) => isLocal).map(({status}) => status);
	}

	/** Returns up to `limit` addresses of ready entries, those in the caller's zone first. */
	getAddresses(zone: string, limit: number): readonly string[] {
		const ready = this.#getSeenWithin(entryTimeoutMs).filter(({status}) => status.isReady);
		const sameZone = ready.filter(({status}) => status.zone === zone);
		const otherZones = ready.filter(({status}) => status.zone !== zone);
		return [...sameZone, ...otherZones].slice(0, limit).map(({status}) => status.address);
	}

	/**
	Returns up to `limit` addresses of other ready entries that reach back ends. Each entry is told others, so that those that are cut off together
	don't all pass their requests on to the same ones. Called for each poll of an entry.
	*/
	getPeers(entry: string, limit: number): readonly string[] {
		const others = this.#getSeenWithin(entryTimeoutMs)
			.map(({status}) => status)
			.filter(({name, isReady, reachesBackends = true}) => name !== entry && isReady && reachesBackends);
		const start = hashText(entry) % Math.max(1, others.length);
		return [...others.slice(start), ...others.slice(0, start)].slice(0, limit).map(({address}) => address);
	}

	/** Returns the load of each back end, summed over all live entries except the named one. */
	getLoads(except?: string): Readonly<globalThis.Record<string, BackendLoad>> {
		const loads: globalThis.Record<string, BackendLoad> = {};
		for (const {status} of this.#getSeenWithin(entryTimeoutMs)) {
			if (status.name === except) {
				continue;
			}

			for (const [backend, {requests, pendingTokens}] of Object.entries(status.loads)) {
				const sum = loads[backend];
				loads[backend] = {requests: (sum?.requests ?? 0) + requests, pendingTokens: (sum?.pendingTokens ?? 0) + pendingTokens};
			}
		}

		return loads;
	}

	/** Returns the limits that back ends stated to any entry, and the named entry's part of each. Entries that are stopping have none. */
	getLimitShares(entry: string): readonly LimitShare[] {
		const now = this.#clock.now();
		const live = this.#getSeenWithin(entryTimeoutMs);
		const limits = live.flatMap(({status, lastSeenAt}) => (status.limits ?? []).map(limit => ({...limit, ageMs: now - lastSeenAt + limit.ageMs})));
		const ready = live.filter(({status}) => status.isReady).map(({status}) => status.name);
		return getNewestLimits(limits).map(limit => allocateLimit(limit, entry, ready));
	}

	/** Returns the name of the entry that runs restricted requests. All coordinators that know the same ready entries name the same one. */
	getRestrictedRunner(): string | undefined {
		const ready = this.#getSeenWithin(entryTimeoutMs).filter(({status}) => status.isReady).map(({status}) => status.name);
		return rankNodes(hashText('restricted requests'), ready, name => name)[0];
	}

	/** Returns the quota units by workspace that all entries but the named one have spent, as far as this coordinator knows. */
	getOthersSpent(except: string): Readonly<globalThis.Record<string, number>> {
		return this.#spending.getOthers(except);
	}

	/** Returns the usage in one window by incarnation of an entry, then by workspace, including incarnations that have ended. */
	getUsage(window: number): EntryUsage {
		const usage: globalThis.Record<string, Readonly<globalThis.Record<string, number>>> = {};
		for (const [key, {status}] of this.#records) {
			const counts = status.usage.find(known => known.window === window)?.counts;
			if (counts !== undefined) {
				usage[key] = counts;
			}
		}

		return usage;
	}

	/** Returns the statuses of all entries that reported recently. */
	getLiveStatuses(): readonly EntryStatus[] {
		return this.#getSeenWithin(entryTimeoutMs).map(({status}) => status);
	}

	/** Removes incarnations without a status for so long that their usage no longer counts. */
	expire(): void {
		const before = this.#clock.now() - usageRetentionMs;
		for (const [key, {lastSeenAt}] of this.#records) {
			if (lastSeenAt < before) {
				this.#records.delete(key);
				this.#spending.forget(key);
			}
		}
	}

	#set(status: EntryStatus, isLocal: boolean): void {
		const key = `${status.name} ${status.incarnation}`;
		this.#spending.update(status);
		this.#records.set(key, {status, lastSeenAt: this.#clock.now(), isLocal});
	}

	/** Returns the latest incarnation of each entry that reported within the last `ms` milliseconds. */
	#getSeenWithin(ms: number): readonly Record[] {
		const since = this.#clock.now() - ms;
		const latest = new Map<string, Record>();
		for (const record of this.#records.values()) {
			const known = latest.get(record.status.name);
			if (record.lastSeenAt >= since && (known === undefined || record.lastSeenAt > known.lastSeenAt)) {
				latest.set(record.status.name, record);
			}
		}

		return [...latest.values()];
	}
}
