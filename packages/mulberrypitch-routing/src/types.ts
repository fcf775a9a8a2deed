/** Types that the routers and their callers share. */

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
	/** Whether the back end is draining and accepts no new requests. */
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
	/** Whether an earlier dispatch of this request failed, so that this one takes a retry from the retry budget. */
	readonly isRetry?: boolean;
};

/** How a dispatch ended. */
export type DispatchReport = {
	readonly isFailure: boolean;
	/** Time in milliseconds for which the back end asked for no requests; absent if it asked for no pause. Asking is no failure. */
	readonly pauseMs?: number;
	/** Time to first token in milliseconds; absent if it is not known. */
	readonly firstTokenMs?: number;
	/** Number of prompt tokens that the engine found in its prefix cache; absent if it is not known. */
	readonly cachedTokens?: number;
};

/** One attempt to run a request on a back end, from the choice of the back end to the end of the attempt. */
export type Dispatch = {
	/** Identifier of the back end. */
	readonly backend: string;
	/** Ends the dispatch and reports its result. Only the first call counts. */
	finish(report: DispatchReport): void;
};

/** Chooses back ends for requests and tracks the requests in progress. */
export type Router = {
	/** Starts a dispatch to one of the candidates, or returns `undefined` if the request can't be sent now. */
	choose(candidates: readonly Candidate[], request: RoutingRequest): Dispatch | undefined;
	/** Returns the number of slots of the candidates that accept requests now. */
	getSlots(candidates: readonly Candidate[]): number;
};
