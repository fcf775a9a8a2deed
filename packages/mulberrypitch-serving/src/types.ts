/** Types of the serving configuration, and of the messages about back ends that processes exchange. */

/** Kinds of requests. They differ in whether a request may run more than once and in how its response arrives. */
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
	/** Maximum time in milliseconds that a caller waits for the response. */
	readonly timeoutMs: number;
	/** Target latency of a response, or of the first event of a stream, in milliseconds. */
	readonly targetLatencyMs: number;
	/** Target for the longest pause between two events of a stream, in milliseconds; absent if the route doesn't stream. */
	readonly targetPauseMs?: number;
	/** Priority of the requests. Zero is the most urgent. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Maximum number of attempts that may run one request. Attempts that provably did not run it don't count. */
	readonly maxAttempts: number;
	/** Whether callers need no API key. */
	readonly isPublic: boolean;
	/** Whether requests share prefixes of their prompts, so that requests with the same prefix are sent to the same engines. */
	readonly hasSharedPrompts: boolean;
	/** Whether a stream may be resumed on another back end. */
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
	/** Whether a running request can be moved to another engine with its KV cache. */
	readonly canMove: boolean;
	/** Whether the KV cache of a running request can be copied to another engine as it grows. */
	readonly canBackUp: boolean;
	/** Time in milliseconds for which a moved KV cache is retained. */
	readonly keepMs: number;
};

/** Bounds on the number of back ends of a service, and their prices. */
export type ScalingPolicy = {
	/** Minimum number of spot back ends in each zone. */
	readonly min: number;
	/** Maximum number of back ends in each zone, spot and on-demand together. */
	readonly max: number;
	/** Time in milliseconds from ordering a back end until it accepts requests. */
	readonly bootMs: number;
	/** Price of a spot back end as a fraction of the on-demand price. */
	readonly spotPrice: number;
	/** Price of an on-demand back end for one second, by zone. */
	readonly zonePrices: Readonly<Record<string, number>>;
};

/** A service and the properties that its back ends share. */
export type ServiceProfile = {
	readonly name: string;
	/** Path of the back ends' health check. */
	readonly healthPath: string;
	/** Maximum number of connections that one back end accepts from all callers together. */
	readonly maxConnections: number;
	/** Absent if the back ends are not inference engines. */
	readonly engine?: EngineProfile;
	/** Absent if the number of back ends is not scaled automatically. */
	readonly scaling?: ScalingPolicy;
};

/** Limits on the requests of callers. */
export type CallerLimits = {
	/** Maximum size of the headers of a request. */
	readonly maxHeaderBytes: number;
	/** Maximum size of the body of a request. */
	readonly maxBodyBytes: number;
	/** Minimum time that a caller has to send the headers of a request. */
	readonly headerTimeoutMs: number;
	/** Minimum time for which a caller's connection is kept open without a request. */
	readonly idleTimeoutMs: number;
};

/** A customer's workspace with its API keys and its quota. */
export type Workspace = {
	readonly name: string;
	/** API keys, as callers send them. */
	readonly keys: readonly string[];
	/** Overrides the priority of the route. */
	readonly priority?: number;
	/** Whether the quota counts tokens rather than requests. */
	readonly countsTokens: boolean;
	/** Number of tokens charged for a request without a token count. */
	readonly plainTokens: number;
	/** Refill rate of the quota per second, in tokens or requests (see `countsTokens`). Zero means no limit. */
	readonly ratePerSecond: number;
	/** Number of tokens or requests that may be spent in a burst beyond the rate. */
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

/** Decodes a configuration document that an operator sent. Throws `BadRequestError` when it can't be decoded. */
export type ConfigurationDecoder = (document: string) => ServingConfiguration;

/** A back end as it announced itself last. An incarnation is one start of its process. */
export type AnnouncedBackend = {
	readonly id: string;
	/** Wall time of the start in milliseconds. It identifies the incarnation, since a later one may reuse `id`. */
	readonly startedAt: number;
	/** Increases with each announcement of one incarnation. */
	readonly sequence: number;
	readonly service: string;
	/** `host:port`. */
	readonly address: string;
	readonly zone: string;
	/** Version of the back end's software; absent if a process of an earlier version passed the announcement on, so that it is unknown. */
	readonly version?: string;
	/** Number of requests that the back end runs concurrently. */
	readonly slots: number;
	/** Whether the back end is leaving (draining): it accepts no new requests. */
	readonly isLeaving: boolean;
	/** Whether the back end runs on spot capacity, which may be reclaimed. */
	readonly isSpot: boolean;
	/** Time in milliseconds from this announcement until the back end stops; absent if no stop was announced. */
	readonly leavesInMs?: number;
};

/** A request to remove a back end from the roster, the list of the announced back ends. */
export type BackendDeregistration = {
	readonly id: string;
	/** `startedAt` of the incarnation to remove; absent to remove any incarnation. */
	readonly startedAt?: number;
};
