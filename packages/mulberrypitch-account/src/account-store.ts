/** The account's records of one replica, in memory and, on hosts with a disk, in checksummed files. */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {InvariantError} from '@mulberrypitch/errors/catalogue';
import type {LogStore} from '@mulberrypitch/storage/types';
import {emptyHead} from './chain.js';
import type {AccountRecord, ChainHead} from './types.js';

/** Appends records in order; a record seen before must be the same. */
export class AccountStore {
	readonly #store: LogStore;
	readonly #records: AccountRecord[] = [];
	#writing: Promise<void> = Promise.resolve();

	constructor(store: LogStore) {
		this.#store = store;
	}

	/** Reads the stored records. */
	async load(): Promise<void> {
		const {entries} = await this.#store.load();
		this.#records.push(...entries.map(entry => assumeType<AccountRecord>(entry.command)));
	}

	/** Appends records that follow the last one; records stored earlier are compared and skipped. */
	append(records: readonly AccountRecord[]): void {
		const fresh = records.filter(record => !this.#isKnown(record));
		if (fresh.length === 0) {
			return;
		}

		this.#records.push(...fresh);
		const entries = fresh.map(record => ({
			index: record.sequence, term: 0, time: record.controlTime, command: record,
		}));
		this.#writing = this.#write(this.#writing, entries);
		this.#writing.catch(() => {
			// Whoever waits for the sync sees the failure.
		});
	}

	/** Resolves when all appended records are synced. */
	async sync(): Promise<void> {
		await this.#writing;
	}

	/** Gives the records from one sequence number on. */
	read(fromSequence: number, count: number): readonly AccountRecord[] {
		return this.#records.slice(fromSequence - 1, fromSequence - 1 + count);
	}

	/** Gives the end of the chain. */
	getHead(): ChainHead {
		return this.#records.at(-1) ?? emptyHead;
	}

	async dispose(): Promise<void> {
		await Promise.allSettled([this.#writing]);
		await this.#store.dispose();
	}

	#isKnown(record: AccountRecord): boolean {
		const known = this.#records[record.sequence - 1];
		if (known !== undefined && known.hash !== record.hash) {
			throw new InvariantError(`Account record ${record.sequence} differs from the stored one.`);
		}

		return known !== undefined;
	}

	async #write(before: Promise<void>, entries: Parameters<LogStore['append']>[0]): Promise<void> {
		await before;
		await this.#store.append(entries);
	}
}
