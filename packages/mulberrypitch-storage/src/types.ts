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

/** Record that removes all entries from an index on. */
export type Truncation = {
	readonly truncateFrom: number;
};

/** Consensus state that a replica must persist before it answers a vote request. */
export type HardState = {
	/** Created at the first start on an empty disk, so that a host that lost its disk gets a new one. */
	readonly replicaId: string;
	readonly term: number;
	readonly votedFor?: string;
	/** The voters with which the group was founded. */
	readonly founders?: Members;
};

/** A snapshot of the state, which replaces all entries up to its index. */
export type Snapshot = {
	readonly index: number;
	readonly term: number;
	readonly time: number;
	readonly members: Members;
	/** Sequence and hash of the last account record that the state includes. */
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
	saveHardState(state: HardState): Promise<void>;
	append(entries: readonly LogEntry[]): Promise<void>;
	/** Removes all entries from the index on. */
	truncate(fromIndex: number): Promise<void>;
	/** Stores the snapshot and then deletes the segments that it covers. */
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
	/** Names of the files in the folder, sorted. */
	list(folder: string): Promise<readonly string[]>;
	read(file: string): Promise<Uint8Array | undefined>;
	openForAppend(file: string): Promise<DiskFile>;
	truncate(file: string, lengthBytes: number): Promise<void>;
	rename(from: string, to: string): Promise<void>;
	remove(file: string): Promise<void>;
	syncFolder(folder: string): Promise<void>;
};
