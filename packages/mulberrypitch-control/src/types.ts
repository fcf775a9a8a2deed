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

/** A back end as it announced itself to the group. */
export type BackendServer = {
	readonly id: string;
	/** Identifier that changes each time the process starts. */
	readonly incarnation: string;
	/** Base address, for example `http://127.0.0.9:8000`. */
	readonly address: string;
	readonly zone: string;
	readonly machineClass: string;
	/** Names of the services whose requests it runs. */
	readonly services: readonly string[];
	readonly kind: BackendKind;
	/** Version of its software; absent if it states none. Back ends that state none count as one version. */
	readonly version?: string | undefined;
	readonly capabilities: Capabilities;
	/** Whether it announced that it will stop. */
	readonly isLeaving: boolean;
	/** Wall-clock time in milliseconds at which a leaving back end stops. */
	readonly leavesAt?: number;
};

/** The session of an entry host: its lease with the control group. */
export type Session = {
	/** Name of the host. */
	readonly node: string;
	/** Number of the session. Later sessions of any host have higher numbers. */
	readonly epoch: number;
	/** Identifier that changes each time the host's process starts. */
	readonly incarnation: string;
	/** Address for calls between processes. */
	readonly peerAddress: string;
	/** Base address for callers. */
	readonly publicAddress: string;
	readonly zone: string;
	readonly region: string;
	/** Selects the configuration overlay that applies to the host. */
	readonly site: string;
	readonly isDraining: boolean;
};

/** Kind of the end of a request. */
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
	/** Number of chunks of a complete response. A reader that has received all of them need not contact a host for more. */
	readonly chunkCount?: number;
	/** Error code if the request was not answered. */
	readonly code?: string;
	readonly retryAfterSeconds?: number;
	readonly answer?: KeptAnswer;
};

/** One attempt to send a request to a back end. */
export type Attempt = {
	/** Number of the attempt within its request, from 1. */
	readonly number: number;
	/** Identifier of the back end. */
	readonly backend: string;
	/** Whether it is certain that the attempt never reached the back end. */
	readonly isNotSent: boolean;
};

/** A request in the replicated state. */
export type RequestRecord = {
	readonly requestId: string;
	readonly customer: string;
	readonly service: string;
	/** Digest of the request, by which a resend with the same idempotency key is recognized as the same request. */
	readonly digest: string;
	/** Identifies the content of the request for the quarantine. Requests with the same content have the same fingerprint. */
	readonly fingerprint: string;
	/** Identifies the parts of the content that other requests may share; absent if there are none. */
	readonly parts?: readonly string[];
	readonly idempotencyKey?: string;
	/** Whether the request may run again without harm. */
	readonly isIdempotent: boolean;
	/** The host that is responsible for the request. */
	readonly holder: string;
	/** The host that received the last complete copy of the request. */
	readonly standby?: string;
	/** Increases each time the holder changes. */
	readonly epoch: number;
	/** Epoch in which the last complete copy was made. Holders of later epochs have sent nothing to the client. */
	readonly copyEpoch: number;
	readonly acceptedAt: number;
	/** Log index of the entry that transferred the request to its current holder. Absent until the first transfer. */
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

/** A command in the log, of any state machine. Each state machine defines the kinds that it supports. */
export type ProposedCommand = {
	readonly [field: string]: unknown;
	readonly kind: string;
};

/** A deterministic state machine behind a replicated log. */
export type StateMachine = {
	/** Sequence number and hash of the last audit record that the state machine produced. */
	readonly head: ChainHead;
	/** Applies the next entry of the log. */
	apply(entry: LogEntry): Applied;
	/** Returns the state as a JSON value that `restore` accepts. */
	capture(): unknown;
	/** Replaces the state by one that `capture` returned. */
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

/** Changes of the membership, which consists of all sessions and back ends. */
export type MembershipChanges = {
	/** Whether all sessions and back ends are listed. Those that are not listed have then been removed. */
	readonly isWhole: boolean;
	readonly sessions: readonly Session[];
	readonly backends: readonly BackendServer[];
	/** Hosts whose sessions ended. */
	readonly endedSessions: readonly string[];
	/** Identifiers of back ends that were removed. */
	readonly removedBackends: readonly string[];
};

/** Reply to a session renewal: what changed in the replicated state since the state that the host reported. */
export type View = {
	/** Term of the leader that answered. */
	readonly term: number;
	/** Revision of the current configuration, or 0 if none was accepted. */
	readonly revision: number;
	/** Absent if the host already knows the revision. */
	readonly configuration?: ConfigurationRevision;
	readonly membershipVersion: number;
	/** Absent if the host already knows the version. */
	readonly membership?: MembershipChanges;
	/** Unfinished requests that were transferred to the host after the last transfer that it knows of. The host is now their holder. */
	readonly assigned: readonly RequestRecord[];
};

/** Reply to a look-up of one request. */
export type FindRequestReply = {
	/** Absent if the request is not known. */
	readonly request?: RequestRecord;
};

/** The replicated state as shown to operators. */
export type ControlOverview = {
	/** Absent before the first accepted change. */
	readonly configuration?: ConfigurationRevision;
	/** Head of the audit log. */
	readonly head: ChainHead;
};

/** Consecutive records of the audit log. */
export type AccountPart = {
	readonly records: readonly AccountRecord[];
	/** Head of the whole audit log on the replica that answered. */
	readonly head: ChainHead;
};

/** Status of one replica, for operators. */
export type ReplicaStatus = {
	readonly name: string;
	readonly role: Role;
	readonly term: number;
	/** Name of the leader. Absent if the replica knows none. */
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
	/** Time since the last renewal in milliseconds. */
	readonly ageMs: number;
};
