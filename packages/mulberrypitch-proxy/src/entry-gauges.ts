/** Gauges of an entry. */
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import type {BackendReachability} from './backend-reachability.js';
import type {BackendSpeeds} from './backend-speeds.js';
import type {BackendView} from './backend-view.js';
import type {ConfigurationInForce} from './configuration-in-force.js';
import type {ContentQuarantine} from './content-quarantine.js';
import type {ProxyServer} from './proxy-server.js';
import type {StreamOrigins} from './stream-origins.js';
import type {ViewClient} from './view-client.js';

/** Upper limit of the reported view age in milliseconds; also reported before the first reply. */
const maxViewAgeMs = 3_600_000;

/** The parts of an entry that the gauges read. */
export type GaugedEntryParts = {
	readonly isReady: () => boolean;
	readonly getEntryCount: () => number;
	readonly configuration: ConfigurationInForce;
	readonly server: ProxyServer;
	readonly view: ViewClient;
	readonly backends: BackendView;
	readonly speeds: BackendSpeeds;
	readonly reachability: BackendReachability;
	readonly quarantine: ContentQuarantine;
	readonly origins: StreamOrigins;
};

/**
Registers the gauges of an entry.

@example
```
addEntryGauges(metrics, parts);
```
*/
export function addEntryGauges(metrics: MetricsRegistry, parts: GaugedEntryParts): void {
	const {
		configuration, server, view, backends, speeds, reachability, quarantine, origins,
	} = parts;
	metrics.gauge('mulberrypitch_entry_ready', 'One while the entry takes callers.', () => parts.isReady() ? 1 : 0);
	metrics.gauge('mulberrypitch_entry_running', 'Requests in progress.', () => server.running);
	metrics.gauge('mulberrypitch_entry_caller_connections', 'Open connections of callers.', () => server.connectionCount);
	metrics.gauge('mulberrypitch_entry_body_bytes', 'Memory that the bodies of requests take.', () => server.bodyBytes);
	metrics.gauge('mulberrypitch_entry_configuration_version', 'Configuration in force.', () => configuration.table?.configuration.version ?? 0);
	metrics.gauge('mulberrypitch_entry_view_age_seconds', 'Age of what the coordinators said.', () => Math.min(view.ageMs, maxViewAgeMs) / 1000);
	metrics.gauge('mulberrypitch_entry_backends', 'Back ends that may be given requests.', () => backends.getCounts().serving);
	metrics.gauge('mulberrypitch_entry_backends_set_aside', 'Back ends that failed too often and get nothing for a while.', () => backends.getCounts().ejected);
	metrics.gauge('mulberrypitch_entry_backends_limited', 'Back ends that state a limit on requests.', () => backends.getCounts().limited);
	metrics.gauge('mulberrypitch_entry_backends_paused', 'Back ends that asked this entry for a pause.', () => backends.getCounts().paused);
	metrics.gauge('mulberrypitch_entry_backends_uneven', 'Back ends whose speed differs from the mean of their service.', () => speeds.count);
	metrics.gauge('mulberrypitch_entry_backend_connections', 'Connections to back ends.', () => backends.getCounts().connections);
	metrics.gauge('mulberrypitch_entry_cut_off', 'One while the entry reaches no back end.', () => reachability.isCutOff ? 1 : 0);
	metrics.gauge('mulberrypitch_entry_quarantined_contents', 'Contents that are kept from back ends since they crash them.', () => quarantine.count);
	metrics.gauge('mulberrypitch_entry_stream_origins', 'Streams of which the entry was told where they began.', () => origins.count);
	metrics.gauge('mulberrypitch_entries', 'Entries in touch, as the coordinators said.', parts.getEntryCount);
}
