/** The log of one replica: a copy of its store in memory, and the voters according to it. */
import {randomUUID} from 'node:crypto';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {assertInvariant, StorageError} from '@mulberrypitch/errors/catalogue';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {
	HardState, LogEntry, LogStore, Members, Snapshot,
} from '@mulberrypitch/storage/types';

const maxEntriesPerCall = 512;
const maxCharactersPerCall = 2 * 1024 * 1024;
/** Number of entries up to the index of a snapshot that stay in memory, for followers that lag only a little. */
const retainedEntries = 1024;

/** The command that changes the voters. Only a leader appends it, and it is not passed to the state machine. */
export type MemberChange = {
	readonly kind: 'changeMembers';
	readonly members: Members;
};

type Membership = {
	readonly index: number;
	readonly members: Members;
};

/** Stores entries, hard state and snapshot. After a failed write it rejects all further changes. */
export class ReplicaLog {
	readonly #store: LogStore;
	readonly #clock: Clock;
	readonly #onFailure: (error: unknown) => void;
	readonly #serializedLengths = new WeakMap<LogEntry, number>();
	#hardState: HardState = {replicaId: '', term: 0};
	#snapshot: Snapshot | undefined;
	#entries: LogEntry[] = [];
	#baseIndex = 0;
	#baseTerm = 0;
	#durableIndex = 0;
	#memberships: Membership[] = [];
	#writingSince: number | undefined;
	#failure: StorageError | undefined;

	constructor(store: LogStore, clock: Clock, onFailure: (error: unknown) => void) {
		this.#store = store;
		this.#clock = clock;
		this.#onFailure = onFailure;
	}

	get hardState(): HardState {
		return this.#hardState;
	}

	get snapshot(): Snapshot | undefined {
		return this.#snapshot;
	}

	/** Index of the entry before the first one in memory. */
	get baseIndex(): number {
		return this.#baseIndex;
	}

	get lastIndex(): number {
		return this.#entries.at(-1)?.index ?? this.#baseIndex;
	}

	get lastTerm(): number {
		return this.getTermAt(this.lastIndex)!;
	}

	/** Time of the last entry, or of the snapshot when no entry follows it. */
	get lastTime(): number {
		return this.#entries.at(-1)?.time ?? this.#snapshot?.time ?? 0;
	}

	/** Index of the last synced entry. */
	get durableIndex(): number {
		return this.#durableIndex;
	}

	/** Voters after the last membership change in the log, whether it is committed or not. */
	get members(): Members {
		return this.#memberships.at(-1)?.members ?? this.#hardState.founders ?? {};
	}

	/** Index of the last membership change, or zero if there was none. */
	get membersIndex(): number {
		return this.#memberships.at(-1)?.index ?? 0;
	}

	/** Whether a write has failed. */
	get hasFailed(): boolean {
		return this.#failure !== undefined;
	}

	/** Duration of the write in progress in milliseconds, or zero if there is none. */
	get writingMs(): number {
		return this.#writingSince === undefined ? 0 : this.#clock.now() - this.#writingSince;
	}

	/** Loads the store. If it is empty, generates a replica id and stores it before anything else. */
	async load(): Promise<void> {
		const stored = await this.#store.load();
		this.#snapshot = stored.snapshot;
		this.#baseIndex = stored.snapshot?.index ?? 0;
		this.#baseTerm = stored.snapshot?.term ?? 0;
		this.#entries = [...stored.entries];
		this.#durableIndex = this.lastIndex;
		this.#memberships = stored.snapshot === undefined ? [] : [{index: stored.snapshot.index, members: stored.snapshot.members}];
		this.#addMemberships(this.#entries);
		if (stored.hardState !== undefined) {
			this.#hardState = stored.hardState;
			return;
		}

		assertInvariant(this.lastIndex === 0, 'A log without its hard state can not be used.');
		await this.saveHardState({replicaId: randomUUID(), term: 0});
	}

