/** Types of audit records. The audit log is also called the account. */

/** Kinds of audit records, one for each step of a request. */
export const recordKinds = {
	accepted: 'accepted',
	dispatched: 'dispatched',
	transferred: 'transferred',
	finished: 'finished',
} as const;

/** One of the record kinds. */
export type RecordKind = typeof recordKinds[keyof typeof recordKinds];

/** Content of an audit record before it is added to the hash chain. */
export type RecordFacts = {
	readonly kind: RecordKind;
	readonly requestId: string;
	/** Index of the entry in the replicated log from which the record was made. */
	readonly position: number;
	/** Wall time of the control group in milliseconds. It never decreases along the audit log. */
	readonly controlTime: number;
	/** Wall time of the entry host in milliseconds. It is informational and has no influence on the order of records. */
	readonly entryTime: number;
	readonly customer: string;
	readonly service: string;
	/** Host that is responsible for the request after this step. */
	readonly host: string;
	readonly backend?: string;
	/** Number of the attempt, in a dispatched record. */
	readonly attempt?: number;
	/** End of the request: `answered`, `notRun`, `unknown` or `failed`. */
	readonly end?: string;
	/** SHA-256 of the request body, or of the response in a finished record. */
	readonly digest?: string;
	/** Length of the response in bytes. */
	readonly lengthBytes?: number;
};

/** One record in the hash chain. `hash` covers all other fields, `previousHash` included. */
export type AccountRecord = RecordFacts & {
	readonly sequence: number;
	readonly previousHash: string;
	readonly hash: string;
};

/** Sequence number and hash of the last record of a chain. The sequence number of an empty chain is 0. */
export type ChainHead = {
	readonly sequence: number;
	readonly hash: string;
};
