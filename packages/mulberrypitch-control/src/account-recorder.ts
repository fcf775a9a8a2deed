/** Chains the facts of applied commands to the account. */
import {createRecord, emptyHead} from '@mulberrypitch/account/chain';
import type {AccountRecord, ChainHead, RecordFacts} from '@mulberrypitch/account/types';
import type {LogEntry} from '@mulberrypitch/storage/types';

/** Keeps the head of the chain and the records of the entry that is being applied. */
export class AccountRecorder {
	#head: ChainHead = emptyHead;
	#pending: AccountRecord[] = [];

	/** Sequence and hash of the last record. */
	get head(): ChainHead {
		return this.#head;
	}

	/** Adds one record. */
	record(facts: Omit<RecordFacts, 'position' | 'controlTime'>, entry: LogEntry): void {
		const record = createRecord(this.#head, {...facts, position: entry.index, controlTime: entry.time});
		this.#head = {sequence: record.sequence, hash: record.hash};
		this.#pending.push(record);
	}

	/** Gives the records added since the last call. */
	takeRecords(): readonly AccountRecord[] {
		const records = this.#pending;
		this.#pending = [];
		return records;
	}

	/** Goes on from the head of a snapshot. */
	restore(head: ChainHead): void {
		this.#head = head;
		this.#pending = [];
	}
}
