/**
 * Messages between entries and coordinators. Processes of two successive versions exchange them, so new fields are optional. A coordinator
 * checks the requests of entries and of other coordinators by the schemas of `status-schema.ts`.
 */
import type {RosterChanges, RosterEntry, RosterPosition} from './backend-roster.js';
import type {ConfigurationPart} from './configuration-messages.js';
import type {QuarantinedContent} from './quarantine-list.js';
import type {Rollout, RolloutEvidence} from './rollout-messages.js';

/** Demand for one service at one entry, from which the coordinators determine the size of the fleet. */
export type ServicePressure = {
	/** Requests that were refused for lack of capacity since the entry started. */
	readonly refused: number;
	/** Requested prompt tokens per second, averaged over the last seconds. */
	readonly tokensPerSecond: number;
	/** Engine time in milliseconds that one prompt token takes; absent while unknown. */
	readonly msPerToken?: number;
};

/** Number of requests by workspace that began to run in one window of wall time. */
export type UsageCount = {
	/** Number of the window: wall time divided by the length of a window, rounded down. */
	readonly window: number;
	/** Number of requests by workspace. */
	readonly counts: Readonly<Record<string, number>>;
};

/** Load of one back end. */
export type BackendLoad = {
	/** Requests in flight. */
	readonly requests: number;
	/** Prompt tokens of requests that were sent and have not produced their first event. */
	readonly pendingTokens: number;
};

/**
Evidence on the speeds of back ends, by identifier: the sum of the weights of the observed times, and the weighted sum of the logarithms of time
taken to time expected.
*/
export type SpeedReport = Readonly<Record<string, readonly [weight: number, sum: number]>>;

/** Identifies one incarnation of a back end. */
export type Incarnation = {
	/** Identifier of the back end. */
	readonly backend: string;
	/** Wall time of the start in milliseconds. */
	readonly startedAt: number;
};

/** Last statement of one incarnation of a back end on the requests that it accepts. */
export type StatedLimit = Incarnation & {
	/** Requests a second from all entries together; absent if the back end stated no limit. */
	readonly requestsPerSecond?: number;
	/** Time in milliseconds since the statement held. */
	readonly ageMs: number;
};

/** The newest statement known, and what it leaves to one entry. */
export type LimitShare = StatedLimit & {
	/** Part of the limit that the entry may use, from zero to one. */
	readonly part: number;
};

/** A request that a back end broke off and that may have crashed it. */
export type ContentCharge = {
	/** Incarnation of the back end. */
	readonly backend: string;
	/** Time in milliseconds since the back end broke off the request. */
	readonly ageMs: number;
	/** Fingerprints of the contents of the request, from the least to the most specific one. */
	readonly fingerprints: readonly string[];
};

/** The last answer to a request with a content. */
export type AnsweredContent = {
	readonly fingerprint: string;
	/** Time in milliseconds since the answer. */
	readonly ageMs: number;
};

/** Observations of one entry on contents that may crash back ends. */
export type CrashReport = {
	readonly charges: readonly ContentCharge[];
	/** Of the contents that the coordinators suspect, those that a back end answered. */
	readonly answered: readonly AnsweredContent[];
	readonly quarantined: readonly QuarantinedContent[];
	/** Back ends that broke off a request and answered a later one, so that they have not crashed; absent from an entry of an earlier version. */
	readonly survived?: readonly BackendSurvival[];
};

/** A sign that a back end has not crashed. */
export type BackendSurvival = {
	/** Incarnation of the back end. */
	readonly backend: string;
	/** Time in milliseconds since a request was sent that it answered. */
	readonly ageMs: number;
};

/** Conclusions of the coordinators on contents that may crash back ends. */
export type ContentVerdict = {
	/** Contents of which the entries report whether they were answered. */
	readonly suspects: readonly string[];
	readonly quarantined: readonly QuarantinedContent[];
	/** Whole requests that run at one back end at a time; absent from a coordinator of an earlier version. */
	readonly restricted?: readonly string[];
	/** Whether the entry is the one that runs them; absent from a coordinator of an earlier version. */
	readonly mayRunRestricted?: boolean;
};

/** The back ends at which a stream began. Only back ends of that service and that version of the software may go on with it. */
export type StreamOrigin = {
	readonly service: string;
	readonly version: string;
};

