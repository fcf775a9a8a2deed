/** The interfaces through which the rest of the system calls back ends. */

/** The HTTP request of a caller, forwarded to the back end. For engines, `text` has been checked to be a JSON object. */
export type CallBody = {
	readonly method: 'GET' | 'POST';
	/** URL path on the back end. For plain services, the part of the caller's path after the service name. */
	readonly path: string;
	readonly contentType: string;
	readonly text: string;
};

/** One attempt to run a request on a back end. */
export type BackendCall = {
	readonly requestId: string;
	/** Number of this attempt, from one. */
	readonly attempt: number;
	readonly service: string;
	/** Base URL of the back end. */
	readonly address: string;
	readonly body: CallBody;
	/** Tokens of the answer that earlier attempts generated. An engine continues after them instead of starting again. */
	readonly tokens: readonly string[];
	/** Aborts the attempt. */
	readonly signal: AbortSignal;
};

/** The complete HTTP response of a plain service. */
export type PlainAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
	/** Time in milliseconds for which the back end, which turned the call away, asks for no others; absent if it asks for no pause. */
	readonly pauseMs?: number;
};

/** Identifies a request on an engine whose KV cache is exported or imported. */
export type CacheCall = {
	readonly requestId: string;
	/** Base URL of the engine that exports or imports. */
	readonly address: string;
	readonly signal: AbortSignal;
};

/** A KV cache that an engine offers for another engine to fetch. */
export type ExportedCache = {
	/** Identifies the cache on the engine that stores it. */
	readonly handle: string;
	/** Base URL of the engine that stores the cache. */
	readonly source: string;
	/** Number of answer tokens that the cache covers. */
	readonly tokens: number;
};

/** Runs requests on model engines. */
export type Engine = {
	/**
	Streams the tokens that follow `call.tokens` and returns only after the engine's end-of-stream marker.
	Throws `BackendFailedError` when the stream fails or ends early. The error's detail `isNotSent` is true when no byte of the request reached the engine.
	*/
	stream(call: BackendCall): AsyncGenerator<string, void>;
	/** Offers the KV cache of a running request to other engines. The stream of the request continues meanwhile. */
	exportCache(call: CacheCall): Promise<ExportedCache>;
	/** Makes the engine at `call.address` fetch a cache from its source, for the next `stream()` of the request. */
	importCache(call: CacheCall, cache: ExportedCache): Promise<void>;
};

/** Runs requests on plain services. */
export type PlainService = {
	/** Returns the complete response, whatever its status. Throws `BackendFailedError`, with the same detail `isNotSent` as an engine. */
	run(call: BackendCall): Promise<PlainAnswer>;
};
