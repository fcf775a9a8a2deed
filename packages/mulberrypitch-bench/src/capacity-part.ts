/** Measures the resources that each request, session and back end costs a host, as input for capacity planning. */
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
/** Wait until a change has reached all hosts. */
const settleMs = 4000;
/** Duration over which idle usage is averaged. */
const windowMs = 6000;
const recordLanes = 32;
const recordDurationMs = 8000;
const membershipChanges = 5;
const zoneCount = 3;

/**
Measures the cost of each request, session and back end, and prints it.

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

/** Measures the leader's disk, CPU, network and memory use for each request, and its disk use for each audit record. */
async function measureRecords(hosts: LocalHosts): Promise<void> {
	hosts.startBackend('plain', {id: 'desk', service: 'bookings', 'answer-ms': 0});
	await hosts.waitForBackends(1);
	await delay(settleMs);
	const leader = await hosts.findLeader();
	const entry = hosts.hosts.at(-1)!;
	const before = readUsage(leader.child.pid!);
	const calls = await runLanes(recordLanes, recordDurationMs, async () => callPlain(entry.address, '/v1/services/bookings/book'));
	await delay(settleMs);
	const after = readUsage(leader.child.pid!);
	const {head} = await hosts.callOperator<{head: {sequence: number}}>('/v1/admin/configuration');
	const requests = calls.filter(call => call.isAnswered).length;
	printPart('bookings through one entry, as the leader sees them', [{
		requests,
		perS: round(requests / (recordDurationMs / 1000)),
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

/** Measures the leader's resource use by number of idle sessions, and the increase per session. */
async function measureSessions(hosts: LocalHosts, resources: DisposableStore): Promise<void> {
	const leader = await hosts.findLeader();
	const rows: Array<Row & {sessions: number; cpuPercent: number; bytesPerS: number; memoryMb: number}> = [];
	let started = 0;
	for (const sessions of sessionCounts) {
		const before = readUsage(leader.child.pid!);
		const alreadyStarted = started;
		for (; started < sessions; started += 1) {
			startSession(hosts, resources, started);
		}

		await hosts.waitUntil(`${sessions} sessions are open`, async () => {
			const status = await hosts.readStatus();
			return status.sessions.length >= sessions + hostCount;
		});
		await delay(settleMs);
		const afterJoin = readUsage(leader.child.pid!);
		const idle = await measureWindow(leader.child.pid!);
		rows.push({
			sessions,
			cpuPercent: round(idle.cores * 100),
			bytesPerS: Math.round(idle.readBytes + idle.writtenBytes),
			memoryMb: Math.round(afterJoin.memoryBytes / 1_000_000),
			joinCpuMs: afterJoin.cpuMs - before.cpuMs,
			joinWrittenMb: round((afterJoin.writtenBytes - before.writtenBytes) / 1_000_000),
			joined: sessions - alreadyStarted,
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

/** Measures what one membership change costs the leader, which sends the change to every session. */
async function measureFanOut(hosts: LocalHosts, pid: number): Promise<void> {
	const baseline = await measureWindow(pid);
	const before = readUsage(pid);
	for (let step = 0; step < membershipChanges; step += 1) {
		hosts.startBackend('plain', {id: `change-${step}`, service: 'bookings'});
		await delay(windowMs / membershipChanges);
	}

	await delay(settleMs);
	const after = readUsage(pid);
	const seconds = (after.at - before.at) / 1000;
	printPart('one membership change, told to all sessions', [{
		leaderCpuMs: round((after.cpuMs - before.cpuMs - (baseline.cores * 1000 * seconds)) / membershipChanges),
		leaderWrittenKb: Math.round((after.writtenBytes - before.writtenBytes - (baseline.writtenBytes * seconds)) / membershipChanges / 1000),
	}]);
}

/** Returns the average resource use per second over one window. */
async function measureWindow(pid: number) {
	const before = readUsage(pid);
	await delay(windowMs);
	return getRate(before, readUsage(pid));
}

/** Opens the session of a stand-in host that serves no requests. */
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
		takeAnnouncedBackends: () => [],
		getEffectiveDigest: () => '',
		onConfiguration() {
			// Stand-in hosts serve no requests.
		},
		onAssigned() {
			// Stand-in hosts hold no requests, so they take none over.
		},
	}));
	client.start();
}

/** Measures the resource use of an entry host and of the leader by number of idle back ends, and the increase per back end. */
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