	/** Stores the hard state. Throws `InvariantError` if its term is lower than the stored one. */
	async saveHardState(state: HardState): Promise<void> {
		assertInvariant(state.term >= this.#hardState.term, 'A term must not decrease.');
		await this.#write(async () => this.#store.saveHardState(state));
		this.#hardState = state;
	}

	/** Stores a new term, in which this replica has not voted yet. */
	async saveTerm(term: number): Promise<void> {
		const {votedFor, ...state} = this.#hardState;
		await this.saveHardState({...state, term});
	}

	/** Appends entries in memory at once and resolves when they are synced. */
	async append(entries: readonly LogEntry[]): Promise<void> {
		this.#entries.push(...entries);
		this.#addMemberships(entries);
		await this.#write(async () => this.#store.append(entries));
		this.#durableIndex = entries.at(-1)?.index ?? this.#durableIndex;
	}

	/** Removes all entries from an index on. */
	async truncate(fromIndex: number): Promise<void> {
		await this.#write(async () => this.#store.truncate(fromIndex));
		this.#entries.length = fromIndex - this.#baseIndex - 1;
		this.#durableIndex = Math.min(this.#durableIndex, this.lastIndex);
		this.#memberships = this.#memberships.filter(({index}) => index < fromIndex);
	}

	/** Stores a snapshot of the state machine of this replica and drops old entries from memory. */
	async compact(snapshot: Snapshot): Promise<void> {
		await this.#write(async () => this.#store.saveSnapshot(snapshot));
		this.#snapshot = snapshot;
		this.#dropThrough(snapshot.index - retainedEntries);
	}

	/** Replaces the log with a snapshot from the leader. Keeps all entries if the log has the last entry of the snapshot. */
	async install(snapshot: Snapshot): Promise<void> {
		const isSameHistory = this.getTermAt(snapshot.index) === snapshot.term;
		if (!isSameHistory && this.lastIndex > snapshot.index) {
			await this.truncate(snapshot.index + 1);
		}

		await this.#write(async () => this.#store.saveSnapshot(snapshot));
		this.#snapshot = snapshot;
		if (isSameHistory) {
			return;
		}

		this.#entries = [];
		this.#baseIndex = snapshot.index;
		this.#baseTerm = snapshot.term;
		this.#durableIndex = snapshot.index;
		this.#memberships = [{index: snapshot.index, members: snapshot.members}];
	}

	/** Throws the error of an earlier failed write, if there was one. */
	throwIfFailed(): void {
		if (this.#failure !== undefined) {
			throw this.#failure;
		}
	}

	/** Returns the term of an entry, also of the one at `baseIndex`, or undefined if it is not in memory. */
	getTermAt(index: number): number | undefined {
		return index === this.#baseIndex ? this.#baseTerm : this.getEntry(index)?.term;
	}

	/** Returns an entry, or undefined if it is not in memory. */
	getEntry(index: number): LogEntry | undefined {
		return this.#entries[index - this.#baseIndex - 1];
	}

	/** Returns the voters as of an index. */
	getMembersAt(index: number): Members {
		return this.#memberships.findLast(membership => membership.index <= index)?.members ?? this.#hardState.founders ?? {};
	}

	/** Returns as many entries from an index on as fit into one call, but at least one if there is one. */
	getBatch(fromIndex: number): readonly LogEntry[] {
		const batch: LogEntry[] = [];
		let characters = 0;
		for (let index = fromIndex; index <= this.lastIndex && batch.length < maxEntriesPerCall; index += 1) {
			const entry = this.getEntry(index)!;
			characters += this.#getSerializedLength(entry);
			if (batch.length > 0 && characters > maxCharactersPerCall) {
				break;
			}

			batch.push(entry);
		}

		return batch;
	}

	/** Returns the index, before all entries of the given index's term, at which the leader looks for a matching entry next. */
	getIndexBeforeTerm(index: number): number {
		const term = this.getTermAt(index);
		if (term === undefined) {
			return Math.min(index, this.lastIndex);
		}

		let before = index - 1;
		while (before > this.#baseIndex && this.getTermAt(before) === term) {
			before -= 1;
		}

		return before;
	}

	async dispose(): Promise<void> {
		await this.#store.dispose();
	}

	#addMemberships(entries: readonly LogEntry[]): void {
		for (const {index, command} of entries) {
			if (isMemberChange(command)) {
				this.#memberships.push({index, members: command.members});
			}
		}
	}

	#dropThrough(index: number): void {
		if (index <= this.#baseIndex) {
			return;
		}

		const {term} = this.getEntry(index)!;
		const members = this.getMembersAt(index);
		this.#entries.splice(0, index - this.#baseIndex);
		this.#memberships = [{index, members}, ...this.#memberships.filter(membership => membership.index > index)];
		this.#baseIndex = index;
		this.#baseTerm = term;
	}

	#getSerializedLength(entry: LogEntry): number {
		const known = this.#serializedLengths.get(entry);
		if (known !== undefined) {
			return known;
		}

		const {length} = JSON.stringify(entry);
		this.#serializedLengths.set(entry, length);
		return length;
	}

	async #write(change: () => Promise<void>): Promise<void> {
		this.throwIfFailed();
		this.#writingSince = this.#clock.now();
		try {
			await change();
		} catch (error) {
			this.#failure = error instanceof StorageError ? error : new StorageError('The log can not be written.', {cause: error});
			this.#onFailure(error);
			throw this.#failure;
		} finally {
			this.#writingSince = undefined;
		}
	}
}

/**
Reports whether a command is a membership change.

@example
```
if (isMemberChange(entry.command)) { return entry.command.members; }
```
*/
export function isMemberChange(command: unknown): command is MemberChange {
	return assumeType<{readonly kind?: unknown} | undefined>(command)?.kind === 'changeMembers';
}
