/** Types of host settings and shared configuration. */

/** Roles that a host can have. A host may have both. */
export const hostRoles = {
	/** Accepts connections of callers, back ends and operators. */
	entry: 'entry',
	/** Runs a replica of the control group. */
	control: 'control',
} as const;

/** A value of `hostRoles`. */
export type HostRole = typeof hostRoles[keyof typeof hostRoles];

/** Host name and peer address (`ip:port`) of a replica of the control group. */
export type ReplicaAddress = {
	readonly name: string;
	readonly address: string;
};

/** Validated settings of one host. */
export type HostSettings = {
	readonly name: string;
	/** Name of the site whose overlay of the shared configuration applies to this host. */
	readonly site: string;
	readonly zone: string;
	readonly region: string;
	readonly roles: readonly HostRole[];
	/** Folder for all files that this host writes. Required for the control role. */
	readonly dataFolder?: string;
	/** Time in seconds after which a planned stop hands over what it can't end. Without it, a stop takes as long as its longest request. */
	readonly stopTimeoutSeconds?: number;
	/** `ip:port` on which the host listens for HTTP from callers, back ends and operators. */
	readonly httpListen: string;
	/** `ip:port` on which the host listens for other hosts. */
	readonly peerListen: string;
	/** Base URL under which callers reach this host; returned in the list of entry hosts. */
	readonly publicAddress: string;
	/** Name of the control group. */
	readonly group: string;
	/** All replicas of the control group. */
	readonly replicas: readonly ReplicaAddress[];
	/** Shared secret with which hosts authenticate to each other. */
	readonly peerSecret: string;
	/** Bearer token of operators. */
	readonly operatorToken: string;
	/** Bearer token with which back ends announce themselves. */
	readonly backendToken: string;
	/** Contents of the key, certificate and CA files for connections between hosts. Without them, connections are not encrypted. */
	readonly tls?: {readonly key: string; readonly cert: string; readonly ca: string};
	readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
	/** Time for which callers may cache the list of entry hosts, in seconds. */
	readonly entriesTtlSeconds: number;
};

/** Configuration of one service. */
export type ServiceConfiguration = {
	readonly name: string;
	readonly kind: 'engine' | 'plain';
	/** Latency target in milliseconds: time to first token of an engine, time to the response of a plain service. */
	readonly firstTokenMs: number;
	/** Target for the inter-token latency, in milliseconds. */
	readonly betweenTokensMs: number;
	/** Deadline of requests that set none, in milliseconds after their arrival. */
	readonly deadlineMs: number;
	/** Limit of requests of this service that wait in the admission queue of one host. */
	readonly queueLimit: number;
	/** First path segments of calls that are idempotent and may be retried. `GET` calls always are. */
	readonly idempotentPaths: readonly string[];
};

/** Configuration of one workspace: a customer's API key and limits. */
export type Workspace = {
	readonly name: string;
	/** SHA-256 digest of the API key, in hex. */
	readonly keyDigest: string;
	/** Weight in fair queueing; a workspace with twice the weight is served twice as much while both have requests waiting. */
	readonly share: number;
	/** Limit of requests in progress, over all hosts. */
	readonly maxInFlight: number;
	/** Names of the services that the workspace may use; empty for all. */
	readonly services: readonly string[];
};

/** Limits on retries of requests whose attempt failed. */
export type RetryPolicy = {
	/** Limit of attempts for one request, including the first. */
	readonly maxAttempts: number;
	/** Retry budget: retries allowed as a fraction of the requests sent, over time. */
	readonly budgetRatio: number;
};

/**
Weights for the choice, when a machine is reclaimed, between transferring the KV cache of a request and recomputing its tokens
elsewhere. The cache is transferred if transfer time × `costWeight` < recompute time × (`costWeight` + `recomputeWeight`).
*/
export type ReclaimPolicy = {
	/** Weight of the machine time spent by either choice. */
	readonly costWeight: number;
	/** Additional weight of time spent recomputing tokens. */
	readonly recomputeWeight: number;
};

/** The effective configuration of one site: base and overlay merged, defaults filled in. */
export type SharedConfiguration = {
	readonly services: readonly ServiceConfiguration[];
	readonly workspaces: readonly Workspace[];
	readonly retry: RetryPolicy;
	readonly reclaim: ReclaimPolicy;
};

/** A value that is set, and the file that set it. */
export type EffectiveValue = {
	readonly section: string;
	readonly key: string;
	readonly value: string;
	readonly file: string;
};
