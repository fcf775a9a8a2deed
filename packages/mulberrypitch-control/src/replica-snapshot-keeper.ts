/** The snapshots of one replica: installs those that a leader sends and creates its own to compact the log. */
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {StorageError, TimeoutError} from '@mulberrypitch/errors/catalogue';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {LogEntry, Snapshot} from '@mulberrypitch/storage/types';
import type {RecordsReply, SnapshotRequest} from './messages.js';
import type {Applier} from './replica-applier.js';
import type {ReplicaLog} from './replica-log.js';
import {fetchRecords, SnapshotTarget, type RecordStore} from './replica-snapshot.js';
import type {StateMachine} from './types.js';

/** Dependencies of a snapshot keeper. */
export type SnapshotKeeperOptions = {
	readonly log: ReplicaLog;
	readonly applier: Applier;
	readonly machine: StateMachine;
	readonly account: RecordStore;
	readonly logger: Logger;
	/** Number of entries applied between two snapshots. */
	readonly intervalEntries: number;
	/** Runs a change of the log after all changes queued before it. */
	readonly change: (run: () => Promise<void>) => Promise<void>;
	/** Reads audit records from the leader, starting at a sequence number. */
	readonly readRecords: (leader: string, from: number) => Promise<RecordsReply['records']>;
};

/** Receives at most one snapshot and saves at most one snapshot at a time. */
export class SnapshotKeeper {
	readonly #options: SnapshotKeeperOptions;
	#incoming: SnapshotTarget | undefined;
	#isInstalling = false;
	#compacting: Promise<void> | undefined;

	constructor(options: SnapshotKeeperOptions) {
		this.#options = options;
	}

	/** Adds a part of a leader's snapshot and returns the next offset. Installs the snapshot once it is complete. */
	addPart(request: SnapshotRequest): number {
		if (this.#incoming?.isPart(request) !== true) {
			this.#incoming = new SnapshotTarget(request);
		}

		const target = this.#incoming;
		target.add(request);
		if (target.isComplete && !this.#isInstalling) {
			this.#isInstalling = true;
			void this.#install(target.createSnapshot(), request.leader);
		}

		return target.offset;
	}

	/** Starts to save a snapshot after an applied entry if `intervalEntries` were applied since the last snapshot. */
	compactIfDue({index, term, time}: LogEntry): void {
		const {log, machine, intervalEntries} = this.#options;
		const lastSnapshot = log.snapshot?.index ?? 0;
		if (this.#compacting !== undefined || log.hasFailed || index - lastSnapshot < intervalEntries) {
			return;
		}

		this.#compacting = this.#compact({
			index, term, time, members: log.getMembersAt(index), head: machine.head, state: machine.capture(),
		});
	}

	/** Stores the missing audit records before the snapshot, so that a crash in between leaves no gap in the audit log. */
	async #install(snapshot: Snapshot, leader: string): Promise<void> {
		const {log, applier, machine, account, logger, change, readRecords} = this.#options;
		try {
			await fetchRecords(account, snapshot.head, async from => readRecords(leader, from));
			await change(async () => {
				applier.applyCommitted();
				if (snapshot.index <= applier.commitIndex) {
					return;
				}

				await log.install(snapshot);
				machine.restore(snapshot.state);
				applier.startAfter(snapshot.index);
				logger.log(events.snapshotInstalled, {index: snapshot.index});
			});
		} catch (error) {
			this.#logInstallFailure(error);
		}

		this.#isInstalling = false;
		this.#incoming = undefined;
	}

	/** Logs failures such as audit records that do not fit, but no disk failures or timeouts. The leader sends the snapshot again. */
	#logInstallFailure(error: unknown): void {
		if (!(error instanceof StorageError || error instanceof TimeoutError)) {
			this.#options.logger.log(events.recordsRefused, {reason: getMessage(error)});
		}
	}

	/** Compacts the log only after the audit records of the compacted entries are durable. */
	async #compact(snapshot: Snapshot): Promise<void> {
		const {log, account, logger, change} = this.#options;
		try {
			await account.sync();
			await change(async () => {
				if (snapshot.index > (log.snapshot?.index ?? 0)) {
					await log.compact(snapshot);
					logger.log(events.snapshotSaved, {index: snapshot.index});
				}
			});
		} catch (error) {
			logger.log(events.storageFailed, {reason: getMessage(error)});
		}

		this.#compacting = undefined;
	}
}
