/** Data types and interfaces of durable log storage. */
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';

/** One entry of a replicated log. `time` is the leader's wall time in milliseconds and never decreases along the log. */
export type LogEntry = {
	readonly index: number;
	readonly term: number;
	readonly time: number;
	readonly command: unknown;
};

/** Replica ids of the voters, by host name. */
export type Members = Readonly<Record<string, string>>;

/** Record in a segment that removes all entries from an index on. */
export type Truncation = {
	readonly truncateFrom: number;
};

/** Consensus state that a replica must persist before it answers a vote request. */
export type HardState = {
	/** Id generated at the first start on an empty disk, so that a host that lost its disk gets a new id. */
	readonly replicaId: string;
	readonly term: number;
	/** Name of the candidate that got the vote of this replica in the term. */
	readonly votedFor?: string;
	/** Initial voters of the group. Absent while this replica does not know them. */
	readonly founders?: Members;
};

/** A snapshot of the state, which replaces all entries up to its index. */
export type Snapshot = {
	readonly index: number;
	readonly term: number;
	/** Time of the entry at `index`. */
	readonly time: number;
	/** Voters as of `index`. */
	readonly members: Members;
	/** Sequence number and hash of the last audit record as of the snapshot. */
	readonly head: {readonly sequence: number; readonly hash: string};
	readonly state: unknown;
};

/** Content of a log when it is loaded. */
export type StoredLog = {
	readonly hardState?: HardState;
	readonly snapshot?: Snapshot;
	readonly entries: readonly LogEntry[];
};

/** Durable log of one replica. Each promise resolves only after the change is synced to the disk. */
export type LogStore = Resource & {
	load(): Promise<StoredLog>;
	/** Replaces the hard state. */
	saveHardState(state: HardState): Promise<void>;
	/** Appends entries that follow the last one. */
	append(entries: readonly LogEntry[]): Promise<void>;
	/** Removes all entries from the index on. */
	truncate(fromIndex: number): Promise<void>;
	/** Replaces the snapshot, and then may delete entries that it covers. */
	saveSnapshot(snapshot: Snapshot): Promise<void>;
};

/** File that is open for appending. */
export type DiskFile = {
	write(data: Uint8Array): Promise<void>;
	sync(): Promise<void>;
	close(): Promise<void>;
};

/** File operations that storage needs. Tests replace them to inject disk failures. */
export type Disk = {
	makeFolder(folder: string): Promise<void>;
	/** Returns the names of the files in a folder, sorted. */
	list(folder: string): Promise<readonly string[]>;
	/** Returns the content of a file, or undefined if it does not exist. */
	read(file: string): Promise<Uint8Array | undefined>;
	/** Opens a file for appending, and creates it if it does not exist. */
	openForAppend(file: string): Promise<DiskFile>;
	truncate(file: string, lengthBytes: number): Promise<void>;
	rename(from: string, to: string): Promise<void>;
	/** Removes a file if it exists. */
	remove(file: string): Promise<void>;
	/** Makes the creation, renaming and removal of files in a folder durable. */
	syncFolder(folder: string): Promise<void>;
};
