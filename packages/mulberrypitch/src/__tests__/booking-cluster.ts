/** Starts hosts with a booking service, for process tests. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {request} from 'undici';
import {demoConfiguration, demoKey} from '@mulberrypitch/config/defaults';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {waitUntil, type HostProcess, type HostProcesses} from './host-processes.js';

const bookingTimeoutMs = 20_000;

/** The response to one booking. */
export type Booking = {
	/** HTTP status; 0 when the connection failed. */
	readonly status: number;
	/** Booking number assigned by the booking service; present with status 200. */
	readonly number?: number;
};

type HostStatus = {
	readonly backends: readonly unknown[];
	readonly sessions: readonly unknown[];
	readonly leader?: {readonly leader?: string};
};

/**
Starts hosts with the demo configuration and one emulated booking service, and waits until all are ready.

@example
```
await startBookingCluster(processes, folder, 5);
```
*/
export async function startBookingCluster(processes: HostProcesses, folder: string, hostCount: number): Promise<void> {
	await processes.start(hostCount);
	const baseFile = path.join(folder, 'base.ini');
	writeFileSync(baseFile, demoConfiguration);
	const applied = await processes.run('config', 'apply', baseFile, '--host', processes.hosts[0]!.address);
	if (applied.code !== 0) {
		throw new Error(applied.stderr);
	}

	processes.startBackend('plain', {id: 'desk', zone: 'palermo', service: 'bookings'});
	await Promise.all(processes.hosts.map(async host => processes.waitFor(host, '/readyz')));
	await waitUntil('the booking service is registered', async () => {
		const status = await readStatus(processes, processes.hosts[0]!);
		return status.backends.length === 1;
	});
}

/**
Returns the status reported by one host.

@example
```
const {sessions} = await readStatus(processes, host);
```
*/
export async function readStatus(processes: HostProcesses, host: HostProcess): Promise<HostStatus> {
	const {stdout, stderr, code} = await processes.run('status', '--host', host.address, '--json');
	if (code !== 0) {
		throw new Error(stderr);
	}

	return assumeType<HostStatus>(JSON.parse(stdout));
}

/**
Waits until a host knows the leader of the control group, and returns the leader.

@example
```
const leader = await findLeader(processes, host);
```
*/
export async function findLeader(processes: HostProcesses, queriedHost: HostProcess): Promise<HostProcess> {
	let leader: HostProcess | undefined;
	await waitUntil('a leader is known', async () => {
		const status = await readStatus(processes, queriedHost);
		leader = processes.hosts.find(host => host.name === status.leader?.leader);
		return leader !== undefined;
	});
	return leader!;
}

/**
Sends one booking with an idempotency key. Does not throw: a refused request returns its status, a lost connection status 0.

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
