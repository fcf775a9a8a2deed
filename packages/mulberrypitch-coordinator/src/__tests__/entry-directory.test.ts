/** Tests what the directory of entries tells of them, and that it costs the same for many entries as for few. */
import fc from 'fast-check';
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import type {BackendLoad, EntryStatus} from '@mulberrypitch/serving/view-messages';
import {EntryDirectory} from '../entry-directory.js';

type Loads = Readonly<Record<string, BackendLoad>>;

/** Time in milliseconds after which an entry without a status is no longer told of. */
const timeoutMs = 1500;
const maxPeers = 8;

function createStatus(entry: number, loads: Loads = {}, isReady = true): EntryStatus {
	return assumeType<EntryStatus>({
		name: `e-${entry}`,
		incarnation: 'first',
		upMs: 10_000,
		address: `e-${entry}:80`,
		zone: 'z',
		isReady,
		loads,
		pressure: {},
		spent: {},
		usage: [],
		crashes: {charges: [], answered: [], quarantined: []},
	});
}

/** Returns the sums of loads as they are by definition. */
function sumLoads(statuses: readonly EntryStatus[]): Loads {
	const sums: Record<string, BackendLoad> = {};
	for (const {loads} of statuses) {
		for (const [backend, {requests, pendingTokens}] of Object.entries(loads)) {
			const {requests: others = 0, pendingTokens: othersTokens = 0} = sums[backend] ?? {};
			sums[backend] = {requests: others + requests, pendingTokens: othersTokens + pendingTokens};
		}
	}

	return Object.fromEntries(Object.entries(sums).filter(([, {requests, pendingTokens}]) => requests + pendingTokens > 0));
}

const loadSchema = fc.record({requests: fc.nat({max: 5}), pendingTokens: fc.nat({max: 1000})});
const reportSchema = fc.record({
	entry: fc.nat({max: 4}), afterMs: fc.nat({max: 800}), isReady: fc.boolean(), loads: fc.dictionary(fc.constantFrom('b-1', 'b-2', 'b-3'), loadSchema),
});

// Guards against sums that drift from the loads of the entries as these come, go and fall silent.
await t.test('loads, numbers and peers are those of the last recent statuses, whatever came before', async t => {
	await fc.assert(fc.asyncProperty(fc.array(reportSchema, {maxLength: 40}), async reports => {
		const clock = new VirtualClock();
		const directory = new EntryDirectory(clock);
		const last = new Map<string, {readonly status: EntryStatus; readonly at: number}>();
		for (const {entry, afterMs, isReady, loads} of reports) {
			await clock.runFor(afterMs);
			const status = createStatus(entry, loads, isReady);
			directory.update(status);
			last.set(status.name, {status, at: clock.now()});
			const recent = [...last.values()].filter(({at}) => at >= clock.now() - timeoutMs).map(known => known.status);
			t.equal(directory.count, recent.length);
			t.strictSame(directory.getLoads(), sumLoads(recent));
			for (const {name} of recent) {
				const others = recent.filter(other => other.name !== name);
				t.strictSame(directory.getLoads(name), sumLoads(others));
				t.strictSame(new Set(directory.getPeers(name, maxPeers)), new Set(others.filter(other => other.isReady).map(({address}) => address)));
			}
		}
	}), {numRuns: 60, seed: 35});
});

/** Counts how often fields of statuses are read while one entry among many reports and is told of the others. */
async function countReads(entries: number): Promise<number> {
	const clock = new VirtualClock();
	const directory = new EntryDirectory(clock);
	let reads = 0;
	const observe = (status: EntryStatus) => new Proxy(status, {
		get(target, key) {
			reads += 1;
			return Reflect.get(target, key) as unknown;
		},
	});
	for (let entry = 0; entry < entries; entry += 1) {
		directory.update(observe(createStatus(entry, {[`b-${entry % 10}`]: {requests: 1, pendingTokens: 10}})));
	}

	directory.getPeers('e-0', maxPeers);
	await clock.runFor(100);
	reads = 0;
	directory.update(observe(createStatus(0, {'b-1': {requests: 2, pendingTokens: 20}})));
	directory.getLoads('e-0');
	directory.getOthersSpent('e-0');
	directory.getLimitShares('e-0');
	directory.getPeers('e-0', maxPeers);
	t.equal(directory.count, entries);
	return reads;
}

// Guards against coordinators whose processor time grows with the square of the number of entries.
await t.test('a poll reads as much with 300 entries as with 30', async t => {
	t.equal(await countReads(300), await countReads(30));
});

// Guards against statuses that are passed on again and again while nothing new has come.
await t.test('only statuses since a time are passed on to other coordinators', async t => {
	const clock = new VirtualClock();
	const directory = new EntryDirectory(clock);
	directory.update(createStatus(1));
	directory.merge(createStatus(2));
	await clock.runFor(100);
	directory.update(createStatus(3));
	t.strictSame(directory.getLocalStatuses(clock.now()).map(({name}) => name), ['e-3']);
	t.strictSame(directory.getLocalStatuses().map(({name}) => name), ['e-1', 'e-3']);
});