/** Streams that began at the same service and version. */
export type OriginGroup = StreamOrigin & {
	/** Identifiers of the attempts that brought the first events. */
	readonly attemptIds: readonly string[];
};

/** Up to where an entry has applied the origins that a coordinator has learned. */
export type OriginPosition = {
	/** Identifies one start of the coordinator. */
	readonly epoch: string;
	readonly position: number;
};

/** Which origins of a coordinator an entry knows: all from one position to another. */
export type KnownOrigins = {
	readonly position: number;
	/** Position before which origins are missing; absent if none is. */
	readonly missingBefore?: number;
};

/** Origins of streams that an entry reports to a coordinator, and the ones that it has from it. */
export type OriginReport = {
	/** Positions at the coordinators that replied last, since the entry doesn't know which one it calls. */
	readonly known: ReadonlyArray<OriginPosition & KnownOrigins>;
	/** Streams that began at the entry, or all that it knows of if the coordinator may have just started. */
	readonly begun: readonly OriginGroup[];
};

/**
The origins that a coordinator has learned since its position in the report, or all that it knows if the report has none. An entry that reads parts gets
the newest ones that it lacks, and the others with the replies that follow.
*/
export type OriginChanges = OriginPosition & KnownOrigins & {
	readonly groups: readonly OriginGroup[];
};

/** The status that an entry reports. */
export type EntryStatus = {
	readonly name: string;
	/** Identifies one start of the process. */
	readonly incarnation: string;
	/** Uptime of the process in milliseconds. */
	readonly upMs: number;
	/** `host:port` for callers. */
	readonly address: string;
	readonly zone: string;
	/** Whether the entry accepts callers. */
	readonly isReady: boolean;
	/** Load that the entry puts on each back end, by the identifier of the back end. */
	readonly loads: Readonly<Record<string, BackendLoad>>;
	/** Demand by service. */
	readonly pressure: Readonly<Record<string, ServicePressure>>;
	/** Quota units spent since the entry started, by workspace. */
	readonly spent: Readonly<Record<string, number>>;
	readonly usage: readonly UsageCount[];
	readonly crashes: CrashReport;
	/** Limits that back ends stated in their responses to this entry; absent from an entry of an earlier version. */
	readonly limits?: readonly StatedLimit[];
	/** Back ends that leave, as this entry knows from their responses or from the coordinators; absent from an entry of an earlier version. */
	readonly leaves?: readonly Incarnation[];
	/** Whether the entry reaches any back end; absent from an entry of an earlier version. */
	readonly reachesBackends?: boolean;
	/** What the entry has observed of the roll-outs in progress; absent if there are none, or from an entry of an earlier version. */
	readonly rollouts?: readonly RolloutEvidence[];
};

/** A long-polling request for changes. The reply comes at once when there are any, otherwise after a timeout. */
export type ViewRequest = {
	readonly status: EntryStatus;
	/** Version of the configuration in force at the entry; zero if there is none. */
	readonly configurationVersion: number;
	/** Epoch and version of the last roster changes that the entry has applied. */
	readonly rosterEpoch: string;
	readonly rosterVersion: number;
	/** Absent from an entry of an earlier version. */
	readonly origins?: OriginReport;
	/** Longest time in milliseconds for which the coordinator waits for changes; absent from an entry of an earlier version. */
	readonly waitMs?: number;
	/** What the entry has lately observed of the speeds of back ends, about once a second; absent from the other requests, or from an entry of an earlier version. */
	readonly speeds?: SpeedReport;
	/** Whether the reply to a report of speeds should leave the speeds out, since the entry has recent ones; absent without a report, or from an entry of an earlier version. */
	readonly skipsSpeeds?: boolean;
	/** Whether the entry reads origins in parts; absent from an entry of an earlier version. */
	readonly readsOriginParts?: boolean;
	/** Whether the entry reads configurations in parts; absent from an entry of an earlier version. */
	readonly readsParts?: boolean;
	/** Newest version of which the entry has the first part while it reads a configuration; absent if it reads none. The coordinator offers only newer ones. */
	readonly readingVersion?: number;
};

/** Time in milliseconds for which a coordinator waits for changes if the request states none. */
export const defaultWaitMs = 100;

/** A configuration in the form in which the operator sent it. */
export type StoredConfiguration = {
	readonly version: number;
	readonly document: string;
};

