/** Records of the account. */

/** What a record says happened. */
export const recordKinds = {
	accepted: 'accepted',
	dispatched: 'dispatched',
	transferred: 'transferred',
	finished: 'finished',
} as const;

/** One of the record kinds. */
export type RecordKind = typeof recordKinds[keyof typeof recordKinds];

/** The facts of one record, before it is chained. */
export type RecordFacts = {
	readonly kind: RecordKind;
	readonly requestId: string;
	/** Index of the log entry that carries the fact. */
	readonly position: number;
	/** Wall time of the control group in milliseconds; it never decreases along the account. */
	readonly controlTime: number;
	/** Wall time of the entry host in milliseconds, as data only. */
	readonly entryTime: number;
	readonly customer: string;
	readonly service: string;
	readonly host: string;
	readonly backend?: string;
	readonly attempt?: number;
	/** How the request ended: `answered`, `notRun`, `unknown` or `failed`. */
	readonly end?: string;
	/** SHA-256 of the request body, or of the answer in a finished record. */
	readonly digest?: string;
	/** Length of the answer in bytes. */
	readonly lengthBytes?: number;
};

/** One record in the chain. */
export type AccountRecord = RecordFacts & {
	readonly sequence: number;
	readonly previousHash: string;
	readonly hash: string;
};

/** The end of a chain. */
export type ChainHead = {
	readonly sequence: number;
	readonly hash: string;
};
