/** Takes the statuses of entries, directly or from other coordinators, and tells the entries what has changed. */
import type {Notification} from '@mulberrypitch/lifecycle/background';
import type {Peer} from '@mulberrypitch/control/types';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {BackendRoster} from '@mulberrypitch/serving/backend-roster';
import {groupOrigins, type OriginTable} from '@mulberrypitch/serving/origin-table';
import {QuarantineList} from '@mulberrypitch/serving/quarantine-list';
import {
	defaultWaitMs, type EntryStatus, type GossipReply, type GossipRequest, type OriginChanges, type StoredConfiguration, type ViewReply, type ViewRequest,
} from '@mulberrypitch/serving/view-messages';
import type {ConfigurationDistribution} from './configuration-distribution.js';
import {CrashEvidence} from './crash-evidence.js';
import type {EntryDirectory} from './entry-directory.js';
import type {RolloutService} from './rollout-service.js';
import type {SpeedSums} from './speed-sums.js';

/** Dependencies of the service. */
export type ViewServiceOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly directory: EntryDirectory;
	readonly roster: BackendRoster;
	readonly speeds: SpeedSums;
	/** Where streams began, as the entries reported it. */
	readonly origins: OriginTable;
	readonly rollouts: Pick<RolloutService, 'feed' | 'mergeAges'>;
	/** Identifies this start of the coordinator. */
	readonly epoch: string;
	/** Notified when the configuration, the roster or the quarantine changes. */
	readonly changes: Notification;
	/** Returns the configuration in force, or `undefined` before the first one. */
	readonly getConfiguration: () => StoredConfiguration | undefined;
	/** Parts of the configuration in force. */
	readonly distribution: ConfigurationDistribution;
	/** This coordinator, with its address for calls between processes. */
	readonly own: Peer & {readonly zone: string};
	/** Returns the coordinators with which this one has exchanged lately. */
	readonly getRecentPeers: () => readonly Peer[];
	/** Returns the addresses of all coordinators for calls between processes. */
	readonly getCoordinators: () => readonly string[];
	/** Reports whether the coordinator is in contact with a leader. */
	readonly isInTouch: () => boolean;
};

/** Maximum number of other entries that an entry is told of. */
const maxPeers = 8;
/** Maximum time in milliseconds for which a call of an entry waits for changes, whatever it asks for. */
const maxWaitMs = 1000;

/** Serves the views of the entries, and decides with what they report which contents are quarantined. */
export class ViewService {
	readonly #options: ViewServiceOptions;
	readonly #quarantine: QuarantineList;
	readonly #evidence: CrashEvidence;
	/** Availability zones of the other coordinators, by name. */
	readonly #zones = new Map<string, string>();

