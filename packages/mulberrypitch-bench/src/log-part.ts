/** Measures commits, recovery and failover of the replicated log. */
import {rmSync} from 'node:fs';
import path from 'node:path';
import {AccountStore} from '@mulberrypitch/account/account-store';
import {MemoryNetwork, type MemoryTransport} from '@mulberrypitch/fakes/memory-transport';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {ControlState} from '@mulberrypitch/control/control-state';
import {Replica} from '@mulberrypitch/control/replica';
import type {Command} from '@mulberrypitch/control/commands';
import {SystemClock, type Clock} from '@mulberrypitch/lifecycle/clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {FileLog} from '@mulberrypitch/storage/file-log';
import {MemoryLog} from '@mulberrypitch/storage/memory-log';
import {NodeDisk} from '@mulberrypitch/storage/node-disk';
import type {LogStore} from '@mulberrypitch/storage/types';
import {runLanes} from './lanes.js';
import {printPart, type Row} from './report.js';
import {SlowDisk} from './slow-disk.js';
import {SingleAppendLog} from './single-append-log.js';
import {getQuantile, round} from './statistics.js';

const folder = path.resolve(import.meta.dirname, '../../../build/bench-log');
const replicaNames = ['a', 'b', 'c'];
const commitLanes = [1, 8, 64];
/** Duration of each measurement of commits. */
const commitMs = 3000;
/** Time added to each sync to simulate a network disk. */
const networkDiskSyncMs = 2;
/** Multiplier that turns consecutive numbers into unrelated seeds (multiplicative hashing). */
const seedMultiplier = 0x9E_37_79_B1;
const recoveryEntries = 10_000;
const electionCount = 100;
const electionLimitMs = 10_000;
/** Interval at which the replicas are checked for a leader. */
const electionStepMs = 5;
/** One-way delay of each message. */
const linkDelayMs = 1;
/** Number of entries in one append while the log for the recovery is written. */
const batchEntries = 200;

type ReplicaGroup = {
	readonly network: MemoryNetwork;
	readonly replicas: readonly Replica[];
};

/**
Measures the replicated log and prints the figures.

@example
```
await measureLog();
```
*/
export async function measureLog(): Promise<void> {
	await measureCommits(0);
	await measureCommits(networkDiskSyncMs);
	await measureRecovery();
	await measureFailover();
	rmSync(folder, {recursive: true, force: true});
}

/** Starts a group of replicas that are connected by an in-memory network. */
async function startGroup(clock: Clock, seed: number, createStore: (name: string) => LogStore): Promise<ReplicaGroup> {
	const network = new MemoryNetwork(clock);
	const join = (name: string): MemoryTransport => network.join(name);
	const replicas = replicaNames.map((name, index) => new Replica({
		group: 'main',
		name,
		peers: replicaNames.map(peer => ({name: peer, address: peer})),
		store: createStore(name),
		transport: join(name),
		clock,
		random: new SeededRandom(Math.imul((seed * replicaNames.length) + index, seedMultiplier)),
		logger: new SilentLogger(),
		machine: new ControlState(),
		account: new AccountStore(new MemoryLog()),
	}));
	await Promise.all(replicas.map(async replica => replica.start()));
	return {network, replicas};
}

function findLeader({replicas}: ReplicaGroup): Replica | undefined {
	return replicas.find(replica => replica.hasLease());
}

function createAcceptCommand(position: number): Command {
	return {
		kind: 'acceptRequest',
		requestId: `request-${position}`,
		customer: 'bench',
		service: 'advice',
		digest: 'd'.repeat(64),
		fingerprint: 'd'.repeat(64),
		isIdempotent: true,
		holder: 'entry',
		holderEpoch: 1,
		entryTime: Date.now(),
	};
}

/** Compares the commit rate and latency of group commit with those of one sync per entry. */
async function measureCommits(addedSyncMs: number): Promise<void> {
	const rows: Row[] = [];
	for (const lanes of commitLanes) {
		const single = await runCommits(lanes, addedSyncMs, store => new SingleAppendLog(store));
		const grouped = await runCommits(lanes, addedSyncMs, store => store);
		rows.push({
			lanes,
			singlePerS: Math.round(single.perSecond),
			singleP50Ms: round(single.p50Ms),
			singleP99Ms: round(single.p99Ms),
			groupedPerS: Math.round(grouped.perSecond),
			groupedP50Ms: round(grouped.p50Ms),
			groupedP99Ms: round(grouped.p99Ms),
			ratio: round(grouped.perSecond / single.perSecond),
		});
	}

	printPart(`commits of three replicas in one process, synced to disk with ${addedSyncMs} ms added; single = one entry a sync`, rows);
}

