/** Measures the latency that the request path adds to a direct call of a back end, and the throughput of one entry host. */
import {setTimeout as delay} from 'node:timers/promises';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {callerAgent, callPlain, complete} from './caller.js';
import {runLanes} from './lanes.js';
import {LocalHosts} from './local-hosts.js';
import {getRate, readUsage} from './process-usage.js';
import {printPart, type Row} from './report.js';
import {getQuantile, round} from './statistics.js';

const engineCount = 3;
const hostCount = 4;
const warmUpMs = 2000;
const overheadMs = 6000;
const overheadLanes = 8;
const overheadTokens = 2;
const streamCounts = [100, 200, 400, 800, 1600];
const streamTokens = 150;
const tokenMs = 20;
/** Wait between two steps of a measurement. */
const settleMs = 1000;
const rateLanes = [1, 8, 64, 256];
const rateMs = 4000;

type Backend = {readonly address: string; readonly id: string; readonly kind: string};

/**
Measures the request path and prints the figures.

@example
```
await measurePath();
```
*/
export async function measurePath(): Promise<void> {
	const hosts = new LocalHosts();
	try {
		await hosts.start(hostCount);
		for (let index = 0; index < engineCount; index += 1) {
			hosts.startBackend('engine', {
				id: `engine-${index}`, zone: `zone-${index + 1}`, 'first-token-ms': 20, 'token-ms': tokenMs,
			});
		}

		hosts.startBackend('plain', {id: 'desk', service: 'bookings', 'answer-ms': 0});
		await hosts.waitForBackends(engineCount + 1);
		await delay(settleMs);
		await measureFirstToken(hosts);
		await measurePlain(hosts);
		await measureStreams(hosts);
	} finally {
		await callerAgent.destroy();
		await hosts.dispose();
	}
}

async function findBackend(hosts: LocalHosts, kind: string): Promise<Backend> {
	const status = await hosts.readStatus();
	return assumeType<Backend[]>(status.backends).find(backend => backend.kind === kind)!;
}

/**
Measures time to first token through an entry host that is not a control replica, and directly. The two kinds of call alternate, so
that both run under the same load of the machine.
*/
async function measureFirstToken(hosts: LocalHosts): Promise<void> {
	const entry = hosts.hosts.at(-1)!.address;
	const {address: engine} = await findBackend(hosts, 'engine');
	await runLanes(overheadLanes, warmUpMs, async position => complete(entry, `warm-up ${position}`, overheadTokens));
	const pairs = await runLanes(overheadLanes, overheadMs, async position => ({
		direct: await complete(engine, `prompt ${position}`, overheadTokens),
		entry: await complete(entry, `prompt ${position}`, overheadTokens),
	}));
	const direct = pairs.map(pair => pair.direct.firstTokenMs);
	const viaEntry = pairs.map(pair => pair.entry.firstTokenMs);
	const rows: Row[] = [0.5, 0.95, 0.99].map(share => {
		const [directValue, entryValue] = [getQuantile(direct, share), getQuantile(viaEntry, share)];
		return {
			quantile: share, directMs: round(directValue), entryMs: round(entryValue), addedMs: round(entryValue - directValue), ratio: round(entryValue / directValue),
		};
	});
	printPart(`time to the first token, ${pairs.length} pairs, ${overheadLanes} lanes`, rows);
}

/** Measures throughput, latency and use of resources of plain requests through one entry host, by number of lanes. */
async function measurePlain(hosts: LocalHosts): Promise<void> {
	const entry = hosts.hosts.at(-1)!;
	const leader = await hosts.findLeader();
	const {address: plainAddress} = await findBackend(hosts, 'plain');
	const rows: Row[] = [];
	for (const lanes of rateLanes) {
		const direct = await runLanes(lanes, rateMs / 2, async () => callPlain(plainAddress, '/stock'));
		const before = {entry: readUsage(entry.child.pid!), leader: readUsage(leader.child.pid!)};
		const calls = await runLanes(lanes, rateMs, async () => callPlain(entry.address, '/v1/services/bookings/stock'));
		const entryRate = getRate(before.entry, readUsage(entry.child.pid!));
		const leaderRate = getRate(before.leader, readUsage(leader.child.pid!));
		const perSecond = calls.length / (rateMs / 1000);
		rows.push({
			lanes,
			directPerS: round(direct.length / (rateMs / 2000)),
			perS: round(perSecond),
			p50Ms: round(getQuantile(calls.map(call => call.durationMs), 0.5)),
			p99Ms: round(getQuantile(calls.map(call => call.durationMs), 0.99)),
			failed: calls.filter(call => !call.isAnswered).length,
			entryCores: round(entryRate.cores),
			leaderCores: round(leaderRate.cores),
			entryCpuMsPerRequest: round(entryRate.cores * 1000 / perSecond),
			leaderCpuMsPerRequest: round(leaderRate.cores * 1000 / perSecond),
			leaderWrittenBytesPerRequest: Math.round(leaderRate.writtenBytes / perSecond),
			leaderDiskBytesPerRequest: Math.round(leaderRate.diskBytes / perSecond),
		});
	}

	printPart('plain requests through one entry', rows);
}

/** Measures the token throughput of one entry host, by number of concurrent streams. */
async function measureStreams(hosts: LocalHosts): Promise<void> {
	const entry = hosts.hosts.at(-1)!;
	const rows: Row[] = [];
	for (const streams of streamCounts) {
		const before = readUsage(entry.child.pid!);
		const startedAt = performance.now();
		const completions = await Promise.all(Array.from({length: streams}, async (_, position) => complete(entry.address, `stream ${streams} ${position}`, streamTokens)));
		const seconds = (performance.now() - startedAt) / 1000;
		const after = readUsage(entry.child.pid!);
		const tokens = completions.reduce((sum, completion) => sum + completion.tokens, 0);
		rows.push({
			streams,
			offeredPerS: Math.round(streams * 1000 / tokenMs),
			tokensPerS: Math.round(tokens / seconds),
			whole: completions.filter(completion => completion.tokens === streamTokens).length,
			entryCores: round(getRate(before, after).cores),
			entryCpuUsPerToken: round((after.cpuMs - before.cpuMs) * 1000 / tokens),
			writtenBytesPerToken: Math.round((after.writtenBytes - before.writtenBytes) / tokens),
			memoryMb: Math.round(after.memoryBytes / 1_000_000),
			firstTokenP99Ms: Math.round(getQuantile(completions.map(completion => completion.firstTokenMs), 0.99)),
		});
		await delay(settleMs);
	}

	printPart(`tokens through one entry, ${streamTokens} tokens a stream`, rows);
}
