/** Reads the files of a log without changing them. */
import path from 'node:path';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {decodeRecords} from './record-codec.js';
import {
	hardStateFile, segmentSuffix, snapshotFile,
} from './log-files.js';
import type {
	Disk, HardState, LogEntry, Snapshot, StoredLog, Truncation,
} from './types.js';

/** The file operations that reading a log needs. */
export type DiskReader = Pick<Disk, 'list' | 'read'>;

/** The content of one segment file. */
export type SegmentFile = {
	readonly name: string;
	/** Highest index of an entry in the segment, including entries that were truncated later, or 0 if it has none. */
	readonly lastIndex: number;
	/** Bytes of the complete records. An incomplete (torn) write at the end is left out. */
	readonly data: Uint8Array;
};

/** The content of a log, and the segment files from which it was read. */
export type LogFiles = {
	readonly log: StoredLog;
	readonly segments: readonly SegmentFile[];
};

/**
Returns the content of a log. Leaves out entries that the snapshot covers or that were truncated, and an incomplete (torn) write at
the end of the last segment. Throws `CorruptLogError` for damage elsewhere.

@example
```
const {log} = await readLogFiles('data/main/log', new NodeDisk());
```
*/
export async function readLogFiles(folder: string, disk: DiskReader): Promise<LogFiles> {
	const hardState = await readRecordFile<HardState>(path.join(folder, hardStateFile), disk);
	const snapshot = await readRecordFile<Snapshot>(path.join(folder, snapshotFile), disk);
	const names = await disk.list(folder);
	// `list` returns sorted names, so the last segment is the newest.
	const segmentNames = names.filter(name => name.endsWith(segmentSuffix));
	const segments: SegmentFile[] = [];
	const entries: LogEntry[] = [];
	for (const name of segmentNames) {
		const file = path.join(folder, name);
		const data = await disk.read(file) ?? new Uint8Array();
		const {records, lengthBytes} = decodeRecords(data, file, name === segmentNames.at(-1));
		const lastIndex = applyRecords(assumeType<Array<LogEntry | Truncation>>(records), entries);
		segments.push({name, lastIndex, data: data.subarray(0, lengthBytes)});
	}

	const log: StoredLog = {
		...(hardState !== undefined && {hardState}),
		...(snapshot !== undefined && {snapshot}),
		entries: entries.filter(entry => entry.index > (snapshot?.index ?? 0)),
	};
	return {log, segments};
}

async function readRecordFile<Value>(file: string, disk: DiskReader): Promise<Value | undefined> {
	const data = await disk.read(file);
	if (data === undefined) {
		return undefined;
	}

	return assumeType<Value>(decodeRecords(data, file, false).records[0]);
}

/** Applies the records of one segment to the entries read so far and returns the highest index of its entries. */
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
