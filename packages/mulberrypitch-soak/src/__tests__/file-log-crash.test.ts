/** The write-ahead log survives a power loss at every operation of the disk. */
import t from 'tap';
import {MemoryDisk} from '@mulberrypitch/fakes/memory-disk';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {FileLog} from '@mulberrypitch/storage/file-log';
import type {LogEntry, StoredLog} from '@mulberrypitch/storage/types';

const folder = '/data/log';
const seedsPerOperation = 20;
const createEntry = (index: number, term: number): LogEntry => ({
	index, term, time: index, command: {kind: 'leaderStarted', leader: 'a'},
});

/** What the log acknowledged, and its entries after the change in progress. */
type Acknowledged = {
	term: number;
	snapshotIndex: number;
	entries: LogEntry[];
	next: LogEntry[];
};

async function writeLog(log: FileLog, known: Acknowledged): Promise<void> {
	await log.load();
	await log.saveHardState({replicaId: 'r', term: 1});
	known.term = 1;
	for (const [first, term] of [[1, 1], [3, 2], [5, 2]] as const) {
		const entries = [createEntry(first, term), createEntry(first + 1, term)];
		known.next = [...known.entries, ...entries];
		await log.append(entries);
		known.entries = known.next;
	}

	known.next = known.entries.slice(0, 5);
	await log.truncate(6);
	known.entries = known.next;
	await log.saveSnapshot({
		index: 4, term: 2, time: 4, members: {a: 'r'}, head: {sequence: 0, hash: ''}, state: 'whole',
	});
	known.snapshotIndex = 4;
	known.next = [...known.entries, createEntry(6, 3)];
	await log.append([createEntry(6, 3)]);
	known.entries = known.next;
}

function hasEntries(stored: StoredLog, entries: readonly LogEntry[]): boolean {
	const from = stored.snapshot?.index ?? 0;
	return JSON.stringify(stored.entries) === JSON.stringify(entries.filter(({index}) => index > from));
}

/** Reports whether a power loss at some point of the change in progress can leave these entries. */
function isAllowed(stored: StoredLog, {entries, next}: Acknowledged): boolean {
	const low = Math.min(entries.length, next.length);
	const high = Math.max(entries.length, next.length);
	const longer = next.length > entries.length ? next : entries;
	return Array.from({length: high - low + 1}, (_, extra) => longer.slice(0, low + extra)).some(possible => hasEntries(stored, possible));
}

async function crashAt(operation: number, seed: number): Promise<{isOver: boolean; failure?: string}> {
	const disk = new MemoryDisk(new VirtualClock(), new SeededRandom(seed));
	disk.crashAtOperation = operation;
	const known: Acknowledged = {
		term: 0, snapshotIndex: 0, entries: [], next: [],
	};
	try {
		await writeLog(new FileLog(folder, disk.open()), known);
		return {isOver: true};
	} catch {
		disk.crashAtOperation = Number.POSITIVE_INFINITY;
	}

	const stored = await new FileLog(folder, disk.open()).load();
	if ((stored.hardState?.term ?? 0) < known.term || (stored.snapshot?.index ?? 0) < known.snapshotIndex) {
		return {isOver: false, failure: 'hard state or snapshot lost'};
	}

	return isAllowed(stored, known) ? {isOver: false} : {isOver: false, failure: JSON.stringify({stored, known})};
}

await t.test('a power loss at any operation loses no acknowledged data', async t => {
	let operation = 1;
	for (let isOver = false; !isOver; operation += 1) {
		for (let seed = 1; seed <= seedsPerOperation; seed += 1) {
			const result = await crashAt(operation, seed);
			isOver ||= result.isOver;
			if (result.failure !== undefined) {
				t.fail(`operation ${operation}, seed ${seed}: ${result.failure}`);
				return;
			}
		}
	}

	t.ok(operation > 20);
});

for (const fault of ['isFull', 'isSyncFailing'] as const) {
	await t.test(`rejects every change after a failure: ${fault}`, async t => {
		const disk = new MemoryDisk(new VirtualClock(), new SeededRandom(1));
		const log = new FileLog(folder, disk.open());
		await log.load();
		await log.append([createEntry(1, 1)]);
		disk.faults[fault] = true;
		await t.rejects(log.append([createEntry(2, 1)]), {code: 'storage'});
		disk.faults[fault] = false;
		await t.rejects(log.append([createEntry(2, 1)]), {code: 'storage'});
		disk.crash();
		const {entries} = await new FileLog(folder, disk.open()).load();
		t.equal(entries[0]!.index, 1);
	});
}

await t.test('entries that were loaded after a restart of the process survive a later power loss', async t => {
	for (let seed = 1; seed <= seedsPerOperation; seed += 1) {
		const disk = new MemoryDisk(new VirtualClock(), new SeededRandom(seed));
		const first = new FileLog(folder, disk.open());
		await first.load();
		await first.append([createEntry(1, 1)]);
		disk.faults.isSyncFailing = true;
		await t.rejects(first.append([createEntry(2, 1)]));
		disk.faults.isSyncFailing = false;
		const second = new FileLog(folder, disk.open());
		const {entries} = await second.load();
		await second.append([createEntry(entries.length + 1, 2)]);
		disk.crash();
		const stored = await new FileLog(folder, disk.open()).load();
		t.equal(stored.entries.length, entries.length + 1, `seed ${seed}`);
	}
});
