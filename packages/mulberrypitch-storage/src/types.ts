/** The interfaces of durable storage. */
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';

/** One entry of a replicated log. `time` is the leader's wall time in milliseconds; it never decreases along the log. */
export type LogEntry = {
	readonly index: number;
	readonly term: number;
	readonly time: number;
	readonly command: unknown;
};

/** Replica ids of the voters, by host name. */
export type Members = Readonly<Record<string, string>>;

/** A record that drops the entries from an index on. */
export type Truncation = {
	readonly truncateFrom: number;
};

/** What a replica must remember before it answers a vote. */
export type HardState = {
	/** Made at the first start on an empty disk, so a host that lost its disk has another one. */
	readonly replicaId: string;
	readonly term: number;
	readonly votedFor?: string;
	/** The voters that the group began with. */
	readonly founders?: Members;
};

/** A state that stands for all entries up to its index. */
export type Snapshot = {
	readonly index: number;
	readonly term: number;
	readonly time: number;
	readonly members: Members;
	/** Last account record that the state stands for. */
	readonly head: {readonly sequence: number; readonly hash: string};
	readonly state: unknown;
};

/** Everything found at the start. */
export type StoredLog = {
	readonly hardState?: HardState;
	readonly snapshot?: Snapshot;
	readonly entries: readonly LogEntry[];
};

/** Durable log of one replica. Each promise resolves only when the change is synced. */
export type LogStore = Resource & {
	load(): Promise<StoredLog>;
	saveHardState(state: HardState): Promise<void>;
	append(entries: readonly LogEntry[]): Promise<void>;
	/** Drops all entries from the index on. */
	truncate(fromIndex: number): Promise<void>;
	/** Stores the snapshot and then drops the segments that it covers. */
	saveSnapshot(snapshot: Snapshot): Promise<void>;
};

/** An open file that is only appended to. */
export type DiskFile = {
	write(data: Uint8Array): Promise<void>;
	sync(): Promise<void>;
	close(): Promise<void>;
};

/** The file operations that storage needs, so that tests can break them. */
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
