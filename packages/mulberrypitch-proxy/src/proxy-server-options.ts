/** Dependencies and settings of the proxy server. */
import type {ClientLimits} from '@mulberrypitch/lifecycle/client-limits';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {EarlyListener} from '@mulberrypitch/lifecycle/early-listener';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import type {RouteTable} from '@mulberrypitch/serving/route-table';
import type {BackendReachability} from './backend-reachability.js';
import type {BackendSpeeds} from './backend-speeds.js';
import type {BackendView} from './backend-view.js';
import type {ContentQuarantine} from './content-quarantine.js';
import type {EntryRollouts} from './entry-rollouts.js';
import type {PeerEntries} from './peer-entries.js';
import type {StreamOrigins} from './stream-origins.js';
import type {VersionHistory} from './version-history.js';
import type {HeaderNames} from './types.js';
import type {UsageCounter} from './usage-counter.js';
import type {WindowedRetryBudget} from './windowed-retry-budget.js';
import type {WorkspaceQuotas} from './workspace-quotas.js';

/** Dependencies and settings of the proxy server. */
export type ProxyServerOptions = {
	/** Address for callers, as `host:port`. */
	readonly listen: string;
	/** Listens on that address already; absent if the server is to listen itself. */
	readonly listener?: EarlyListener;
	/** Availability zone of the entry. */
	readonly zone: string;
	readonly names: HeaderNames;
	readonly clientLimits: ClientLimits;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly backends: BackendView;
	readonly speeds: BackendSpeeds;
	readonly quarantine: ContentQuarantine;
	readonly reachability: BackendReachability;
	/** Other entries. */
	readonly peers: PeerEntries;
	readonly origins: StreamOrigins;
	readonly versions: VersionHistory;
	readonly rollouts: EntryRollouts;
	readonly quotas: WorkspaceQuotas;
	readonly retries: WindowedRetryBudget;
	readonly usage: UsageCounter;
	/** Returns the time in milliseconds since the last reply of a coordinator that is in contact with a leader. */
	readonly getViewAgeMs: () => number;
	readonly metrics: MetricsRegistry;
	/** Returns the routing table of the configuration in force, or `undefined` before the first one. */
	readonly getTable: () => RouteTable | undefined;
};
