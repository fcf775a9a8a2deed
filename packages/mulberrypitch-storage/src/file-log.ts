/** Write-ahead log in segment files of checksummed records. */
import {Buffer} from 'node:buffer';
import path from 'node:path';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {StorageError} from '@mulberrypitch/errors/catalogue';
import {hardStateFile, segmentSuffix, snapshotFile} from './log-files.js';
import {readLogFiles} from './log-reader.js';
import {encodeRecord} from './record-codec.js';
import type {
	Disk, DiskFile, HardState, LogEntry, LogStore, Snapshot, StoredLog, Truncation,
} from './types.js';

/** Size in bytes at which a segment is closed and the next change begins a new one. */
const maxSegmentBytes = 8 * 1024 * 1024;
const segmentNameDigits = 12;

type Segment = {
	readonly name: string;
	/** Highest index of an entry in the segment. The segment can be removed once a snapshot covers it. */
	lastIndex: number;
};

/** Stores one log in one folder. After a failed write or sync, all further changes fail with the same `StorageError`. */
export class FileLog implements LogStore {
	readonly #folder: string;
	readonly #disk: Disk;
	readonly #segments: Segment[] = [];
	/** The last segment while it is open for appending. */
	#file: DiskFile | undefined;
	#fileBytes = 0;
	#failure: StorageError | undefined;

	constructor(folder: string, disk: Disk) {
		this.#folder = folder;
		this.#disk = disk;
	}

	async load(): Promise<StoredLog> {
		await this.#disk.makeFolder(this.#folder);
		const {log, segments} = await readLogFiles(this.#folder, this.#disk);
		const last = segments.at(-1);
		if (last !== undefined) {
			// An earlier process may have crashed before its sync, so these bytes may not be on the disk yet.
			await this.#replaceFile(path.join(this.#folder, last.name), last.data);
		}

		this.#segments.push(...segments.map(({name, lastIndex}) => ({name, lastIndex})));
		await this.#disk.syncFolder(this.#folder);
		return log;
	}

	async saveHardState(state: HardState): Promise<void> {
		await this.#runUnlessFailed(async () => {
			await this.#replaceRecordFile(hardStateFile, state);
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
		await this.#runUnlessFailed(async () => {
			await this.#replaceRecordFile(snapshotFile, snapshot);
			await this.#closeFile();
			await this.#removeCoveredSegments(snapshot.index);
		});
	}

	async dispose(): Promise<void> {
		await this.#closeFile();
	}

	async #write(records: readonly Uint8Array[], lastIndex: number): Promise<void> {
		await this.#runUnlessFailed(async () => {
			const file = await this.#openFile(lastIndex);
			const data = Buffer.concat(records);
			await file.write(data);
			await file.sync();
			this.#fileBytes += data.length;
			const segment = this.#segments.at(-1)!;
			segment.lastIndex = Math.max(segment.lastIndex, lastIndex);
			if (this.#fileBytes >= maxSegmentBytes) {
				await this.#closeFile();
			}
		});
	}

	async #runUnlessFailed(change: () => Promise<void>): Promise<void> {
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
		const name = String(number).padStart(segmentNameDigits, '0') + segmentSuffix;
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

	async #removeCoveredSegments(index: number): Promise<void> {
		while (this.#segments.length > 0 && this.#segments[0]!.lastIndex <= index) {
			const segment = this.#segments.shift()!;
			await this.#disk.remove(path.join(this.#folder, segment.name));
		}

		await this.#disk.syncFolder(this.#folder);
	}

	async #replaceRecordFile(name: string, value: unknown): Promise<void> {
		await this.#replaceFile(path.join(this.#folder, name), encodeRecord(value));
	}

	/** Replaces a file atomically: writes and syncs a temporary file, and renames it. */
	async #replaceFile(target: string, data: Uint8Array): Promise<void> {
		const temporaryFile = `${target}.draft`;
		await this.#disk.remove(temporaryFile);
		const file = await this.#disk.openForAppend(temporaryFile);
		await file.write(data);
		await file.sync();
		await file.close();
		await this.#disk.rename(temporaryFile, target);
		await this.#disk.syncFolder(this.#folder);
	}
}
