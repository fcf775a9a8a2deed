/** The hash chain of the account. */
import {createHash} from 'node:crypto';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import type {AccountRecord, ChainHead, RecordFacts} from './types.js';

/** The head of an empty account. */
export const emptyHead: ChainHead = {sequence: 0, hash: '0'.repeat(64)};

/** An account that does not hold up, with the record where it breaks. */
export class AccountBrokenError extends CodedError {
	override readonly name = 'AccountBrokenError';

	constructor(sequence: number, reason: string) {
		super('account_broken', `The account breaks at record ${sequence}: ${reason}.`, 'Compare with the copy of another control host and with the chain head you keep.', {details: {sequence}});
	}
}

/**
Chains one record to a head.

@example
```
const record = createRecord(emptyHead, facts);
```
*/
export function createRecord(head: ChainHead, facts: RecordFacts): AccountRecord {
	const body = {...facts, sequence: head.sequence + 1, previousHash: head.hash};
	return {...body, hash: getRecordHash(body)};
}

/**
Checks a run of records and gives its head. Throws `AccountBrokenError` at the first record that does not fit.

@example
```
const head = verifyChain(records, emptyHead);
```
*/
export function verifyChain(records: readonly AccountRecord[], start: ChainHead = emptyHead): ChainHead {
	let head = start;
	let previous: AccountRecord | undefined;
	for (const record of records) {
		verifyRecord(record, head, previous);
		head = {sequence: record.sequence, hash: record.hash};
		previous = record;
	}

	return head;
}

function verifyRecord(record: AccountRecord, head: ChainHead, previous: AccountRecord | undefined): void {
	const {hash, ...body} = record;
	if (record.sequence !== head.sequence + 1) {
		throw new AccountBrokenError(record.sequence, `record ${head.sequence + 1} is missing`);
	}

	if (record.previousHash !== head.hash) {
		throw new AccountBrokenError(record.sequence, 'it does not follow the record before it');
	}

	if (getRecordHash(body) !== hash) {
		throw new AccountBrokenError(record.sequence, 'its content was changed');
	}

	if (previous !== undefined && record.controlTime < previous.controlTime) {
		throw new AccountBrokenError(record.sequence, 'its time is before the record before it');
	}

	if (previous !== undefined && record.position < previous.position) {
		throw new AccountBrokenError(record.sequence, 'its place in the log is before the record before it');
	}
}

function getRecordHash(body: Omit<AccountRecord, 'hash'>): string {
	const canonical = JSON.stringify(Object.entries(body)
		.filter(([, value]) => value !== undefined)
		.toSorted(([left], [right]) => left < right ? -1 : 1));
	return createHash('sha256').update(canonical).digest('hex');
}
