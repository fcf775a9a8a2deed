/** Encodes and decodes checksummed records. Each record is one line: `<crc32 in hex> <json>\n`. */
import {crc32} from 'node:zlib';
import {CorruptLogError} from '@mulberrypitch/errors/catalogue';

const checksumLength = 8;
const decoder = new TextDecoder();
const encoder = new TextEncoder();
const newline = 0x0A;
const separator = 0x20;

/** The records decoded from one file. */
export type DecodedRecords = {
	readonly records: readonly unknown[];
	/** Length of the complete records in bytes. Any bytes of the file after them are a torn write. */
	readonly lengthBytes: number;
};

/**
Returns one record as a checksummed line.

@example
```
await file.write(encodeRecord({index: 1}));
```
*/
export function encodeRecord(record: unknown): Uint8Array {
	const text = JSON.stringify(record);
	return encoder.encode(`${getChecksum(encoder.encode(text))} ${text}\n`);
}

/**
Decodes all records of a file. In the last file of a log, a damaged end is left out as a torn write of a crashed process, provided
that no complete record follows it. Throws `CorruptLogError` for any other damage.

@example
```
const {records, lengthBytes} = decodeRecords(data, file, isLast);
```
*/
export function decodeRecords(data: Uint8Array, file: string, isLast: boolean): DecodedRecords {
	const records: unknown[] = [];
	let offset = 0;
	while (offset < data.length) {
		const end = data.indexOf(newline, offset);
		const record = end === -1 ? undefined : decodeLine(data.subarray(offset, end));
		if (record === undefined) {
			if (isLast && !hasWholeRecordAfter(data, offset)) {
				return {records, lengthBytes: offset};
			}

			throw new CorruptLogError(file, offset, 'the checksum does not match');
		}

		records.push(record.value);
		offset = end + 1;
	}

	return {records, lengthBytes: offset};
}

function decodeLine(line: Uint8Array): {value: unknown} | undefined {
	const text = line.subarray(checksumLength + 1);
	if (line[checksumLength] !== separator || decodeText(line.subarray(0, checksumLength)) !== getChecksum(text)) {
		return undefined;
	}

	return {value: JSON.parse(decodeText(text))};
}

function hasWholeRecordAfter(data: Uint8Array, offset: number): boolean {
	let start = data.indexOf(newline, offset) + 1;
	while (start > 0 && start < data.length) {
		const end = data.indexOf(newline, start);
		if (end === -1) {
			return false;
		}

		if (decodeLine(data.subarray(start, end)) !== undefined) {
			return true;
		}

		start = end + 1;
	}

	return false;
}

function decodeText(data: Uint8Array): string {
	return decoder.decode(data);
}

function getChecksum(text: Uint8Array): string {
	return crc32(text).toString(16).padStart(checksumLength, '0');
}
