/** The entries that report to the coordinators: which accept callers, how loaded they are, and how much quota they use. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {hashText, rankNodes} from '@mulberrypitch/routing/rendezvous';
import type {BackendLoad, EntryStatus, LimitShare} from '@mulberrypitch/serving/view-messages';
import {allocateLimit, getNewestLimits} from './limit-allocation.js';
import {LiveEntries} from './live-entries.js';
import {RolloutEvidenceStore} from './rollout-evidence.js';
import type {EntryUsage} from './serving-state.js';
import {SpendingCounter} from './spending-count.js';

/** The last status of one incarnation of an entry. */
type IncarnationRecord = {
	readonly status: EntryStatus;
	/** Monotonic time in milliseconds. */
	readonly lastSeenAt: number;
};

/** Time in milliseconds for which the usage of an entry still counts after its last status. */
const usageRetentionMs = 25_000;

/** Keeps the last status of each incarnation, that is, of each run of an entry's process. */
export class EntryDirectory {
	/** What all incarnations observed of the running roll-outs. */
	readonly rolloutEvidence = new RolloutEvidenceStore();
	readonly #clock: Clock;
	readonly #incarnations = new Map<string, IncarnationRecord>();
	readonly #live: LiveEntries;
	readonly #spending = new SpendingCounter();

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#live = new LiveEntries(clock);
	}

	/** Number of entries that reported recently, to this coordinator or to another one. */
	get count(): number {
		return this.#live.count;
	}

	/** Stores a status that an entry sent to this coordinator. */
	update(status: EntryStatus): void {
		this.#set(status, true);
	}

	/** Stores a status that another coordinator received. */
	merge(status: EntryStatus): void {
		this.#set(status, false);
	}

	/** Returns the last statuses of the entries that report to this coordinator, of which the last came at or after a monotonic time in milliseconds. */
	getLocalStatuses(since = Number.NEGATIVE_INFINITY): readonly EntryStatus[] {
		return this.#live.list().filter(({isLocal, lastSeenAt}) => isLocal && lastSeenAt >= since).map(({status}) => status);
	}

	/** Returns up to `limit` addresses of ready entries, those in the caller's zone first. */
	getAddresses(zone: string, limit: number): readonly string[] {
		const ready = this.#live.getReady();
		const sameZone = ready.filter(entry => entry.zone === zone);
		const otherZones = ready.filter(entry => entry.zone !== zone);
		return [...sameZone, ...otherZones].slice(0, limit).map(({address}) => address);
	}

	/**
	Returns up to `limit` addresses of other ready entries that reach back ends. Each entry is told others, so that those that are cut off together
	don't all pass their requests on to the same ones. Called for each poll of an entry.
	*/
	getPeers(entry: string, limit: number): readonly string[] {
		const ready = this.#live.getReady();
		const start = hashText(entry) % Math.max(1, ready.length);
		const peers: string[] = [];
		for (let step = 0; step < ready.length && peers.length < limit; step += 1) {
			const {name, address, reachesBackends} = ready[(start + step) % ready.length]!;
			if (name !== entry && reachesBackends) {
				peers.push(address);
			}
		}

		return peers;
	}

	/** Returns the load of each back end, summed over all live entries except the named one. */
	getLoads(except?: string): Readonly<Record<string, BackendLoad>> {
		return this.#live.getLoads(except);
	}

	/** Returns the limits that back ends stated to any entry, and the named entry's part of each. Entries that are stopping have none. */
	getLimitShares(entry: string): readonly LimitShare[] {
		if (!this.#live.hasLimits) {
			return [];
		}

		const now = this.#clock.now();
		const limits = this.#live.list().flatMap(({status, lastSeenAt}) => (status.limits ?? []).map(limit => ({...limit, ageMs: now - lastSeenAt + limit.ageMs})));
		const ready = this.#live.getReady().map(({name}) => name);
		return getNewestLimits(limits).map(limit => allocateLimit(limit, entry, ready));
	}

	/** Returns the name of the entry that runs restricted requests. All coordinators that know the same ready entries name the same one. */
	getRestrictedRunner(): string | undefined {
		return rankNodes(hashText('restricted requests'), this.#live.getReady(), ({name}) => name)[0]?.name;
	}

	/** Returns the quota units by workspace that all entries but the named one have spent, as far as this coordinator knows. */
	getOthersSpent(except: string): Readonly<Record<string, number>> {
		return this.#spending.getOthers(except);
	}

	/** Returns the usage in one window by incarnation of an entry, then by workspace, including incarnations that have ended. */
	getUsage(window: number): EntryUsage {
		const usage: Record<string, Readonly<Record<string, number>>> = {};
		for (const [key, {status}] of this.#incarnations) {
			const counts = status.usage.find(known => known.window === window)?.counts;
			if (counts !== undefined) {
				usage[key] = counts;
			}
		}

		return usage;
	}

	/** Returns the statuses of all entries that reported recently. */
	getLiveStatuses(): readonly EntryStatus[] {
		return this.#live.list().map(({status}) => status);
	}

	/** Returns the last status of each entry that reported within a time in milliseconds, which is at most 25 s. */
	getLastStatuses(maxAgeMs: number): readonly EntryStatus[] {
		const since = this.#clock.now() - maxAgeMs;
		const last = new Map<string, IncarnationRecord>();
		for (const record of this.#incarnations.values()) {
			const {name} = record.status;
			if (record.lastSeenAt >= since && record.lastSeenAt >= (last.get(name)?.lastSeenAt ?? since)) {
				last.set(name, record);
			}
		}

		return [...last.values()].map(({status}) => status);
	}

	/** Removes incarnations without a status for so long that their usage no longer counts. */
	expire(): void {
		const before = this.#clock.now() - usageRetentionMs;
		for (const [key, {lastSeenAt}] of this.#incarnations) {
			if (lastSeenAt < before) {
				this.#incarnations.delete(key);
				this.#spending.forget(key);
			}
		}
	}

	#set(status: EntryStatus, isLocal: boolean): void {
		const key = `${status.name} ${status.incarnation}`;
		this.#spending.update(status);
		this.rolloutEvidence.merge(status);
		this.#incarnations.set(key, {status, lastSeenAt: this.#clock.now()});
		this.#live.set(status, isLocal);
	}
}
