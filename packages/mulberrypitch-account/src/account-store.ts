/** Storage of one replica's audit log (the account): in memory and in a log store. */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {InvariantError} from '@mulberrypitch/errors/catalogue';
import type {LogStore} from '@mulberrypitch/storage/types';
import {emptyHead} from './chain.js';
import type {AccountRecord, ChainHead} from './types.js';

/** Stores audit records in the order of their sequence numbers. */
export class AccountStore {
	readonly #store: LogStore;
	readonly #records: AccountRecord[] = [];
	#pendingWrite: Promise<void> = Promise.resolve();

	constructor(store: LogStore) {
		this.#store = store;
	}

	/** Loads the records from the log store. */
	async load(): Promise<void> {
		const {entries} = await this.#store.load();
		this.#records.push(...entries.map(entry => assumeType<AccountRecord>(entry.command)));
	}

	/**
	Appends records that follow the last one and skips those that are already stored. Throws `InvariantError` when the hash of a
	record differs from the stored one. The records can be read at once; `sync` waits until they are on the disk.
	*/
	append(records: readonly AccountRecord[]): void {
		const newRecords = records.filter(record => !this.#isStored(record));
		if (newRecords.length === 0) {
			return;
		}

		this.#records.push(...newRecords);
		const entries = newRecords.map(record => ({
			index: record.sequence, term: 0, time: record.controlTime, command: record,
		}));
		this.#pendingWrite = this.#write(this.#pendingWrite, entries);
		this.#pendingWrite.catch(() => {
			// `sync` reports the failure.
		});
	}

	/** Resolves when all appended records are synced to the disk. Rejects when a write failed. */
	async sync(): Promise<void> {
		await this.#pendingWrite;
	}

	/** Returns up to `count` records from a sequence number on. */
	read(fromSequence: number, count: number): readonly AccountRecord[] {
		return this.#records.slice(fromSequence - 1, fromSequence - 1 + count);
	}

	/** Returns the head of the chain: sequence number and hash of the last record. */
	getHead(): ChainHead {
		return this.#records.at(-1) ?? emptyHead;
	}

	async dispose(): Promise<void> {
		await Promise.allSettled([this.#pendingWrite]);
		await this.#store.dispose();
	}

	/** Reports whether a record is stored. Throws `InvariantError` when the stored one differs. */
	#isStored(record: AccountRecord): boolean {
		const stored = this.#records[record.sequence - 1];
		if (stored !== undefined && stored.hash !== record.hash) {
			throw new InvariantError(`Audit record ${record.sequence} differs from the stored one.`);
		}

		return stored !== undefined;
	}

	async #write(previousWrite: Promise<void>, entries: Parameters<LogStore['append']>[0]): Promise<void> {
		await previousWrite;
		await this.#store.append(entries);
	}
}
