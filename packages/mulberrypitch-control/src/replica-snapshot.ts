/** Moves a snapshot from a leader to a follower in parts, and the account records that the follower missed. */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {verifyChain} from '@mulberrypitch/account/chain';
import type {AccountRecord, ChainHead} from '@mulberrypitch/account/types';
import {InvariantError} from '@mulberrypitch/errors/catalogue';
import type {Snapshot} from '@mulberrypitch/storage/types';
import type {SnapshotRequest} from './messages.js';

const chunkLength = 512 * 1024;

/** The account of one replica. */
export type RecordStore = {
	append(records: readonly AccountRecord[]): void;
	/** Resolves when all records are durable. */
	sync(): Promise<void>;
	read(fromSequence: number, count: number): readonly AccountRecord[];
	getHead(): ChainHead;
};

/** Cuts one snapshot into parts. */
export class SnapshotSource {
	readonly snapshot: Snapshot;
	readonly #text: string;

	constructor(snapshot: Snapshot) {
		this.snapshot = snapshot;
		this.#text = JSON.stringify(snapshot.state);
	}

	/** Gives the part that begins at an offset; it is empty at the end. */
	createRequest(offset: number, call: {readonly group: string; readonly term: number; readonly leader: string}): SnapshotRequest {
		const {
			index, term, time, members, head,
		} = this.snapshot;
		return {
			...call, index, snapshotTerm: term, time, members, head, offset, length: this.#text.length, data: this.#text.slice(offset, offset + chunkLength),
		};
	}
}

/** Puts the parts of one snapshot together. */
export class SnapshotTarget {
	readonly #first: SnapshotRequest;
	#text = '';

	constructor(first: SnapshotRequest) {
		this.#first = first;
	}

	/** Characters received so far. */
	get offset(): number {
		return this.#text.length;
	}

	get isComplete(): boolean {
		return this.#text.length === this.#first.length;
	}

	/** Tells whether a part belongs to the same text; another leader's text of the same index may be another one. */
	isPart({index, term, leader}: SnapshotRequest): boolean {
		return index === this.#first.index && term === this.#first.term && leader === this.#first.leader;
	}

	/** Takes a part; one that does not follow is left out, and the reply's offset asks for the right one. */
	add(part: SnapshotRequest): void {
		if (part.offset === this.#text.length) {
			this.#text += part.data;
		}
	}

	createSnapshot(): Snapshot {
		const {
			index, snapshotTerm, time, members, head,
		} = this.#first;
		return {
			index, term: snapshotTerm, time, members, head, state: assumeType<unknown>(JSON.parse(this.#text)),
		};
	}
}

/**
Brings an account up to a head. Records that don't continue its chain are refused.

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
			throw new InvariantError(`Account record ${before.sequence + 1} is missing at the leader.`);
		}
	}

	if (head.sequence > 0 && account.read(head.sequence, 1)[0]?.hash !== head.hash) {
		throw new InvariantError(`Account record ${head.sequence} differs from the one that the state names.`);
	}

	await account.sync();
}
