/** Hosts with a booking service, for process tests. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {request} from 'undici';
import {demoConfiguration, demoKey} from '@mulberrypitch/config/defaults';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {waitUntil, type HostProcess, type HostProcesses} from './host-processes.js';

const bookingTimeoutMs = 20_000;

/** The answer to one booking. */
export type Booking = {
	readonly status: number;
	/** Number that the booking service gave it, when it was answered. */
	readonly number?: number;
};

type Status = {
	readonly backends: readonly unknown[];
	readonly sessions: readonly unknown[];
	readonly leader?: {readonly leader?: string};
};

/**
Starts hosts with the demo configuration and one booking service.

@example
```
await startBookingCluster(processes, folder, 5);
```
*/
export async function startBookingCluster(processes: HostProcesses, folder: string, count: number): Promise<void> {
	await processes.start(count);
	const base = path.join(folder, 'base.ini');
	writeFileSync(base, demoConfiguration);
	const applied = await processes.run('config', 'apply', base, '--host', processes.hosts[0]!.address);
	if (applied.code !== 0) {
		throw new Error(applied.stderr);
	}

	processes.startBackend('plain', {id: 'desk', zone: 'palermo', service: 'bookings'});
	await Promise.all(processes.hosts.map(async host => processes.waitFor(host, '/readyz')));
	await waitUntil('the booking service is known', async () => {
		const status = await readStatus(processes, processes.hosts[0]!);
		return status.backends.length === 1;
	});
}

/**
Reads the status that one host gives.

@example
```
const {sessions} = await readStatus(processes, host);
```
*/
export async function readStatus(processes: HostProcesses, host: HostProcess): Promise<Status> {
	const {stdout, stderr, code} = await processes.run('status', '--host', host.address, '--json');
	if (code !== 0) {
		throw new Error(stderr);
	}

	return assumeType<Status>(JSON.parse(stdout));
}

/**
Waits until the control group has a leader and gives it.

@example
```
const leader = await findLeader(processes, host);
```
*/
export async function findLeader(processes: HostProcesses, asked: HostProcess): Promise<HostProcess> {
	let leader: HostProcess | undefined;
	await waitUntil('a leader is known', async () => {
		const status = await readStatus(processes, asked);
		leader = processes.hosts.find(host => host.name === status.leader?.leader);
		return leader !== undefined;
	});
	return leader!;
}

/**
Books once under a key. A lost connection and a refusal come back as a status that is not 200.

@example
```
const {number} = await book(host.address, 'ragusa-1');
```
*/
export async function book(address: string, key: string): Promise<Booking> {
	try {
		const response = await request(`${address}/v1/services/bookings/book`, {
			method: 'POST',
			headersTimeout: bookingTimeoutMs,
			headers: {authorization: `Bearer ${demoKey}`, 'idempotency-key': key},
			body: '{}',
		});
		const text = await response.body.text();
		return response.statusCode === 200
			? {status: 200, number: assumeType<{number: number}>(JSON.parse(text)).number}
			: {status: response.statusCode};
	} catch {
		return {status: 0};
	}
}
