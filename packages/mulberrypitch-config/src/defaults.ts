/** Default values of host settings and shared configuration, and the configuration of the demo. */

/** Default values of the host settings file. */
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
	/** Peer secret and tokens of hosts that listen on loopback addresses only. */
	loopbackSecret: 'loopback',
} as const;

/** Default values of a `[service.NAME]` section. */
export const serviceDefaults = {
	'first-token-ms': 560,
	'between-tokens-ms': 74,
	'deadline-ms': 120_000,
	'queue-limit': 256,
	'idempotent-paths': '',
} as const;

/** Default values of a `[workspace.NAME]` section. */
export const workspaceDefaults = {
	share: 1,
	'max-in-flight': 256,
	services: '',
} as const;

/** Default values of the `[retry]` section. */
export const retryDefaults = {
	'max-attempts': 4,
	'budget-ratio': 0.2,
} as const;

/** Default values of the `[reclaim]` section. */
export const reclaimDefaults = {
	'cost-weight': 1,
	'recompute-weight': 1,
} as const;

/** API key of the demo's only workspace. */
export const demoKey = 'demo-key';

/** Shared configuration of the demo, as INI text. `key-sha256` is the SHA-256 digest of `demoKey`. */
export const demoConfiguration = `[service.advice]
kind = engine

[service.bookings]
kind = plain
idempotent-paths = stock

[workspace.demo]
key-sha256 = c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c
`;
