/** Resource use of a process, read from Linux's `/proc`. */
import {readFileSync} from 'node:fs';

/** The unit of CPU times in `/proc/PID/stat`, at the usual 100 ticks a second. */
const millisecondsPerTick = 10;
const bytesPerKibibyte = 1024;

/** Totals since the start of a process, except for `memoryBytes`, the current resident memory, and `at`, the time of the reading. */
export type ProcessUsage = {
	readonly at: number;
	readonly cpuMs: number;
	readonly memoryBytes: number;
	/** Bytes read by system calls, from sockets and files together. */
	readonly readBytes: number;
	/** Bytes written by system calls, to sockets and files together. */
	readonly writtenBytes: number;
	/** Bytes written to the storage layer. */
	readonly diskBytes: number;
};

/**
Returns the resource use of a process so far.

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

/** Average resource use per second between two readings. */
export type UsageRate = {
	/** CPU use in cores: 1 is one fully used core. */
	readonly cores: number;
	readonly readBytes: number;
	readonly writtenBytes: number;
	readonly diskBytes: number;
};

/**
Returns the average use per second between two readings.

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
