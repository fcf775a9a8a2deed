/** `FileLog` on a real disk. */
import {
	appendFileSync, readdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import t from 'tap';
import {FileLog} from '../file-log.js';
import {NodeDisk} from '../node-disk.js';

const createEntry = (index: number, term = 1) => ({
	index, term, time: index, command: {kind: 'leaderStarted', leader: `n${index}`},
});

async function createSegment(folder: string): Promise<string> {
	const log = new FileLog(folder, new NodeDisk());
	await log.load();
	await log.append([createEntry(1), createEntry(2), createEntry(3)]);
	await log.dispose();
	return path.join(folder, readdirSync(folder).find(name => name.endsWith('.segment'))!);
}

await t.test('loads what was appended, truncated and appended again', async t => {
	const folder = t.testdir();
	const log = new FileLog(folder, new NodeDisk());
	await log.load();
	await log.append([createEntry(1), createEntry(2)]);
	await log.truncate(2);
	await log.append([createEntry(2, 3)]);
	await log.dispose();
	const {entries} = await new FileLog(folder, new NodeDisk()).load();
	t.same(entries, [createEntry(1), createEntry(2, 3)]);
});

await t.test('leaves out a torn write at the end', async t => {
	const folder = t.testdir();
	appendFileSync(await createSegment(folder), '0000abcd {"index":4,"te');
	const {entries} = await new FileLog(folder, new NodeDisk()).load();
	t.equal(entries.length, 3);
});

await t.test('refuses damage in the middle and names the file', async t => {
	const folder = t.testdir();
	const file = await createSegment(folder);
	writeFileSync(file, readFileSync(file, 'utf8').replace('n2', 'x2'));
	await t.rejects(new FileLog(folder, new NodeDisk()).load(), {code: 'corrupt_log', details: {file}});
});
