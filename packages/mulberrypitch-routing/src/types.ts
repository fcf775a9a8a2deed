/** Types of the routers. */

/** A load report of a back end. */
export type LoadReport = {
	/** Requests that were running or queued on the back end. */
	readonly inFlight: number;
	/** Monotonic time in milliseconds at which the report arrived. */
	readonly at: number;
};

/** A back end that a router may choose. */
export type Candidate = {
	readonly id: string;
	readonly zone: string;
	/** Number of requests that the back end runs concurrently. */
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Last load report; absent if the back end sends none. */
	readonly load?: LoadReport;
};

/** The properties of a request that affect routing. */
export type RoutingRequest = {
	readonly service: string;
	/** Start of the prompt, for prefix affinity; empty if there is none. */
	readonly prefix: string;
	/** Back ends on which this request failed. */
	readonly excluded: ReadonlySet<string>;
	/** An earlier dispatch of this request failed, so this one counts against the retry budget. */
	readonly isRetry?: boolean;
};

/** The result of a dispatch. */
export type DispatchReport = {
	readonly isFailure: boolean;
	readonly firstTokenMs?: number;
	/** Prompt tokens that the engine found in its prefix cache. */
	readonly cachedTokens?: number;
};

/** A request in progress on a back end. */
export type Dispatch = {
	readonly backend: string;
	/** Ends the dispatch and reports its result. */
	finish(report: DispatchReport): void;
};

/** Chooses back ends for requests and tracks the requests in progress. */
export type Router = {
	/** Starts a dispatch to one of the candidates, or returns `undefined` if the request can't be sent now. */
	choose(candidates: readonly Candidate[], request: RoutingRequest): Dispatch | undefined;
	/** Returns the number of slots of the candidates that accept requests now. */
	getSlots(candidates: readonly Candidate[]): number;
};
