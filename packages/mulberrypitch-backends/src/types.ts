/** The interfaces of back ends as the rest of the system sees them. */

/** A request as callers send it, after its outer form was checked. */
export type CallBody = {
	readonly method: 'GET' | 'POST';
	/** Path below the service, for plain services. */
	readonly path: string;
	readonly contentType: string;
	readonly text: string;
};

/** One dispatch to a back end. */
export type BackendCall = {
	readonly requestId: string;
	readonly attempt: number;
	readonly service: string;
	readonly address: string;
	readonly body: CallBody;
	/** Tokens already given to the caller; an engine goes on after them. */
	readonly tokens: readonly string[];
	readonly signal: AbortSignal;
};

/** A whole answer of a plain service. */
export type PlainAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};

/** Runs requests on model engines. */
export type Engine = {
	/**
	Streams the tokens that follow the given ones and returns only after the engine's finish marker.
	Throws `BackendFailedError`; its detail `isNotSent` tells that no byte reached the engine.
	*/
	stream(call: BackendCall): AsyncGenerator<string, void>;
};

/** Runs requests on plain services. */
export type PlainService = {
	/** Gives the whole answer. Throws `BackendFailedError` like an engine. */
	run(call: BackendCall): Promise<PlainAnswer>;
};
