/** The follower side of replication: stores the entries and snapshots that a leader sends. */
import {assertInvariant, ProtocolError} from '@mulberrypitch/errors/catalogue';
import type {LogEntry} from '@mulberrypitch/storage/types';
import type {
	AppendReply, AppendRequest, SnapshotReply, SnapshotRequest,
} from './messages.js';
import type {Applier} from './replica-applier.js';
import type {ReplicaLog} from './replica-log.js';
import type {SnapshotKeeper} from './replica-snapshot-keeper.js';

/** Dependencies of a follower. */
export type FollowerOptions = {
	readonly log: ReplicaLog;
	readonly applier: Applier;
	readonly snapshots: SnapshotKeeper;
	/** Runs a change of the log after all changes queued before it. */
	readonly change: <Result>(run: () => Promise<Result>) => Promise<Result>;
	/** Called before the term of a new leader is stored. */
	readonly onNewTerm: (leader: string) => void;
	/** Called when the leader of the current term makes contact. */
	readonly onLeader: (term: number, leader: string) => void;
	/** Called when this replica has all entries that the leader of the current term reports as committed. */
	readonly onCaughtUp: () => void;
};

/** Answers append and snapshot calls of leaders, and adopts the terms of new leaders. */
export class Follower {
	readonly #options: FollowerOptions;

	constructor(options: FollowerOptions) {
		this.#options = options;
	}

	/** Stores entries that match the log, and commits those that the leader reports as committed. */
	async append(request: AppendRequest): Promise<AppendReply> {
		const {log, applier, change} = this.#options;
		return change(async () => {
			const {replicaId} = log.hardState;
			if (request.term < log.hardState.term) {
				return {
					term: log.hardState.term, isMatching: false, index: 0, replicaId,
				};
			}

			// Entries whose write failed are still in memory but must not be acknowledged.
			log.throwIfFailed();
			this.#requireFounders();
			await this.#follow(request);
			const {previousIndex, entries} = request;
			if (previousIndex >= log.baseIndex && log.getTermAt(previousIndex) !== request.previousTerm) {
				return {
					term: log.hardState.term, isMatching: false, index: log.getIndexBeforeTerm(previousIndex), replicaId,
				};
			}

			await this.#storeEntries(entries);
			const index = previousIndex + entries.length;
			applier.commit(Math.min(request.commitIndex, index));
			// Before an entry of its own term is committed, a leader may not know all that earlier ones have committed.
			if (request.commitIndex <= index && log.getTermAt(request.commitIndex) === request.term) {
				this.#options.onCaughtUp();
			}

			return {
				term: log.hardState.term, isMatching: true, index, replicaId,
			};
		});
	}

	/** Adds one part of a snapshot and replies with the offset of the next one. */
	async receiveSnapshot(request: SnapshotRequest): Promise<SnapshotReply> {
		const {log, applier, snapshots, change} = this.#options;
		this.#requireFounders();
		await change(async () => {
			if (request.term >= log.hardState.term) {
				await this.#follow(request);
			}
		});
		const {term, replicaId} = log.hardState;
		const isInstalled = applier.commitIndex >= request.index;
		const offset = isInstalled || request.term < term ? 0 : snapshots.addPart(request);
		return {
			term, replicaId, offset, isInstalled,
		};
	}

	/** Throws `ProtocolError` while the founders are not known, so that no entry is committed with the help of such a replica. */
	#requireFounders(): void {
		if (this.#options.log.hardState.founders === undefined) {
			throw new ProtocolError('This replica does not know the founders of its group yet.');
		}
	}

	async #follow({term, leader}: {readonly term: number; readonly leader: string}): Promise<void> {
		const {log, onNewTerm, onLeader} = this.#options;
		if (term > log.hardState.term) {
			onNewTerm(leader);
			await log.saveTerm(term);
		}

		onLeader(term, leader);
	}

	async #storeEntries(entries: readonly LogEntry[]): Promise<void> {
		const {log, applier} = this.#options;
		const firstNewPosition = entries.findIndex(({index, term}) => index > log.baseIndex && log.getTermAt(index) !== term);
		if (firstNewPosition === -1) {
			return;
		}

		const newEntries = entries.slice(firstNewPosition);
		const {index} = newEntries[0]!;
		if (index <= log.lastIndex) {
			assertInvariant(index > applier.commitIndex, `Committed entry ${index} would be replaced.`);
			await log.truncate(index);
		}

		await log.append(newEntries);
	}
}
