/** A log of checksummed segment files. */
import {Buffer} from 'node:buffer';
import path from 'node:path';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {StorageError} from '@mulberrypitch/errors/catalogue';
import {decodeRecords, encodeRecord} from './record-codec.js';
import type {
	Disk, DiskFile, HardState, LogEntry, LogStore, Snapshot, StoredLog,
} from './types.js';

const segmentBytes = 8 * 1024 * 1024;
const nameDigits = 12;
const hardStateFile = 'hard-state';
const snapshotFile = 'snapshot';
const segmentSuffix = '.segment';

/** A record that drops the entries from an index on. */
type Truncation = {readonly truncateFrom: number};

type Segment = {
	readonly name: string;
	lastIndex: number;
};

/** Stores one log under one folder. After a failed write or sync every later change is refused. */
export class FileLog implements LogStore {
	readonly #folder: string;
	readonly #disk: Disk;
	readonly #segments: Segment[] = [];
	#file: DiskFile | undefined;
	#fileBytes = 0;
	#failure: StorageError | undefined;

	constructor(folder: string, disk: Disk) {
		this.#folder = folder;
		this.#disk = disk;
	}

	async load(): Promise<StoredLog> {
		await this.#disk.makeFolder(this.#folder);
		const hardState = await this.#readSingle<HardState>(hardStateFile);
		const snapshot = await this.#readSingle<Snapshot>(snapshotFile);
		const entries = await this.#readSegments(snapshot?.index ?? 0);
		await this.#disk.syncFolder(this.#folder);
		return {
			...(hardState !== undefined && {hardState}),
			...(snapshot !== undefined && {snapshot}),
			entries,
		};
	}

	async saveHardState(state: HardState): Promise<void> {
		await this.#guard(async () => {
			await this.#replaceSingle(hardStateFile, state);
		});
	}

	async append(entries: readonly LogEntry[]): Promise<void> {
		const last = entries.at(-1);
		if (last === undefined) {
			return;
		}

		await this.#write(entries.map(entry => encodeRecord(entry)), last.index);
	}

	async truncate(fromIndex: number): Promise<void> {
		const record: Truncation = {truncateFrom: fromIndex};
		await this.#write([encodeRecord(record)], fromIndex - 1);
	}

	async saveSnapshot(snapshot: Snapshot): Promise<void> {
		await this.#guard(async () => {
			await this.#replaceSingle(snapshotFile, snapshot);
			await this.#closeFile();
			await this.#removeCovered(snapshot.index);
		});
	}

	async dispose(): Promise<void> {
		await this.#closeFile();
	}

	async #write(records: readonly Uint8Array[], lastIndex: number): Promise<void> {
		await this.#guard(async () => {
			const file = await this.#openFile(lastIndex);
			const data = Buffer.concat(records);
			await file.write(data);
			await file.sync();
			this.#fileBytes += data.length;
			const segment = this.#segments.at(-1)!;
			segment.lastIndex = Math.max(segment.lastIndex, lastIndex);
			if (this.#fileBytes >= segmentBytes) {
				await this.#closeFile();
			}
		});
	}

	async #guard(change: () => Promise<void>): Promise<void> {
		if (this.#failure !== undefined) {
			throw this.#failure;
		}

		try {
			await change();
		} catch (error) {
			this.#failure = new StorageError(`The log under ${this.#folder} can't be written: ${getMessage(error)}.`, {cause: error});
			throw this.#failure;
		}
	}

	async #openFile(lastIndex: number): Promise<DiskFile> {
		if (this.#file !== undefined) {
			return this.#file;
		}

		const number = Number.parseInt(this.#segments.at(-1)?.name ?? '0', 10) + 1;
		const name = String(number).padStart(nameDigits, '0') + segmentSuffix;
		this.#file = await this.#disk.openForAppend(path.join(this.#folder, name));
		await this.#disk.syncFolder(this.#folder);
		this.#segments.push({name, lastIndex});
		this.#fileBytes = 0;
		return this.#file;
	}

	async #closeFile(): Promise<void> {
		const file = this.#file;
		this.#file = undefined;
		await file?.close();
	}

	async #removeCovered(index: number): Promise<void> {
		while (this.#segments.length > 0 && this.#segments[0]!.lastIndex <= index) {
			const segment = this.#segments.shift()!;
			await this.#disk.remove(path.join(this.#folder, segment.name));
		}

		await this.#disk.syncFolder(this.#folder);
	}

	async #readSegments(afterIndex: number): Promise<LogEntry[]> {
		const names = await this.#disk.list(this.#folder);
		const segmentNames = names.filter(name => name.endsWith(segmentSuffix));
		const entries: LogEntry[] = [];
		for (const name of segmentNames) {
			const file = path.join(this.#folder, name);
			const data = await this.#disk.read(file) ?? new Uint8Array();
			const isLast = name === segmentNames.at(-1);
			const {records, lengthBytes} = decodeRecords(data, file, isLast);
			if (isLast) {
				// An earlier process may have died before its sync, so these bytes may not be on the disk yet.
				await this.#disk.truncate(file, lengthBytes);
			}

			this.#segments.push({name, lastIndex: applyRecords(assumeType<Array<LogEntry | Truncation>>(records), entries)});
		}

		return entries.filter(entry => entry.index > afterIndex);
	}

	async #readSingle<Value>(name: string): Promise<Value | undefined> {
		const file = path.join(this.#folder, name);
		const data = await this.#disk.read(file);
		if (data === undefined) {
			return undefined;
		}

		return assumeType<Value>(decodeRecords(data, file, false).records[0]);
	}

	async #replaceSingle(name: string, value: unknown): Promise<void> {
		const target = path.join(this.#folder, name);
		const draft = `${target}.draft`;
		await this.#disk.remove(draft);
		const file = await this.#disk.openForAppend(draft);
		await file.write(encodeRecord(value));
		await file.sync();
		await file.close();
		await this.#disk.rename(draft, target);
		await this.#disk.syncFolder(this.#folder);
	}
}

/** Applies the records of one segment to the entries read so far and gives the highest index it names. */
function applyRecords(records: ReadonlyArray<LogEntry | Truncation>, entries: LogEntry[]): number {
	let lastIndex = 0;
	for (const record of records) {
		if ('truncateFrom' in record) {
			while (entries.length > 0 && entries.at(-1)!.index >= record.truncateFrom) {
				entries.pop();
			}

			continue;
		}

		entries.push(record);
		lastIndex = Math.max(lastIndex, record.index);
	}

	return lastIndex;
}
