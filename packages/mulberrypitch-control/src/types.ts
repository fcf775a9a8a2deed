/** Public types of the control group. */
import type {AccountRecord, ChainHead} from '@mulberrypitch/account/types';
import type {LogEntry} from '@mulberrypitch/storage/types';

/** Kinds of back ends. */
export const backendKinds = {
	/** A model engine that streams tokens. */
	engine: 'engine',
	/** A service that returns its response as a whole. */
	plain: 'plain',
} as const;

/** One of the kinds of back ends. */
export type BackendKind = typeof backendKinds[keyof typeof backendKinds];

/** Capabilities that a back end announces. */
export type Capabilities = {
	/** Number of requests that it runs concurrently. */
	readonly slots: number;
	/** Whether it rejects calls with an outdated fencing token. */
	readonly checksFencing: boolean;
	/** Whether it exports and imports the KV cache of a request. */
	readonly movesCache: boolean;
};

/** A back end as announced to the group. */
export type BackendServer = {
	readonly id: string;
	/** Identifier that changes each time the process starts. */
	readonly incarnation: string;
	/** Base address, for example `http://127.0.0.9:8000`. */
	readonly address: string;
	readonly zone: string;
	readonly machineClass: string;
	readonly services: readonly string[];
	readonly kind: BackendKind;
	readonly capabilities: Capabilities;
	readonly isLeaving: boolean;
	/** Wall-clock time in milliseconds at which a leaving back end stops. */
	readonly leavesAt?: number;
};

/** The session of an entry host. */
export type Session = {
	readonly node: string;
	readonly epoch: number;
	readonly incarnation: string;
	/** Address for calls between processes. */
	readonly peerAddress: string;
	/** Base address for callers. */
	readonly publicAddress: string;
	readonly zone: string;
	readonly region: string;
	readonly site: string;
	readonly isDraining: boolean;
};

/** How a request ended. */
export const ends = {
	/** The whole response was received from the back end. */
	answered: 'answered',
	/** The request did not run and will not run. */
	notRun: 'notRun',
	/** The request may have run, and its result can't be determined. */
	unknown: 'unknown',
	/** The request may be repeated, but its retries were abandoned. */
	failed: 'failed',
} as const;

/** One of the ends. */
export type End = typeof ends[keyof typeof ends];

/** A response small enough to be stored with the request. */
export type KeptAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};

/** The outcome of a request. */
export type Outcome = {
	readonly end: End;
	/** SHA-256 of the response in hex. */
	readonly digest: string;
	readonly lengthBytes: number;
	/** Number of chunks of a complete response. A reader that has them all needs no host that stores them. */
	readonly chunkCount?: number;
	/** Error code if the request was not answered. */
	readonly code?: string;
	readonly retryAfterSeconds?: number;
	readonly answer?: KeptAnswer;
};

/** One dispatch of a request to a back end. */
export type Attempt = {
	readonly number: number;
	readonly backend: string;
	/** Whether it is certain that the attempt never reached the back end. */
	readonly isNotSent: boolean;
};

/** A request in the replicated state. */
export type RequestRecord = {
	readonly requestId: string;
	readonly customer: string;
	readonly service: string;
	readonly digest: string;
	readonly fingerprint: string;
	readonly idempotencyKey?: string;
	/** Whether the request may run again without harm. */
	readonly isIdempotent: boolean;
	readonly holder: string;
	/** The host that received the last complete copy of the request. */
	readonly standby?: string;
	/** Increases each time the holder changes. */
	readonly epoch: number;
	/** Epoch of the holder that made the last complete copy. Later holders have sent callers nothing. */
	readonly copyEpoch: number;
	readonly acceptedAt: number;
	/** Log index at which the current holder took the request over. Absent until the first transfer. */
	readonly assignedAt?: number;
	readonly attempts: readonly Attempt[];
	readonly outcome?: Outcome;
	readonly finishedAt?: number;
};

/** Texts of the shared configuration, as accepted. */
export type ConfigurationFiles = {
	readonly base: string;
	/** Overlay text by site. */
	readonly overlays: Readonly<Record<string, string>>;
};

