/** Transfers a snapshot from a leader to a follower in parts, together with the audit records that the follower lacks. */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {verifyChain} from '@mulberrypitch/account/chain';
import type {AccountRecord, ChainHead} from '@mulberrypitch/account/types';
import {InvariantError} from '@mulberrypitch/errors/catalogue';
import type {Snapshot} from '@mulberrypitch/storage/types';
import type {SnapshotRequest} from './messages.js';

/** Largest length of a snapshot part in characters. */
const maxChunkLength = 512 * 1024;

/** The stored audit log of one replica. */
export type RecordStore = {
	/** Appends records. Skips those that are already stored. */
	append(records: readonly AccountRecord[]): void;
	/** Resolves when all records are durable. */
	sync(): Promise<void>;
	/** Returns up to `count` records from a sequence number on. */
	read(fromSequence: number, count: number): readonly AccountRecord[];
	/** Returns the sequence number and hash of the last record. */
	getHead(): ChainHead;
};

/** Splits a snapshot into parts. */
export class SnapshotSource {
	readonly snapshot: Snapshot;
	readonly #text: string;

	constructor(snapshot: Snapshot) {
		this.snapshot = snapshot;
		this.#text = JSON.stringify(snapshot.state);
	}

	/** Returns the part that starts at an offset. The part is empty at the end of the snapshot. */
	createRequest(offset: number, call: {readonly group: string; readonly term: number; readonly leader: string}): SnapshotRequest {
		const {
			index, term, time, members, head,
		} = this.snapshot;
		return {
			...call, index, snapshotTerm: term, time, members, head, offset, length: this.#text.length, data: this.#text.slice(offset, offset + maxChunkLength),
		};
	}
}

/** Assembles the parts of a snapshot. */
export class SnapshotTarget {
	readonly #firstPart: SnapshotRequest;
	#text = '';

	constructor(first: SnapshotRequest) {
		this.#firstPart = first;
	}

	/** Number of characters received so far. */
	get offset(): number {
		return this.#text.length;
	}

	/** Whether all parts were received. */
	get isComplete(): boolean {
		return this.#text.length === this.#firstPart.length;
	}

	/**
	Reports whether a part belongs to this snapshot's text. Leaders may serialize the state of the same index differently, so
	the leader and its term have to match too.
	*/
	isPart({index, term, leader}: SnapshotRequest): boolean {
		return index === this.#firstPart.index && term === this.#firstPart.term && leader === this.#firstPart.leader;
	}

	/** Adds a part. A part at another offset is ignored, and the offset in the reply requests the right one. */
	add(part: SnapshotRequest): void {
		if (part.offset === this.#text.length) {
			this.#text += part.data;
		}
	}

	/** Returns the snapshot. All parts must have been received. */
	createSnapshot(): Snapshot {
		const {
			index, snapshotTerm, time, members, head,
		} = this.#firstPart;
		return {
			index, term: snapshotTerm, time, members, head, state: assumeType<unknown>(JSON.parse(this.#text)),
		};
	}
}

/**
Reads the missing audit records up to a chain head and stores them. Throws if the records do not continue the hash chain.

@example
```
await fetchRecords(account, snapshot.head, async from => readFromLeader(from));
```
*/
export async function fetchRecords(account: RecordStore, head: ChainHead, read: (from: number) => Promise<readonly AccountRecord[]>): Promise<void> {
	while (account.getHead().sequence < head.sequence) {
		const before = account.getHead();
		const records = await read(before.sequence + 1);
		verifyChain(records, before);
		account.append(records);
		if (account.getHead().sequence === before.sequence) {
			throw new InvariantError(`Audit record ${before.sequence + 1} is missing on the leader.`);
		}
	}

	if (head.sequence > 0 && account.read(head.sequence, 1)[0]?.hash !== head.hash) {
		throw new InvariantError(`Audit record ${head.sequence} differs from the hash in the snapshot.`);
	}

	await account.sync();
}
