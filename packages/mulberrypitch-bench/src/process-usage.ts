/** What one process has used so far, read from the operating system. */
import {readFileSync} from 'node:fs';

const millisecondsPerTick = 10;
const bytesPerKibibyte = 1024;

/** Totals since the start of a process; memory is the present value. */
export type ProcessUsage = {
	readonly at: number;
	readonly cpuMs: number;
	readonly memoryBytes: number;
	/** Bytes passed to and from system calls: sockets and files together. */
	readonly readBytes: number;
	readonly writtenBytes: number;
	/** Bytes that went to the disk. */
	readonly diskBytes: number;
};

/**
Reads the usage of a process.

@example
```
const usage = readUsage(process.pid);
```
*/
export function readUsage(pid: number): ProcessUsage {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	return {
		at: performance.now(),
		cpuMs: (Number(fields[11]) + Number(fields[12])) * millisecondsPerTick,
		memoryBytes: readField(status, 'VmRSS') * bytesPerKibibyte,
		readBytes: readField(io, 'rchar'),
		writtenBytes: readField(io, 'wchar'),
		diskBytes: readField(io, 'write_bytes'),
	};
}

/** What a process used per second between two readings. */
export type UsageRate = {
	/** Share of one core. */
	readonly cores: number;
	readonly readBytes: number;
	readonly writtenBytes: number;
	readonly diskBytes: number;
};

/**
Gives the use per second between two readings.

@example
```
const rate = getRate(before, readUsage(pid));
```
*/
export function getRate(before: ProcessUsage, after: ProcessUsage): UsageRate {
	const seconds = (after.at - before.at) / 1000;
	return {
		cores: (after.cpuMs - before.cpuMs) / 1000 / seconds,
		readBytes: (after.readBytes - before.readBytes) / seconds,
		writtenBytes: (after.writtenBytes - before.writtenBytes) / seconds,
		diskBytes: (after.diskBytes - before.diskBytes) / seconds,
	};
}

function readField(text: string, field: string): number {
	return Number(new RegExp(String.raw`^${field}:\s*(\d+)`, 'mv').exec(text)?.[1] ?? 0);
}
