/** Reports from the audit log, and detection of rewritten, truncated, reordered and damaged audit logs. */
import {
	appendFileSync, readdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import t from 'tap';
import {codes} from '@mulberrypitch/errors/catalogue';
import {FileLog} from '@mulberrypitch/storage/file-log';
import {NodeDisk} from '@mulberrypitch/storage/node-disk';
import {readAccountFolder} from '../account-folder.js';
import {createReports, requireHead} from '../account-report.js';
import {AccountStore} from '../account-store.js';
import {createRecord, emptyHead, verifyChain} from '../chain.js';
import type {AccountRecord, RecordFacts} from '../types.js';

function createChain(facts: ReadonlyArray<Partial<RecordFacts>>): AccountRecord[] {
	const records: AccountRecord[] = [];
	for (const [index, recordFacts] of facts.entries()) {
		records.push(createRecord(records.at(-1) ?? emptyHead, {
			kind: 'accepted', requestId: 'r1', position: index + 1, controlTime: 1000, entryTime: 0, customer: 'clinic', service: 'advice', host: 'h', ...recordFacts,
		}));
	}

	return records;
}

const records = createChain([
	{requestId: 'r2', customer: 'school', entryTime: 900},
	{requestId: 'r1', entryTime: 100},
	{
		requestId: 'r1', kind: 'dispatched', backend: 'engine', attempt: 1,
	},
	{
		requestId: 'r1', kind: 'finished', end: 'answered', digest: 'abc', lengthBytes: 5, controlTime: 3000,
	},
]);

async function writeAccount(folder: string, written: readonly AccountRecord[]): Promise<void> {
	const store = new AccountStore(new FileLog(path.join(folder, 'main', 'account'), new NodeDisk()));
	await store.load();
	store.append(written);
	await store.dispose();
}

await t.test('requests are reported in the order of the log, whatever the clocks of the hosts show', t => {
	t.match(createReports(records, ['r1', 'r2']), [
		{
			place: 1, requestId: 'r2', customer: 'school', acceptedSequence: 1,
		},
		{
			place: 2, requestId: 'r1', acceptedSequence: 2, backends: ['engine'], finish: {
				end: 'answered', digest: 'abc', lengthBytes: 5, time: 3000,
			},
		},
	]);
	t.throws(() => createReports(records, ['r3']), {code: codes.notFound, message: /r3/v});
	t.end();
});

await t.test('a saved chain head reveals an account that was rewritten with a valid chain, or truncated', t => {
	const savedHead = records[2]!;
	const rewritten = createChain(records.map(({sequence, previousHash, hash, ...facts}) => ({...facts, customer: 'another'})));
	t.equal(verifyChain(rewritten).sequence, 4, 'the rewritten chain itself is valid');
	t.throws(() => {
		requireHead(rewritten, savedHead);
	}, {code: 'account_broken', message: /rewritten/v});
	t.throws(() => {
		requireHead(records.slice(0, 2), savedHead);
	}, {code: 'account_broken', message: /ends at record 2/v});
	t.doesNotThrow(() => {
		requireHead(records, savedHead);
	});
	t.end();
});

await t.test('detects records that are not in the order of the log', t => {
	t.throws(() => verifyChain(createChain([{position: 2}, {position: 1}])), {code: 'account_broken', message: /log position is lower/v});
	t.end();
});

await t.test('reads the data folder without changing it, even after a torn write', async t => {
	const folder = t.testdir();
	await writeAccount(folder, records);
	const account = path.join(folder, 'main', 'account');
	const segment = path.join(account, readdirSync(account)[0]!);
	appendFileSync(segment, 'torn');
	const before = readFileSync(segment);
	const read = await readAccountFolder(folder, 'main', new NodeDisk());
	t.same(verifyChain(read).hash, records.at(-1)!.hash);
	t.same(readFileSync(segment), before);
	await t.rejects(readAccountFolder(folder, 'other', new NodeDisk()), {code: codes.settings});
});

await t.test('detects changed bytes in the data folder', async t => {
	const folder = t.testdir();
	await writeAccount(folder, records);
	const account = path.join(folder, 'main', 'account');
	const segment = path.join(account, readdirSync(account)[0]!);
	writeFileSync(segment, readFileSync(segment).toString('latin1').replace('school', 'clinic'), 'latin1');
	await t.rejects(readAccountFolder(folder, 'main', new NodeDisk()), {code: codes.corruptLog});
});
