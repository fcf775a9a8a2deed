/** Gauges of a coordinator. */
import type {Replica} from '@mulberrypitch/control/replica';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import type {BackendRoster} from '@mulberrypitch/serving/backend-roster';
import type {EntryDirectory} from './entry-directory.js';
import type {Gossip} from './gossip.js';
import type {ServingState} from './serving-state.js';

/** The parts of a coordinator that the gauges read. */
export type GaugedParts = {
	readonly replica: Replica;
	readonly gossip: Gossip;
	readonly state: ServingState;
	readonly directory: EntryDirectory;
	readonly roster: BackendRoster;
};

/**
Registers the gauges of a coordinator.

@example
```
addCoordinatorGauges(metrics, {replica, gossip, state, directory, roster});
```
*/
export function addCoordinatorGauges(metrics: MetricsRegistry, {replica, gossip, state, directory, roster}: GaugedParts): void {
	metrics.gauge('mulberrypitch_coordinator_roster_recent', 'One while the roster has all that a quorum of coordinators knew lately.', () => gossip.isRosterRecent ? 1 : 0);
	metrics.gauge('mulberrypitch_coordinator_in_touch', 'One while a leader is heard.', () => replica.isInTouch() ? 1 : 0);
	metrics.gauge('mulberrypitch_coordinator_leads', 'One while this coordinator leads.', () => replica.hasLease() ? 1 : 0);
	metrics.gauge('mulberrypitch_coordinator_term', 'Term of the replicated log.', () => replica.term);
	metrics.gauge('mulberrypitch_coordinator_commit_index', 'Last committed entry.', () => replica.commitIndex);
	metrics.gauge('mulberrypitch_coordinator_configuration_version', 'Newest committed configuration known here.', () => state.configuration?.version ?? 0);
	metrics.gauge('mulberrypitch_coordinator_entries', 'Entries heard lately.', () => directory.count);
	metrics.gauge('mulberrypitch_coordinator_backends', 'Back ends that take requests.', () => roster.getServing().length);
}