/** One accepted change of the configuration. */
export type ConfigurationChange = {
	readonly revision: number;
	readonly changeId: string;
	readonly operator: string;
	/** Digest over the effective configurations of all sites. */
	readonly digest: string;
};

/** One accepted configuration. */
export type ConfigurationRevision = ConfigurationChange & {
	readonly files: ConfigurationFiles;
};

/** The state that a back end should reach. */
export type DesiredState = {
	readonly role: string;
	/** Models to load, each with its version, for example `advice@7`. */
	readonly models: readonly string[];
	/** Adapters to load, each with its version. */
	readonly adapters: readonly string[];
};

/** Result of applying one log entry, with the audit records that it produced. */
export type Applied = {
	readonly result: CommandResult;
	readonly records: readonly AccountRecord[];
};

/** The JSON-serializable result of one command. */
export type CommandResult = {
	readonly value?: unknown;
	readonly failure?: {
		readonly code: string;
		readonly message: string;
		readonly nextStep: string;
		readonly details: Readonly<Record<string, string | number | boolean>>;
	};
};

/** A command as the log sees it. Each state machine validates the kinds that it supports. */
export type ProposedCommand = {
	readonly [field: string]: unknown;
	readonly kind: string;
};

/** A deterministic state machine behind a replicated log. */
export type StateMachine = {
	/** Sequence number and hash of the last audit record that the state machine produced. */
	readonly head: ChainHead;
	apply(entry: LogEntry): Applied;
	/** Returns the state as a JSON value that `restore` accepts. */
	capture(): unknown;
	restore(state: unknown): void;
};

/** Roles of a replica. */
export const roles = {
	follower: 'follower',
	candidate: 'candidate',
	leader: 'leader',
} as const;

/** One of the roles of a replica. */
export type Role = typeof roles[keyof typeof roles];

/** Name and address of a replica. */
export type Peer = {
	readonly name: string;
	readonly address: string;
};

/** Sessions and back ends that changed, or all of them. */
export type MembershipChanges = {
	/** Whether all members are listed. Members that are not listed have then been removed. */
	readonly isWhole: boolean;
	readonly sessions: readonly Session[];
	readonly backends: readonly BackendServer[];
	/** Hosts whose sessions ended. */
	readonly endedSessions: readonly string[];
	/** Identifiers of back ends that were removed. */
	readonly removedBackends: readonly string[];
};

/** Reply to a session renewal. Omits the configuration and the membership if the host already knows them. */
export type View = {
	/** Term of the leader that answered. */
	readonly term: number;
	readonly revision: number;
	readonly configuration?: ConfigurationRevision;
	readonly membershipVersion: number;
	readonly membership?: MembershipChanges;
	/** Unfinished requests transferred to this host since the last transfer that it knows. The host has to finish them. */
	readonly assigned: readonly RequestRecord[];
};

/** Reply to a look-up of one request. */
export type RequestLookup = {
	readonly request?: RequestRecord;
};

/** The replicated state as shown to operators. */
export type ControlOverview = {
	readonly configuration?: ConfigurationRevision;
	readonly head: ChainHead;
};

/** Consecutive records of the audit log. */
export type AccountPart = {
	readonly records: readonly AccountRecord[];
	readonly head: ChainHead;
};

/** Status of one replica, for operators. */
export type ReplicaStatus = {
	readonly name: string;
	readonly role: Role;
	readonly term: number;
	readonly leader?: string;
	readonly commitIndex: number;
	readonly lastIndex: number;
	readonly appliedIndex: number;
	/** Configuration that each host uses, known only to the leader. */
	readonly nodes: readonly NodeConfiguration[];
};

/** The configuration that one host uses, as reported by its last renewal. */
export type NodeConfiguration = {
	readonly node: string;
	readonly site: string;
	readonly revision: number;
	readonly digest: string;
	/** Digest that the accepted configuration has for the site of the host. */
	readonly expectedDigest: string;
	readonly ageMs: number;
};
