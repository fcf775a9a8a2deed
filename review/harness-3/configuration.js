/** A configuration with one plain service, like that of a small site. */
/* eslint-disable camelcase -- Fields of the wire format and of the settings. */
import {host, key} from './clients.js';

export const service = 'wuno96b';
export const orderPath = '/pule252/2f';
export const stockPath = '/ture118/7a';

/** Returns a configuration of a version. */
export function createConfiguration(version) {
	const common = {
		host, timeout_ms: 1500, target_latency_ms: 300, priority: 2, service, public: false, session_affinity: false, resumable: false,
	};
	return {
		version,
		routes: [
			{
				...common, name: 'r-order', path_prefix: '/pule252/', kind: 'non_idempotent', max_attempts: 1,
			},
			{
				...common, name: 'r-stock', path_prefix: '/ture118/', kind: 'idempotent', max_attempts: 2,
			},
		],
		services: [{
			name: service, health_path: '/health', max_connections: 110, protocol: 'h1', tls: false,
		}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
		tenants: [{
			name: 'huka270', api_keys: [key], priority: 1, unit: 'tokens', plain_tokens: 200, rate_per_s: 0, burst: 0,
		}],
	};
}