async function runCommits(lanes: number, addedSyncMs: number, wrapStore: (store: LogStore) => LogStore): Promise<{perSecond: number; p50Ms: number; p99Ms: number}> {
	rmSync(folder, {recursive: true, force: true});
	const clock = new SystemClock();
	const group = await startGroup(clock, 1, name => wrapStore(new FileLog(path.join(folder, name), addedSyncMs === 0 ? new NodeDisk() : new SlowDisk(clock, addedSyncMs))));
	while (findLeader(group) === undefined) {
		await clock.sleep(electionStepMs);
	}

	const leader = findLeader(group)!;
	await leader.propose({
		kind: 'openSession', node: 'entry', incarnation: 'one', peerAddress: 'a', publicAddress: 'a', zone: 'z', region: 'r', site: 's',
	});
	const durations = await runLanes(lanes, commitMs, async position => {
		const startedAt = performance.now();
		await leader.propose(createAcceptCommand(position));
		return performance.now() - startedAt;
	});
	await Promise.all(group.replicas.map(async replica => replica.dispose()));
	return {perSecond: durations.length / (commitMs / 1000), p50Ms: getQuantile(durations, 0.5), p99Ms: getQuantile(durations, 0.99)};
}

/** Measures how long loading a log from disk and applying its entries take. */
async function measureRecovery(): Promise<void> {
	rmSync(folder, {recursive: true, force: true});
	const store = new FileLog(path.join(folder, 'recovery'), new NodeDisk());
	await store.load();
	for (let first = 1; first <= recoveryEntries; first += batchEntries) {
		await store.append(Array.from({length: batchEntries}, (_, offset) => ({
			index: first + offset, term: 1, time: Date.now(), command: createAcceptCommand(first + offset),
		})));
	}

	await store.dispose();
	const startedAt = performance.now();
	const reopened = new FileLog(path.join(folder, 'recovery'), new NodeDisk());
	const {entries} = await reopened.load();
	const loadedAt = performance.now();
	const state = new ControlState();
	for (const entry of entries) {
		state.apply(entry);
	}

	const appliedAt = performance.now();
	await reopened.dispose();
	printPart(`recovery of ${entries.length} entries without a snapshot`, [{loadMs: round(loadedAt - startedAt), applyMs: round(appliedAt - loadedAt)}]);
}

/** Measures how long the election of a new leader takes on a virtual clock, over many seeds. */
async function measureFailover(): Promise<void> {
	const times: number[] = [];
	let withoutLeader = 0;
	for (let seed = 1; seed <= electionCount; seed += 1) {
		const durationMs = await runFailover(seed);
		if (durationMs === undefined) {
			withoutLeader += 1;
		} else {
			times.push(durationMs);
		}
	}

	printPart(`failover over ${electionCount} elections on virtual time, ${linkDelayMs} ms a way`, [{
		medianMs: getQuantile(times, 0.5), p95Ms: getQuantile(times, 0.95), worstMs: Math.max(...times), withoutLeader,
	}]);
}

/** Isolates the leader. Returns the time until another replica holds the lease, or `undefined` when none does within the limit. */
async function runFailover(seed: number): Promise<number | undefined> {
	const clock = new VirtualClock();
	const group = await startGroup(clock, seed, () => new MemoryLog());
	group.network.setPolicy(() => ({isLost: false, delayMs: linkDelayMs}));
	await clock.runUntil(() => findLeader(group) !== undefined, electionLimitMs);
	const oldLeader = findLeader(group);
	if (oldLeader === undefined) {
		return undefined;
	}

	const oldLeaderName = oldLeader.leader;
	const isolatedAt = clock.now();
	group.network.setPolicy((from, to) => ({isLost: from === oldLeaderName || to === oldLeaderName, delayMs: linkDelayMs}));
	const isReplaced = await clock.runUntil(() => group.replicas.some(replica => replica !== oldLeader && replica.hasLease()), electionLimitMs, electionStepMs);
	return isReplaced ? clock.now() - isolatedAt : undefined;
}
