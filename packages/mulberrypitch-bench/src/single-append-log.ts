/** A log store without group commit, as the baseline for measurements of group commit. */
import type {
	HardState, LogEntry, LogStore, Snapshot, StoredLog,
} from '@mulberrypitch/storage/types';

/** Writes and syncs each entry separately. */
export class SingleAppendLog implements LogStore {
	readonly #store: LogStore;

	constructor(store: LogStore) {
		this.#store = store;
	}

	async load(): Promise<StoredLog> {
		return this.#store.load();
	}

	async saveHardState(state: HardState): Promise<void> {
		await this.#store.saveHardState(state);
	}

	async append(entries: readonly LogEntry[]): Promise<void> {
		for (const entry of entries) {
			await this.#store.append([entry]);
		}
	}

	async truncate(fromIndex: number): Promise<void> {
		await this.#store.truncate(fromIndex);
	}

	async saveSnapshot(snapshot: Snapshot): Promise<void> {
		await this.#store.saveSnapshot(snapshot);
	}

	async dispose(): Promise<void> {
		await this.#store.dispose();
	}
}
