/** The interface of routing. */

/** Load that a back end reported. */
export type LoadReport = {
	/** Requests that ran or waited in the back end. */
	readonly inFlight: number;
	/** Monotonic time in milliseconds at which the report arrived. */
	readonly at: number;
};

/** A back end that may be chosen. */
export type Candidate = {
	readonly id: string;
	readonly zone: string;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Last report of its load, if it sends any. */
	readonly load?: LoadReport;
};

/** What routing knows of a request. */
export type RoutingRequest = {
	readonly service: string;
	/** Start of the prompt, for prefix affinity. */
	readonly prefix: string;
	/** Back ends that failed this request. */
	readonly excluded: ReadonlySet<string>;
	/** An earlier dispatch of this request failed; counted against the retry budget. */
	readonly isRetry?: boolean;
};

/** How a dispatch went. */
export type DispatchReport = {
	readonly isFailure: boolean;
	readonly firstTokenMs?: number;
	/** Prompt tokens that the engine took from its cache. */
	readonly cachedTokens?: number;
};

/** One dispatch in progress. */
export type Dispatch = {
	readonly backend: string;
	/** Ends the dispatch and tells how it went. */
	finish(report: DispatchReport): void;
};

/** Chooses back ends and follows what it chose. */
export type Router = {
	/** Gives a dispatch to one of the candidates, or nothing when none can take the request. */
	choose(candidates: readonly Candidate[], request: RoutingRequest): Dispatch | undefined;
	/** Gives the slots of the candidates that may take work now. */
	getSlots(candidates: readonly Candidate[]): number;
};
