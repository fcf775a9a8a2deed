/** Hash chain of the audit log (the account): each record contains the hash of the previous one. */
import {createHash} from 'node:crypto';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import type {AccountRecord, ChainHead, RecordFacts} from './types.js';

/** The chain head of an empty audit log. */
export const emptyHead: ChainHead = {sequence: 0, hash: '0'.repeat(64)};

/** Thrown when verification of an audit log fails. `details.sequence` is the sequence number of the first record that fails. */
export class AccountBrokenError extends CodedError {
	override readonly name = 'AccountBrokenError';

	constructor(sequence: number, reason: string) {
		super('account_broken', `The account breaks at record ${sequence}: ${reason}.`, 'Compare it with the copy on another control host and with your saved chain head.', {details: {sequence}});
	}
}

/**
Returns a record with the given content that follows a chain head.

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
Verifies consecutive records that follow the chain head `start`, and returns the head after them. Throws `AccountBrokenError` at
the first record whose sequence number, previous hash, hash, time or log position is wrong.

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
		throw new AccountBrokenError(record.sequence, 'its previous hash is not the hash of the previous record');
	}

	if (getRecordHash(body) !== hash) {
		throw new AccountBrokenError(record.sequence, 'its content does not match its hash');
	}

	if (previous !== undefined && record.controlTime < previous.controlTime) {
		throw new AccountBrokenError(record.sequence, 'its time is earlier than that of the previous record');
	}

	if (previous !== undefined && record.position < previous.position) {
		throw new AccountBrokenError(record.sequence, 'its log position is lower than that of the previous record');
	}
}

function getRecordHash(body: Omit<AccountRecord, 'hash'>): string {
	const canonical = JSON.stringify(Object.entries(body)
		.filter(([, value]) => value !== undefined)
		.toSorted(([left], [right]) => left < right ? -1 : 1));
	return createHash('sha256').update(canonical).digest('hex');
}
