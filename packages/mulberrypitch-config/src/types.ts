/** Public types of settings and shared configuration. */

/** Roles of a host. */
export const hostRoles = {
	/** Takes callers, back ends and operators. */
	entry: 'entry',
	/** Holds a replica of the control group. */
	control: 'control',
} as const;

/** One of the host roles. */
export type HostRole = typeof hostRoles[keyof typeof hostRoles];

/** A replica of the control group, by host name and peer address. */
export type ReplicaAddress = {
	readonly name: string;
	readonly address: string;
};

/** Settings of one host. */
export type HostSettings = {
	readonly name: string;
	readonly site: string;
	readonly zone: string;
	readonly region: string;
	readonly roles: readonly HostRole[];
	/** The one folder for all files of this host. */
	readonly dataFolder?: string;
	/** `ip:port` for callers, back ends and operators. */
	readonly httpListen: string;
	/** `ip:port` for other hosts. */
	readonly peerListen: string;
	/** Base address told to callers. */
	readonly publicAddress: string;
	readonly group: string;
	readonly replicas: readonly ReplicaAddress[];
	readonly peerSecret: string;
	readonly operatorToken: string;
	readonly backendToken: string;
	readonly tls?: {readonly key: string; readonly cert: string; readonly ca: string};
	readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
	/** Time that callers may keep a list of entries, in seconds. */
	readonly entriesTtlSeconds: number;
};

/** One service that callers use. */
export type ServiceConfiguration = {
	readonly name: string;
	readonly kind: 'engine' | 'plain';
	/** Target for the first token or the answer, in milliseconds. */
	readonly firstTokenMs: number;
	/** Target between tokens, in milliseconds. */
	readonly betweenTokensMs: number;
	/** Deadline when the caller gives none, in milliseconds. */
	readonly deadlineMs: number;
	/** Requests that may wait on one host. */
	readonly queueLimit: number;
	/** First path segments whose calls may be repeated; `GET` always may. */
	readonly idempotentPaths: readonly string[];
};

/** One workspace of callers. */
export type Workspace = {
	readonly name: string;
	/** SHA-256 of the workspace key in hex. */
	readonly keyDigest: string;
	/** Weight in the fair order. */
	readonly share: number;
	/** Requests in progress over all hosts. */
	readonly maxInFlight: number;
	/** Services it may use; empty for all. */
	readonly services: readonly string[];
};

/** How failed dispatches are repeated. */
export type RetryPolicy = {
	readonly maxAttempts: number;
	/** Retries allowed per request sent, over time. */
	readonly budgetRatio: number;
};

/** What counts more when a machine is reclaimed. */
export type ReclaimPolicy = {
	readonly costWeight: number;
	readonly recomputeWeight: number;
};

/** The effective configuration of one site. */
export type SharedConfiguration = {
	readonly services: readonly ServiceConfiguration[];
	readonly workspaces: readonly Workspace[];
	readonly retry: RetryPolicy;
	readonly reclaim: ReclaimPolicy;
};

/** One effective value with the file that set it. */
export type EffectiveValue = {
	readonly section: string;
	readonly key: string;
	readonly value: string;
	readonly file: string;
};
