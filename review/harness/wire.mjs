/** The bodies that the stand-ins send, and the fields of a settings file, under the names of the users' pages. */
/* eslint-disable camelcase -- These are names of the wire. */

/** The caller limits of the users' example. */
const limits = {
	max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
};

/** Bounds of the sheet of chroma-route that the settings template names. */
const bounds = {
	lease_ms: 3000,
	grace_s: 8,
	ttl_max_s: 5,
	usage_window_s: 5,
	usage_late_s: 10,
	retry_budget_ratio: 0.2,
	budget_slack: 56,
	budget_window_s: 10,
	quota_window_s: 8,
	quota_over: 0.1,
	quota_slack: 140_000,
};

/** The only API key. */
export const apiKey = 'key-1';

/** Returns a configuration with one route to one service. */
export function createConfiguration({version, host, prefix, kind, service, timeoutMs, targetLatencyMs, maxAttempts = 1, isResumable = false}) {
	return {
		version,
		routes: [{
			name: 'r-1',
			host,
			path_prefix: prefix,
			kind,
			timeout_ms: timeoutMs,
			target_latency_ms: targetLatencyMs,
			priority: 0,
			service,
			max_attempts: maxAttempts,
			public: false,
			session_affinity: isResumable,
			resumable: isResumable,
			...(isResumable && {gap_target_ms: 600}),
		}],
		services: [{
			name: service, health_path: '/health', max_connections: isResumable ? 370 : 110, protocol: 'h1', tls: false,
		}],
		limits,
		tenants: [{name: 't-1', api_keys: [apiKey]}],
	};
}

/** Returns a heartbeat of a runner. */
export function createHeartbeat({service, address, zone, version, slots, state, sequence, born}) {
	return {
		service, address, zone, version, slots, state, cold_remaining_ms: 0, sequence, born,
	};
}

/** Returns the fields from which the platform renders the settings file of a process. */
export function createFields({name, ip, zone, listen, peerPort, seeds, isFirstStart, dataFolder, heartbeatMs}) {
	return {
		node: name, ip, zone, listen, internal_ports: [peerPort], seeds, bootstrap: isFirstStart, data_dir: dataFolder, heartbeat_ms: heartbeatMs, bounds, cloud: {address: '', duties: []},
	};
}
