/** The interface of routing. */

/** A back end that may be chosen. */
export type Candidate = {
	readonly id: string;
	readonly zone: string;
	readonly slots: number;
	readonly isLeaving: boolean;
};

/** What routing knows of a request. */
export type RoutingRequest = {
	readonly service: string;
	/** Start of the prompt, for prefix affinity. */
	readonly prefix: string;
	/** Back ends that failed this request. */
	readonly excluded: ReadonlySet<string>;
};

/** One dispatch in progress. */
export type Dispatch = {
	readonly backend: string;
	/** Ends the dispatch and tells how it went. */
	finish(report: {readonly isFailure: boolean; readonly firstTokenMs?: number}): void;
};

/** Chooses back ends and follows what it chose. */
export type Router = {
	/** Gives a dispatch to one of the candidates, or nothing when none can take the request. */
	choose(candidates: readonly Candidate[], request: RoutingRequest): Dispatch | undefined;
};
