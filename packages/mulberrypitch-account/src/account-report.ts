/** Answers from the account: who was first, with what answer, and when. */
import {NotFoundError} from '@mulberrypitch/errors/catalogue';
import {AccountBrokenError} from './chain.js';
import {recordKinds, type AccountRecord, type ChainHead} from './types.js';

/** What the account says of one request. */
export type RequestReport = {
	/** Place among the requests asked for, from 1 for the first one accepted. */
	readonly place: number;
	readonly requestId: string;
	readonly customer: string;
	readonly service: string;
	/** Sequence of the record that accepted the request; the order of record. */
	readonly acceptedSequence: number;
	readonly acceptedAt: number;
	/** Back ends that it was sent to, in order. */
	readonly backends: readonly string[];
	readonly finish?: RequestFinish;
};

/** How a request ended. */
export type RequestFinish = {
	readonly sequence: number;
	readonly time: number;
	readonly end: string;
	/** SHA-256 of the answer in hex. */
	readonly digest: string;
	readonly lengthBytes: number;
};

/**
Reports on requests in the order in which they were accepted.

@example
```
const [first] = createReports(records, ['r1', 'r2']);
```
*/
export function createReports(records: readonly AccountRecord[], requestIds: readonly string[]): RequestReport[] {
	const recordsOf = groupRecords(records, new Set(requestIds));
	const missing = requestIds.find(requestId => !recordsOf.has(requestId));
	if (missing !== undefined) {
		throw new NotFoundError(`The account has no request ${missing}.`);
	}

	// Groups come in the order of their first records, which is the order of the log.
	return [...recordsOf.values()].map((own, index) => createReport(own, index + 1));
}

/**
Compares the records with a chain head that was kept apart from them. A head of an empty account fits any account.

@example
```
requireHead(records, {sequence: 17, hash});
```
*/
export function requireHead(records: readonly AccountRecord[], kept: ChainHead): void {
	if (kept.sequence === 0) {
		return;
	}

	const record = records[kept.sequence - 1];
	if (record === undefined) {
		throw new AccountBrokenError(kept.sequence, `it ends at record ${records.length}, before the head you keep`);
	}

	if (record.hash !== kept.hash) {
		throw new AccountBrokenError(kept.sequence, 'it is not the one you keep the head of, so the account was rewritten');
	}
}

function groupRecords(records: readonly AccountRecord[], requestIds: ReadonlySet<string>): Map<string, AccountRecord[]> {
	const groups = new Map<string, AccountRecord[]>();
	for (const record of records) {
		const {requestId} = record;
		if (requestIds.has(requestId)) {
			groups.set(requestId, [...groups.get(requestId) ?? [], record]);
		}
	}

	return groups;
}

function createReport(records: readonly AccountRecord[], place: number): RequestReport {
	const first = records[0]!;
	const finished = records.find(({kind}) => kind === recordKinds.finished);
	return {
		place,
		requestId: first.requestId,
		customer: first.customer,
		service: first.service,
		acceptedSequence: first.sequence,
		acceptedAt: first.controlTime,
		backends: records.flatMap(({kind, backend}) => kind === recordKinds.dispatched && backend !== undefined ? [backend] : []),
		...(finished !== undefined && {finish: createFinish(finished)}),
	};
}

function createFinish(record: AccountRecord): RequestFinish {
	return {
		sequence: record.sequence,
		time: record.controlTime,
		end: record.end ?? '',
		digest: record.digest ?? '',
		lengthBytes: record.lengthBytes ?? 0,
	};
}
