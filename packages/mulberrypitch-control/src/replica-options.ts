/** Dependencies and settings of a replica of the log. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {LogStore} from '@mulberrypitch/storage/types';
import type {Transport} from '@mulberrypitch/transport/types';
import type {RecordStore} from './replica-snapshot.js';
import type {ReplicaTiming} from './replica-timing.js';
import type {Peer, StateMachine} from './types.js';

/** Dependencies and settings of a replica. */
export type ReplicaOptions = {
	readonly group: string;
	readonly name: string;
	/** Replicas of the initial group, including this one if it is a member of it. */
	readonly peers: readonly Peer[];
	/** Returns the address of a voter that is not in `peers`. When set, the group adds and replaces voters at run time. */
	readonly getAddress?: (name: string) => string;
	/** Whether this replica may bootstrap the group. It may not after its first start. */
	readonly canFound?: boolean;
	readonly store: LogStore;
	readonly transport: Transport;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly machine: StateMachine;
	/** Receives the audit records of each applied entry, in log order. */
	readonly account: RecordStore;
	readonly timing?: ReplicaTiming;
	/** Number of entries applied between two snapshots. */
	readonly snapshotIntervalEntries?: number;
};
