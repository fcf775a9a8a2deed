/** Log in memory, for tests and the demo. Its content survives a restart of the replica, but not of the process. */
import type {
	HardState, LogEntry, LogStore, Snapshot, StoredLog,
} from './types.js';

/** Stores one log in memory. */
export class MemoryLog implements LogStore {
	#hardState: HardState | undefined;
	#snapshot: Snapshot | undefined;
	#entries: LogEntry[] = [];

	async load(): Promise<StoredLog> {
		return {
			...(this.#hardState !== undefined && {hardState: this.#hardState}),
			...(this.#snapshot !== undefined && {snapshot: this.#snapshot}),
			entries: [...this.#entries],
		};
	}

	async saveHardState(state: HardState): Promise<void> {
		this.#hardState = state;
	}

	async append(entries: readonly LogEntry[]): Promise<void> {
		this.#entries.push(...entries);
	}

	async truncate(fromIndex: number): Promise<void> {
		this.#entries = this.#entries.filter(entry => entry.index < fromIndex);
	}

	async saveSnapshot(snapshot: Snapshot): Promise<void> {
		this.#snapshot = snapshot;
		this.#entries = this.#entries.filter(entry => entry.index > snapshot.index);
	}

	async dispose(): Promise<void> {
		// There is nothing to release.
	}
}
