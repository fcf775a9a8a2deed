/** Limits on what the clients of an HTTP server can make its process hold. */

/** What all clients of a server together, and each connection, may make it hold. */
export type ClientLimits = {
	/** Maximum number of open connections. */
	readonly maxConnections: number;
	/** Maximum number of requests that are in progress or wait for their turn. */
	readonly maxRequests: number;
	/** Maximum number of these on one connection. */
	readonly maxRequestsPerConnection: number;
	/** Maximum number of bytes that the bodies of requests take, whole or not. */
	readonly maxBufferedBytes: number;
	/** Maximum number of bodies that are read at once while they arrive in thousands of parts of a few bytes each. */
	readonly maxFragmentedBodies: number;
};

/** Limits that are in force where the settings name none. */
export const defaultClientLimits: ClientLimits = {
	maxConnections: 1500,
	maxRequests: 4000,
	maxRequestsPerConnection: 64,
	maxBufferedBytes: 32 * 1024 * 1024,
	maxFragmentedBodies: 4,
};
