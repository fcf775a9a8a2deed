/** Reports from the audit log: in which order requests were accepted, and how and when they ended. */
import {NotFoundError} from '@mulberrypitch/errors/catalogue';
import {AccountBrokenError} from './chain.js';
import {recordKinds, type AccountRecord, type ChainHead} from './types.js';

/** History of one request in the audit log. */
export type RequestReport = {
	/** Rank among the reported requests by order of acceptance, from 1. */
	readonly place: number;
	readonly requestId: string;
	readonly customer: string;
	readonly service: string;
	/** Sequence number of the record of the request's acceptance. It defines the order of requests. */
	readonly acceptedSequence: number;
	/** Time of acceptance in milliseconds, on the wall clock of the control group. */
	readonly acceptedAt: number;
	/** Back ends to which the request was sent, in order. */
	readonly backends: readonly string[];
	/** Absent while the request has not ended. */
	readonly finish?: RequestFinish;
};

/** Kind of the end of a request. */
export type RequestFinish = {
	/** Sequence number of the record. */
	readonly sequence: number;
	/** Time of the end in milliseconds, on the wall clock of the control group. */
	readonly time: number;
	/** `answered`, `notRun`, `unknown` or `failed`. */
	readonly end: string;
	/** SHA-256 of the response in hex. */
	readonly digest: string;
	readonly lengthBytes: number;
};

/**
Returns reports on the named requests, in the order in which the requests were accepted. Throws `NotFoundError` when the audit log
has no record of one of them.

@example
```
const [first] = createReports(records, ['r1', 'r2']);
```
*/
export function createReports(records: readonly AccountRecord[], requestIds: readonly string[]): RequestReport[] {
	const recordsByRequest = groupRecords(records, new Set(requestIds));
	const missing = requestIds.find(requestId => !recordsByRequest.has(requestId));
	if (missing !== undefined) {
		throw new NotFoundError(`The account has no request ${missing}.`);
	}

	// A map iterates in insertion order, which here is the order of the first records in the log.
	return [...recordsByRequest.values()].map((requestRecords, index) => createReport(requestRecords, index + 1));
}

/**
Checks that the records contain a chain head that was saved outside the audit log. A hash chain alone can't reveal that the end of
the audit log was cut off or that all of it was rewritten. The head of an empty audit log matches any audit log. Throws
`AccountBrokenError` when the records don't contain the head.

@example
```
requireHead(records, {sequence: 17, hash});
```
*/
export function requireHead(records: readonly AccountRecord[], savedHead: ChainHead): void {
	if (savedHead.sequence === 0) {
		return;
	}

	const record = records[savedHead.sequence - 1];
	if (record === undefined) {
		throw new AccountBrokenError(savedHead.sequence, `it ends at record ${records.length}, before the saved chain head`);
	}

	if (record.hash !== savedHead.hash) {
		throw new AccountBrokenError(savedHead.sequence, 'its hash differs from the saved chain head, so the account was rewritten');
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
