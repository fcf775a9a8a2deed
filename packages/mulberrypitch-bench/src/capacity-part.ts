/** Slopes of cost per session, back end and account record. */
import {readdirSync, statSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {hostDefaults} from '@mulberrypitch/config/defaults';
import {ControlClient} from '@mulberrypitch/control/control-client';
import {Announcer} from '@mulberrypitch/fakes/announcer';
import {SystemClock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore} from '@mulberrypitch/lifecycle/disposable-store';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {TcpTransport} from '@mulberrypitch/transport/tcp-transport';
import {callerAgent, callPlain} from './caller.js';
import {runLanes} from './lanes.js';
import {LocalHosts} from './local-hosts.js';
import {getRate, readUsage, type ProcessUsage} from './process-usage.js';
import {printPart, type Row} from './report.js';
import {getSlope, round} from './statistics.js';

const sessionCounts = [8, 50, 200, 400];
const backendCounts = [50, 200, 600];
const hostCount = 4;
const settleMs = 4000;
const windowMs = 6000;
const recordLanes = 32;
const recordMs = 8000;
const fanOutSteps = 5;
const zoneCount = 3;

/**
Measures the slopes and prints them.

@example
```
await measureCapacity();
```
*/
export async function measureCapacity(): Promise<void> {
	const hosts = new LocalHosts();
	const resources = new DisposableStore();
	try {
		await hosts.start(hostCount);
		await measureRecords(hosts);
		await measureBackends(hosts);
		await measureSessions(hosts, resources);
	} finally {
		await callerAgent.destroy();
		await hosts.dispose();
		await resources.dispose();
	}
}

/** Bytes on disk and memory of the leader for each request and account record. */
async function measureRecords(hosts: LocalHosts): Promise<void> {
	hosts.startBackend('plain', {id: 'desk', service: 'bookings', 'answer-ms': 0});
	await hosts.waitForBackends(1);
	await delay(settleMs);
	const leader = await hosts.findLeader();
	const entry = hosts.hosts.at(-1)!;
	const before = readUsage(leader.child.pid!);
	const calls = await runLanes(recordLanes, recordMs, async () => callPlain(entry.address, '/v1/services/bookings/book'));
	await delay(settleMs);
	const after = readUsage(leader.child.pid!);
	const {head} = await hosts.callOperator<{head: {sequence: number}}>('/v1/admin/configuration');
	const requests = calls.filter(call => call.isAnswered).length;
	printPart('bookings through one entry, as the leader sees them', [{
		requests,
		perS: round(requests / (recordMs / 1000)),
		recordsPerRequest: round(head.sequence / requests),
		accountBytesPerRecord: Math.round(sumFileBytes(path.join(leader.folder, 'main/account')) / head.sequence),
		logBytesPerRequest: Math.round(sumFileBytes(path.join(leader.folder, 'main/log')) / requests),
		leaderCpuMsPerRequest: round((after.cpuMs - before.cpuMs) / requests),
		leaderSentBytesPerRequest: Math.round((after.writtenBytes - before.writtenBytes) / requests),
		leaderReadBytesPerRequest: Math.round((after.readBytes - before.readBytes) / requests),
		leaderMemoryBytesPerRequest: Math.round((after.memoryBytes - before.memoryBytes) / requests),
	}]);
}

function sumFileBytes(folder: string): number {
	return readdirSync(folder).reduce((sum, name) => sum + statSync(path.join(folder, name)).size, 0);
}

async function measureSessions(hosts: LocalHosts, resources: DisposableStore): Promise<void> {
	const leader = await hosts.findLeader();
	const rows: Array<Row & {sessions: number; cpuPercent: number; bytesPerS: number; memoryMb: number}> = [];
	let started = 0;
	for (const sessions of sessionCounts) {
		const before = readUsage(leader.child.pid!);
		const from = started;
		for (; started < sessions; started += 1) {
			startSession(hosts, resources, started);
		}

		await hosts.waitUntil(`${sessions} sessions are open`, async () => {
			const status = await hosts.readStatus();
			return status.sessions.length >= sessions + hostCount;
		});
		await delay(settleMs);
		const joined = readUsage(leader.child.pid!);
		const idle = await measureWindow(leader.child.pid!);
		rows.push({
			sessions,
			cpuPercent: round(idle.cores * 100),
			bytesPerS: Math.round(idle.readBytes + idle.writtenBytes),
			memoryMb: Math.round(joined.memoryBytes / 1_000_000),
			joinCpuMs: joined.cpuMs - before.cpuMs,
			joinWrittenMb: round((joined.writtenBytes - before.writtenBytes) / 1_000_000),
			joined: sessions - from,
		});
	}

	printPart('leader with idle stand-in sessions', rows);
	printPart('slope for each session', [{
		cpuPercent: getSlope(rows.map(row => [row.sessions, row.cpuPercent])).toFixed(4),
		bytesPerS: Math.round(getSlope(rows.map(row => [row.sessions, row.bytesPerS]))),
		memoryKb: Math.round(getSlope(rows.map(row => [row.sessions, row.memoryMb * 1000]))),
	}]);
	await measureFanOut(hosts, leader.child.pid!);
}

/** Cost of one membership change when every session hears of it. */
async function measureFanOut(hosts: LocalHosts, pid: number): Promise<void> {
	const quiet = await measureWindow(pid);
	const before = readUsage(pid);
	for (let step = 0; step < fanOutSteps; step += 1) {
		hosts.startBackend('plain', {id: `change-${step}`, service: 'bookings'});
		await delay(windowMs / fanOutSteps);
	}

	await delay(settleMs);
	const after = readUsage(pid);
	const seconds = (after.at - before.at) / 1000;
	printPart('one membership change, told to all sessions', [{
		leaderCpuMs: round((after.cpuMs - before.cpuMs - (quiet.cores * 1000 * seconds)) / fanOutSteps),
		leaderWrittenKb: Math.round((after.writtenBytes - before.writtenBytes - (quiet.writtenBytes * seconds)) / fanOutSteps / 1000),
	}]);
}

async function measureWindow(pid: number) {
	const before = readUsage(pid);
	await delay(windowMs);
	return getRate(before, readUsage(pid));
}

function startSession(hosts: LocalHosts, resources: DisposableStore, position: number): void {
	const logger = new SilentLogger();
	const clock = new SystemClock();
	const transport = resources.add(new TcpTransport({
		name: `stand-in-${position}`, listen: {host: '127.0.0.1', port: 0}, secret: hostDefaults.loopbackSecret, logger,
	}));
	const client = resources.add(new ControlClient({
		group: hostDefaults.group,
		replicas: hosts.replicas,
		transport,
		clock,
		logger,
		session: {
			node: `stand-in-${position}`,
			incarnation: 'one',
			peerAddress: '127.0.0.1:1',
			publicAddress: 'http://127.0.0.1:1',
			zone: `zone-${(position % zoneCount) + 1}`,
			region: 'region-1',
			site: 'default',
		},
		takeHeardBackends: () => [],
		getEffectiveDigest: () => '',
		onConfiguration() {
			// Stand-in sessions serve nothing.
		},
		onAssigned() {
			// Stand-in sessions hold nothing.
		},
	}));
	client.start();
}

async function measureBackends(hosts: LocalHosts): Promise<void> {
	const clock = new SystemClock();
	const leader = await hosts.findLeader();
	const entry = hosts.hosts.at(-1)!;
	const announcers: Announcer[] = [];
	const rows: Array<Row & {backends: number; entryCpuPercent: number; leaderCpuPercent: number}> = [];
	for (const backends of backendCounts) {
		while (announcers.length < backends) {
			announcers.push(createAnnouncer(entry.address, announcers.length, clock));
		}

		await hosts.waitForBackends(backends + 1);
		await delay(settleMs);
		const before: Record<'entry' | 'leader', ProcessUsage> = {entry: readUsage(entry.child.pid!), leader: readUsage(leader.child.pid!)};
		await delay(windowMs);
		const entryRate = getRate(before.entry, readUsage(entry.child.pid!));
		const leaderRate = getRate(before.leader, readUsage(leader.child.pid!));
		rows.push({
			backends,
			entryCpuPercent: round(entryRate.cores * 100),
			entryBytesPerS: Math.round(entryRate.readBytes + entryRate.writtenBytes),
			leaderCpuPercent: round(leaderRate.cores * 100),
			leaderBytesPerS: Math.round(leaderRate.readBytes + leaderRate.writtenBytes),
		});
	}

	printPart('idle back ends, all announced to one entry', rows);
	printPart('slope for each back end', [{
		entryCpuPercent: getSlope(rows.map(row => [row.backends, row.entryCpuPercent])).toFixed(4),
		leaderCpuPercent: getSlope(rows.map(row => [row.backends, row.leaderCpuPercent])).toFixed(4),
	}]);
	await Promise.all(announcers.map(async announcer => announcer.dispose()));
	await hosts.waitForBackends(1);
}

function createAnnouncer(entry: string, position: number, clock: SystemClock): Announcer {
	return new Announcer({
		id: `idle-${position}`, address: 'http://127.0.0.1:1', zone: `zone-${(position % zoneCount) + 1}`, services: ['advice'], kind: 'engine', slots: 1, entries: [entry], token: hostDefaults.loopbackSecret, clock,
	});
}
