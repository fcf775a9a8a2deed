/** Defaults of all settings, and the configuration that the demo runs on. */

/** Defaults of host settings. */
export const hostDefaults = {
	site: 'default',
	zone: 'zone-1',
	region: 'region-1',
	roles: 'entry',
	http: '127.0.0.1:8080',
	peer: '127.0.0.1:7080',
	group: 'main',
	logLevel: 'info',
	entriesTtlSeconds: '10',
	/** Secret of processes that listen on loopback only. */
	loopbackSecret: 'loopback',
} as const;

/** Defaults of one service. */
export const serviceDefaults = {
	'first-token-ms': 560,
	'between-tokens-ms': 74,
	'deadline-ms': 120_000,
	'queue-limit': 256,
	'idempotent-paths': '',
} as const;

/** Defaults of one workspace. */
export const workspaceDefaults = {
	share: 1,
	'max-in-flight': 256,
	services: '',
} as const;

/** Defaults of the retry policy. */
export const retryDefaults = {
	'max-attempts': 4,
	'budget-ratio': 0.2,
} as const;

/** Defaults of the reclaim policy. */
export const reclaimDefaults = {
	'cost-weight': 1,
	'recompute-weight': 1,
} as const;

/** Key of the demo's only workspace. */
export const demoKey = 'demo-key';

/** Configuration of the demo. The digest is the SHA-256 of `demoKey`. */
export const demoConfiguration = `[service.advice]
kind = engine

[service.bookings]
kind = plain
idempotent-paths = stock

[workspace.demo]
key-sha256 = c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c
`;
