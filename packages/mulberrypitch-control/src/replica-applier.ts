/** Applies committed entries to the state machine in log order. */
import {assertInvariant} from '@mulberrypitch/errors/catalogue';
import {Notification} from '@mulberrypitch/lifecycle/background';
import type {LogEntry} from '@mulberrypitch/storage/types';
import {isMemberChange, type ReplicaLog} from './replica-log.js';
import type {RecordStore} from './replica-snapshot.js';
import type {CommandResult, StateMachine} from './types.js';

/** Dependencies of an applier. */
export type ApplierOptions = {
	readonly log: ReplicaLog;
	readonly machine: StateMachine;
	/** Receives the audit records of each applied entry, in log order. */
	readonly account: RecordStore;
	/** Called after each applied entry, with its result. */
	readonly onApplied: (entry: LogEntry, result: CommandResult) => void;
};

/** Applies entries up to the commit index, and tracks the commit index and the index of the last applied entry. */
export class Applier {
	readonly #options: ApplierOptions;
	readonly #committed = new Notification();
	#commitIndex = 0;
	#appliedIndex = 0;

	constructor(options: ApplierOptions) {
		this.#options = options;
	}

	get commitIndex(): number {
		return this.#commitIndex;
	}

	get appliedIndex(): number {
		return this.#appliedIndex;
	}

	/** Raises the commit index. A lower index than the current one is ignored. */
	commit(index: number): void {
		if (index > this.#commitIndex) {
			this.#commitIndex = index;
			this.#committed.notify();
		}
	}

	/** Sets both indexes to that of a restored snapshot. */
	startAfter(index: number): void {
		this.#commitIndex = index;
		this.#appliedIndex = index;
	}

	/** Applies entries as they are committed, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.applyCommitted();
			await this.#committed.wait(signal);
		}
	}

	/** Applies all entries that are committed but not yet applied. */
	applyCommitted(): void {
		while (this.#appliedIndex < this.#commitIndex) {
			this.#applyNext();
		}
	}

	#applyNext(): void {
		const {log, onApplied} = this.#options;
		const entry = log.getEntry(this.#appliedIndex + 1);
		assertInvariant(entry?.index === this.#appliedIndex + 1, 'Entries must be applied in order.');
		const result = this.#apply(entry);
		this.#appliedIndex = entry.index;
		onApplied(entry, result);
	}

	#apply(entry: LogEntry): CommandResult {
		if (isMemberChange(entry.command)) {
			return {};
		}

		const {machine, account} = this.#options;
		const {result, records} = machine.apply(entry);
		if (records.length > 0) {
			account.append(records);
		}

		return result;
	}
}
