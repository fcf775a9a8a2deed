/** Counts the quota units that entries have spent since this coordinator first received their status. */
import type {EntryStatus} from '@mulberrypitch/serving/view-messages';

/** Quota units by workspace. */
type UnitsByWorkspace = Record<string, number>;

/** Uptime in milliseconds up to which an entry counts as new, so that all of its spending counts. */
const newEntryMs = 3000;

/**
Counts spending by entry. Entries report totals since they started; units that an older entry had spent before its first
status arrived here are left out, because they were spent long ago.
*/
export class SpendingCounter {
	/** Total last reported by each incarnation of an entry. */
	readonly #lastReported = new Map<string, UnitsByWorkspace>();
	/** Units counted for each entry, over all of its incarnations. */
	readonly #byEntry = new Map<string, UnitsByWorkspace>();
	readonly #total: UnitsByWorkspace = {};

	/** Adds the units that an entry has spent since its previous status. */
	update({name, incarnation, spent, upMs}: EntryStatus): void {
		const incarnationKey = `${name} ${incarnation}`;
		const lastReported = this.#lastReported.get(incarnationKey) ?? (upMs < newEntryMs ? {} : {...spent});
		const own = this.#byEntry.get(name) ?? {};
		for (const [workspace, units] of Object.entries(spent)) {
			// An older status may arrive after a newer one.
			const added = Math.max(0, units - (lastReported[workspace] ?? 0));
			lastReported[workspace] = (lastReported[workspace] ?? 0) + added;
			own[workspace] = (own[workspace] ?? 0) + added;
			this.#total[workspace] = (this.#total[workspace] ?? 0) + added;
		}

		this.#lastReported.set(incarnationKey, lastReported);
		this.#byEntry.set(name, own);
	}

	/** Returns the units that all entries but the named one have spent, by workspace. */
	getOthers(except: string): Readonly<UnitsByWorkspace> {
		const own = this.#byEntry.get(except) ?? {};
		return Object.fromEntries(Object.entries(this.#total).map(([workspace, units]) => [workspace, units - (own[workspace] ?? 0)]));
	}

	/** Discards the reported total of an incarnation that ended; its units stay counted. */
	forget(incarnationKey: string): void {
		this.#lastReported.delete(incarnationKey);
	}
}
