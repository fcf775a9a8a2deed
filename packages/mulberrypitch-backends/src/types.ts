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

/** A request on an engine, for its KV cache. */
export type CacheCall = {
	readonly requestId: string;
	readonly address: string;
	readonly signal: AbortSignal;
};

/** A KV cache that its engine has made ready for another one. */
export type ExportedCache = {
	readonly handle: string;
	/** Base address of the engine that keeps it. */
	readonly source: string;
	/** Tokens of the answer in it. */
	readonly tokens: number;
};

/** Runs requests on model engines. */
export type Engine = {
	/**
	Streams the tokens that follow the given ones and returns only after the engine's finish marker.
	Throws `BackendFailedError`; its detail `isNotSent` tells that no byte reached the engine.
	*/
	stream(call: BackendCall): AsyncGenerator<string, void>;
	/** Makes the KV cache of a running request ready for another engine; the stream goes on. */
	exportCache(call: CacheCall): Promise<ExportedCache>;
	/** Fetches a cache from its engine, for the next stream of the request. */
	importCache(call: CacheCall, cache: ExportedCache): Promise<void>;
};

/** Runs requests on plain services. */
export type PlainService = {
	/** Gives the whole answer. Throws `BackendFailedError` like an engine. */
	run(call: BackendCall): Promise<PlainAnswer>;
};