	constructor(options: ViewServiceOptions) {
		const {clock, logger, changes} = options;
		this.#options = options;
		this.#quarantine = new QuarantineList(clock);
		this.#evidence = new CrashEvidence({
			clock,
			quarantine: this.#quarantine,
			onSuspect() {
				changes.notify();
			},
			onRestricted(fingerprint, backends) {
				logger.log(events.contentRestricted, {fingerprint, backends: backends.join(' ')});
				changes.notify();
			},
			onQuarantined(fingerprint, backends) {
				logger.log(events.contentQuarantined, {fingerprint, backends: backends.join(' ')});
				changes.notify();
			},
		});
	}

	/** Stores the status of an entry and replies with the changes since its versions, for which it waits up to the timeout. */
	async watch(request: ViewRequest): Promise<ViewReply> {
		const {status, rosterEpoch, rosterVersion, origins: report, waitMs = defaultWaitMs, speeds: observed, skipsSpeeds = false} = request;
		const {
			directory, roster, origins, rollouts, speeds, getCoordinators, isInTouch,
		} = this.#options;
		directory.update(status);
		this.#mergeObservations(status);
		if (observed !== undefined) {
			speeds.update(status.name, observed);
		}

		origins.merge(report?.begun ?? []);
		const hasChanges = this.#hasNewerConfiguration(request) || roster.hasChanges(rosterEpoch, rosterVersion) || rollouts.feed.hasNews(status);
		if (!hasChanges) {
			await this.#waitForChanges(Math.min(waitMs, maxWaitMs));
		}

		const restricted = this.#evidence.getRestricted();
		return {
			...this.#getConfigurationFields(request),
			roster: roster.getChanges(rosterEpoch, rosterVersion),
			loads: directory.getLoads(status.name),
			othersSpent: directory.getOthersSpent(status.name),
			verdict: {
				suspects: this.#evidence.getSuspects(),
				quarantined: this.#quarantine.capture(),
				restricted,
				mayRunRestricted: restricted.length > 0 && directory.getRestrictedRunner() === status.name,
			},
			limits: directory.getLimitShares(status.name),
			origins: this.#getOriginChanges(request),
			entryCount: Math.max(1, directory.count),
			coordinators: getCoordinators(),
			nearby: this.#getNearby(status.zone),
			peers: directory.getPeers(status.name, maxPeers),
			...rollouts.feed.createReply(status),
			...(observed !== undefined && !skipsSpeeds && {speeds: speeds.getSpeeds()}),
			isInTouch: isInTouch(),
		};
	}

	/** Merges what another coordinator sends, and replies with what changed in the roster, or with the whole roster and all origins if it asks for them. */
	async mergeGossip({
		from, zone, entries, backends, origins: told = [], wantsAll, known, rolloutAges = [], speeds: sums,
	}: GossipRequest): Promise<GossipReply> {
		const {directory, roster, origins, rollouts, changes} = this.#options;
		this.#zones.set(from, zone ?? '');
		origins.merge(told);
		rollouts.mergeAges(rolloutAges);
		if (sums !== undefined) {
			this.#options.speeds.merge(from, sums);
		}

		for (const status of entries) {
			directory.merge(status);
			this.#mergeObservations(status);
		}

		const hasChanged = backends.map(entry => roster.merge(entry));
		if (hasChanged.includes(true)) {
			changes.notify();
		}

		const {epoch, version, entries: changed} = roster.getChanges(wantsAll ? '' : known?.epoch ?? '', known?.version ?? 0);
		return {backends: changed, position: {epoch, version}, ...(wantsAll && {origins: origins.getSince(0)})};
	}

	/** Removes entries, back ends and charges that have not been heard of for too long. */
	expire(): void {
		const {directory, roster, rollouts, changes} = this.#options;
		directory.expire();
		rollouts.feed.retain(directory.getLiveStatuses());
		this.#evidence.expire();
		if (roster.expire()) {
			changes.notify();
		}
	}

	#hasNewerConfiguration({configurationVersion, readingVersion = 0}: ViewRequest): boolean {
		return (this.#options.getConfiguration()?.version ?? 0) > Math.max(configurationVersion, readingVersion);
	}

	/** Returns the first part of a newer configuration, or its document for an entry that reads no parts. */
	#getConfigurationFields(request: ViewRequest): Pick<ViewReply, 'configuration' | 'configurationPart'> {
		const {distribution, getConfiguration} = this.#options;
		const stored = getConfiguration();
		if (stored === undefined || !this.#hasNewerConfiguration(request)) {
			return {};
		}

		return request.readsParts === true && distribution.version === stored.version
			? {configurationPart: distribution.getPart({version: stored.version, baseVersion: request.configurationVersion, offset: 0})}
			: {configuration: stored};
	}

	#getOriginChanges({origins: report, readsOriginParts = false}: ViewRequest): OriginChanges {
		const {origins, epoch} = this.#options;
		const known = report?.known.find(position => position.epoch === epoch) ?? {position: 0};
		if (!readsOriginParts) {
			return {epoch, position: origins.position, groups: origins.getSince(known.position)};
		}

		const {records, position, missingBefore} = origins.getPart(known);
		return {
			epoch, position, groups: groupOrigins(records), ...(missingBefore > 0 && {missingBefore}),
		};
	}

	/** Returns the addresses of the coordinators in a zone that this one hears, itself included. */
	#getNearby(zone: string): readonly string[] {
		const {own, getRecentPeers} = this.#options;
		const others = getRecentPeers().filter(({name}) => this.#zones.get(name) === zone).map(({address}) => address);
		return own.zone === zone ? [own.address, ...others] : others;
	}

	/** Takes over what an entry observed of back ends. */
	#mergeObservations({crashes, leaves = []}: EntryStatus): void {
		const {roster, changes, logger} = this.#options;
		this.#evidence.merge(crashes);
		for (const leave of leaves) {
			if (roster.markLeaving(leave)) {
				logger.log(events.backendLeaving, {backend: leave.backend, isStated: true});
				changes.notify();
			}
		}
	}

	async #waitForChanges(waitMs: number): Promise<void> {
		const {clock, changes} = this.#options;
		const timeout = new AbortController();
		const abortAfterTimeout = async () => {
			await clock.sleep(waitMs, timeout.signal);
			timeout.abort();
		};

		void abortAfterTimeout();
		await changes.wait(timeout.signal);
		timeout.abort();
	}
}
