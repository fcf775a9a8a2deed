/** Chains the facts of applied commands to the account. */
import {createRecord, emptyHead} from '@mulberrypitch/account/chain';
import type {AccountRecord, ChainHead, RecordFacts} from '@mulberrypitch/account/types';
import type {LogEntry} from '@mulberrypitch/storage/types';

/** Keeps the head of the chain and the records of the entry that is being applied. */
export class AccountRecorder {
	#head: ChainHead = emptyHead;
	#time = 0;
	#pending: AccountRecord[] = [];

	/** Sequence and hash of the last record. */
	get head(): ChainHead {
		return this.#head;
	}

	/** Control time of the last record. */
	get time(): number {
		return this.#time;
	}

	/** Adds one record. Its time is never before that of the last one, whatever the leaders' wall clocks do. */
	record(facts: Omit<RecordFacts, 'position' | 'controlTime'>, entry: LogEntry): void {
		this.#time = Math.max(this.#time, entry.time);
		const record = createRecord(this.#head, {...facts, position: entry.index, controlTime: this.#time});
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
	restore(head: ChainHead, time: number): void {
		this.#head = head;
		this.#time = time;
		this.#pending = [];
	}
}
