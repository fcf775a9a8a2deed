/** Types of the serving configuration, and of back ends as processes exchange them. */

/** Kinds of requests by whether they may be repeated and how the response arrives. */
export const requestKinds = {
	/** The request may run more than once. */
	idempotent: 'idempotent',
	/** The request runs at most once. */
	nonIdempotent: 'nonIdempotent',
	/** The response is a stream of events. The request runs at most once unless the route is resumable. */
	streaming: 'streaming',
} as const;

/** One of the kinds of requests. */
export type RequestKind = typeof requestKinds[keyof typeof requestKinds];

/** A service that receives a share of a route's requests. */
export type RouteTarget = {
	readonly service: string;
	/** Share of the requests, relative to the weights of the route's other targets. */
	readonly weight: number;
};

/** Matches requests by host and path, and defines their targets, timeouts and service level. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Prefix of the path. It begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	/** Maximum time that a caller waits for the response. */
	readonly timeoutMs: number;
	/** Target latency of a response, or of the first event of a stream. */
	readonly targetLatencyMs: number;
	/** Target for the longest pause between events of a stream; absent if the route doesn't stream. */
	readonly targetPauseMs?: number;
	/** Priority of the requests. Zero is the most urgent. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Maximum number of back ends on which one request may run. */
	readonly maxAttempts: number;
	/** Callers need no API key. */
	readonly isPublic: boolean;
	/** Requests share parts of their prompts. */
	readonly hasSharedPrompts: boolean;
	/** A stream may be resumed on another back end. */
	readonly isResumable: boolean;
};

/** Capacity and features of the inference engines of a service. */
export type EngineProfile = {
	/** Number of requests that an engine runs concurrently. */
	readonly slots: number;
	/** Capacity of the KV cache in tokens. */
	readonly cacheTokens: number;
	/** Size of one token in the KV cache, in bytes. */
	readonly cacheTokenBytes: number;
	/** Bandwidth of the network link, in megabits per second. */
	readonly linkMbps: number;
	/** A running request can be moved to another engine with its KV cache. */
	readonly canMove: boolean;
	/** The KV cache of a running request can be copied to another engine as it grows. */
	readonly canBackUp: boolean;
	/** Time for which a moved KV cache is retained. */
	readonly keepMs: number;
};

/** Bounds on the number of back ends of a service, and their prices. */
export type ScalingPolicy = {
	/** Minimum number of spot back ends in each zone. */
	readonly min: number;
	/** Maximum number of back ends in each zone. */
	readonly max: number;
	/** Time from the order of a back end until it accepts requests. */
	readonly bootMs: number;
	/** Price of a spot back end as a fraction of the on-demand price. */
	readonly spotPrice: number;
	/** Price of an on-demand back end for one second, by zone. */
	readonly zonePrices: Readonly<Record<string, number>>;
};

/** A service and the properties that its back ends share. */
export type ServiceProfile = {
	readonly name: string;
	readonly healthPath: string;
	/** Maximum number of connections that one back end accepts from all callers together. */
	readonly maxConnections: number;
	readonly engine?: EngineProfile;
	readonly scaling?: ScalingPolicy;
};

/** Limits on the requests of callers. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A customer's workspace with its API keys and its quota. */
export type Workspace = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Overrides the priority of the route. */
	readonly priority?: number;
	/** Whether the quota counts tokens rather than requests. */
	readonly countsTokens: boolean;
	/** Number of tokens charged for a request without a token count. */
	readonly plainTokens: number;
	/** Refill rate of the quota, in units per second. Zero means no limit. */
	readonly ratePerSecond: number;
	/** Number of units that may be spent in a burst beyond the rate. */
	readonly burst: number;
};

/** A complete serving configuration. The one with the highest version is in force. */
export type ServingConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly ServiceProfile[];
	readonly limits: CallerLimits;
	/** Absent if callers need no API keys. */
	readonly workspaces?: readonly Workspace[];
};

/** Decodes the document of an operator. Throws `BadRequestError` when it can't be decoded. */
export type ConfigurationDecoder = (document: string) => ServingConfiguration;

/** The last announcement of one incarnation of a back end. */
export type AnnouncedBackend = {
	readonly id: string;
	/** Wall time of its start in milliseconds. A later incarnation may reuse the identifier. */
	readonly startedAt: number;
	/** Increases with each announcement of one incarnation. */
	readonly sequence: number;
	readonly service: string;
	/** `host:port`. */
	readonly address: string;
	readonly zone: string;
	readonly slots: number;
	/** The back end is draining: it accepts no new requests. */
	readonly isLeaving: boolean;
	/** It runs on spot capacity, which may be reclaimed. */
	readonly isSpot: boolean;
	/** Time in milliseconds until it is gone, counted from the announcement; absent if it was not announced. */
	readonly leavesInMs?: number;
};

/** A notice that one incarnation of a back end is leaving. */
export type BackendDeregistration = {
	readonly id: string;
	/** Start of the incarnation; absent if the notice applies to any incarnation. */
	readonly startedAt?: number;
};