/** The newest configuration, as the leader read it; absent before the first one. */
export type ConfigurationRead = {
	readonly configuration?: StoredConfiguration;
};

/** The changes since the versions in the request, and the current load. */
export type ViewReply = {
	/** Absent if the coordinator knows no newer version. */
	readonly configuration?: StoredConfiguration;
	/** First part of a newer configuration, for an entry that reads configurations in parts; absent if the coordinator knows no newer version. */
	readonly configurationPart?: ConfigurationPart;
	readonly roster: RosterChanges;
	/** Load that all other entries put on each back end. */
	readonly loads: Readonly<Record<string, BackendLoad>>;
	/** Quota units that all other entries have spent, by workspace, as counted by this coordinator. */
	readonly othersSpent: Readonly<Record<string, number>>;
	readonly verdict: ContentVerdict;
	/** Limits that back ends stated to any entry; absent from a coordinator of an earlier version. */
	readonly limits?: readonly LimitShare[];
	/** Absent from a coordinator of an earlier version. */
	readonly origins?: OriginChanges;
	/** Number of entries in contact with the coordinators, including the one that asks. */
	readonly entryCount: number;
	/** Addresses of the coordinators for calls between processes. */
	readonly coordinators: readonly string[];
	/** Addresses, for calls between processes, of the coordinators in the zone of the entry that were heard lately; absent from a coordinator of an earlier version. */
	readonly nearby?: readonly string[];
	/** Addresses for callers of other entries that reach back ends; absent from a coordinator of an earlier version. */
	readonly peers?: readonly string[];
	/**
	Speeds of the back ends whose speed differs from the mean of their service, which is one. In the reply to a request with a report of speeds,
	unless it asks to leave them out; absent from the others, or from a coordinator of an earlier version.
	*/
	readonly speeds?: Readonly<Record<string, number>>;
	/** The last roll-out of each service; absent if there was none, or from a coordinator of an earlier version. */
	readonly rollouts?: readonly Rollout[];
	/** Whether the coordinator is in contact with a leader. */
	readonly isInTouch: boolean;
	/**
	Whether the coordinator had applied, a moment before, all that a leader knew to be committed: one that only hears a leader may lag behind. Absent
	from a coordinator of an earlier version.
	*/
	readonly isCurrent?: boolean;
};

/** Statuses of entries and back ends that one coordinator sends to another. */
export type GossipRequest = {
	/** Name of the coordinator that sends the request. */
	readonly from: string;
	/** Availability zone of that coordinator; absent from a coordinator of an earlier version. */
	readonly zone?: string;
	readonly entries: readonly EntryStatus[];
	readonly backends: readonly RosterEntry[];
	/** Origins of streams that the called coordinator may not know; absent from a coordinator of an earlier version. */
	readonly origins?: readonly OriginGroup[];
	/** Sums of what the entries observe that report to the sender, about once a second; absent from the other requests, or from a coordinator of an earlier version. */
	readonly speeds?: SpeedReport;
	/** Whether the reply should contain all back ends and origins. */
	readonly wantsAll: boolean;
	/** Up to where the sender has merged the roster of the called coordinator; absent if it never has, or from a coordinator of an earlier version. */
	readonly known?: RosterPosition;
	/** Times since the orders of the running roll-outs, as the sender measured them; absent if there are none, or from a coordinator of an earlier version. */
	readonly rolloutAges?: readonly RolloutAge[];
};

/** Time since the order of a roll-out. */
export type RolloutAge = {
	/** The roll-out's `id`. */
	readonly rollout: number;
	readonly elapsedMs: number;
};

/** What the called coordinator knows beyond the position in the request. Origins are included only if the request asked for all. */
export type GossipReply = {
	readonly backends: readonly RosterEntry[];
	/** Position of the roster with these back ends; absent from a coordinator of an earlier version. */
	readonly position?: RosterPosition;
	/** Absent from a coordinator of an earlier version. */
	readonly origins?: readonly OriginGroup[];
};

/** Method names of the calls between processes. */
export const methods = {
	watch: 'serving.watch',
	gossip: 'serving.gossip',
	propose: 'serving.propose',
	read: 'serving.read',
	join: 'serving.join',
	startRollout: 'serving.startRollout',
	readRollout: 'serving.readRollout',
} as const;
