/** Creates audit records of applied commands and adds them to the hash chain of the audit log. */
import {createRecord, emptyHead} from '@mulberrypitch/account/chain';
import type {AccountRecord, ChainHead, RecordFacts} from '@mulberrypitch/account/types';
import type {LogEntry} from '@mulberrypitch/storage/types';

/** Stores the head of the chain and the records of the entry that is being applied. */
export class AccountRecorder {
	#head: ChainHead = emptyHead;
	#time = 0;
	#pending: AccountRecord[] = [];

	/** Sequence number and hash of the last record. */
	get head(): ChainHead {
		return this.#head;
	}

	/** Time of the last record in milliseconds, on the wall clock of the control group. */
	get time(): number {
		return this.#time;
	}

	/** Adds a record. Record times never decrease, even if the wall clock of a leader steps back. */
	record(facts: Omit<RecordFacts, 'position' | 'controlTime'>, entry: LogEntry): void {
		this.#time = Math.max(this.#time, entry.time);
		const record = createRecord(this.#head, {...facts, position: entry.index, controlTime: this.#time});
		this.#head = {sequence: record.sequence, hash: record.hash};
		this.#pending.push(record);
	}

	/** Returns the records added since the last call. */
	takeRecords(): readonly AccountRecord[] {
		const records = this.#pending;
		this.#pending = [];
		return records;
	}

	/** Continues from the head of a snapshot. */
	restore(head: ChainHead, time: number): void {
		this.#head = head;
		this.#time = time;
		this.#pending = [];
	}
}
