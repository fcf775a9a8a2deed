/** Verification of the hash chain. */
import t from 'tap';
import {createRecord, emptyHead, verifyChain} from '../chain.js';
import type {AccountRecord, RecordFacts} from '../types.js';

const createFacts = (position: number): RecordFacts => ({
	kind: 'accepted', requestId: `r${position}`, position, controlTime: position, entryTime: 0, customer: 'c', service: 's', host: 'h',
});

function createRecords(): AccountRecord[] {
	const first = createRecord(emptyHead, createFacts(1));
	const second = createRecord(first, createFacts(2));
	return [first, second, createRecord(second, createFacts(3))];
}

await t.test('verifies an untouched account', async t => {
	const records = createRecords();
	t.equal(verifyChain(records).hash, records[2]!.hash);
});

await t.test('detects a changed record', async t => {
	const records = createRecords();
	t.throws(() => verifyChain([records[0]!, {...records[1]!, customer: 'x'}, records[2]!]), {code: 'account_broken', details: {sequence: 2}});
});

await t.test('detects a missing record', async t => {
	const records = createRecords();
	t.throws(() => verifyChain([records[0]!, records[2]!]), {code: 'account_broken', details: {sequence: 3}});
});

await t.test('detects two swapped records', async t => {
	const records = createRecords();
	t.throws(() => verifyChain([records[1]!, records[0]!, records[2]!]), {code: 'account_broken'});
});
