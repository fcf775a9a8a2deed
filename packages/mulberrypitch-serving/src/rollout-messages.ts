/** A roll-out of a software version, as the replicated state holds it, and what entries report of it. */

/** States of a roll-out. */
export const rolloutStates = {
	running: 'running',
	completed: 'completed',
	rolledBack: 'rolledBack',
} as const;

/** One of the states of a roll-out. */
export type RolloutState = typeof rolloutStates[keyof typeof rolloutStates];

/** The last roll-out of a service. */
export type Rollout = {
	/** Log index of its order, which identifies the roll-out. */
	readonly id: number;
	readonly service: string;
	/** Version of the software to which the traffic is moved. */
	readonly target: string;
	/** Time in milliseconds from the order by which the roll-out is to be completed. */
	readonly durationMs: number;
	readonly state: RolloutState;
	/** Part of the service's requests that are sent to the target, from zero to one. */
	readonly share: number;
	/** Increases with each change of the state or the share. */
	readonly revision: number;
	/** Time in milliseconds since the order, as last committed. */
	readonly elapsedMs: number;
	/** Reason of the last change, for operators. */
	readonly reason: string;
	/** Versions that earlier roll-outs of the service rolled back, the last ones only; absent if there are none. */
	readonly withdrawn?: readonly string[];
};

/** Count, sum and sum of squares of the natural logarithms of times in milliseconds. Values of several entries can be added. */
export type LogTimeSums = {
	readonly count: number;
	readonly sum: number;
	readonly squares: number;
};

/** Answers of the back ends of one side of a roll-out. */
export type AnswerSums = {
	/** Requests that were sent. */
	readonly sent: number;
	/** Requests that ended with a success. */
	readonly succeeded: number;
	/** Requests that the back end failed: a status of 500 or more that it ran, an answer that broke off, or none in time. */
	readonly failed: number;
	/** Times to the first event, or to the whole answer of a request that doesn't stream. */
	readonly first: LogTimeSums;
	/** Longest pauses between two events of each stream. */
	readonly pause: LogTimeSums;
};

/** Answers to the requests of one route. */
export type RouteEvidence = {
	/** Name of the route; empty for the sum of all routes that are not listed by name. */
	readonly route: string;
	/** Answers of the back ends of the target version. */
	readonly target: AnswerSums;
	/** Answers of the back ends of all other versions, in the same time. */
	readonly others: AnswerSums;
};

/** What one entry has observed of a roll-out since its process learned of it. */
export type RolloutEvidence = {
	/** The roll-out's `id`. */
	readonly rollout: number;
	/** Revision on which the entry acts. */
	readonly revision: number;
	/** Requests for the service that arrived. */
	readonly requests: number;
	/** Requests in progress at back ends of other versions than the target, with streams that can go on only there; at least one if there are any. */
	readonly othersRunning: number;
	readonly routes: readonly RouteEvidence[];
};

/** What is known when a roll-out is decided on. */
export type RolloutObservation = {
	readonly durationMs: number;
	readonly elapsedMs: number;
	readonly share: number;
	/** Time in milliseconds for which the share has been in force. */
	readonly shareAgeMs: number;
	/** Requests for the service since the order, of all entries. */
	readonly requests: number;
	/** Sums over all entries. */
	readonly routes: readonly RouteEvidence[];
	/** Sums over all entries when the present share came into force, so that answers at this share can be told apart. */
	readonly routesBefore: readonly RouteEvidence[];
	readonly othersRunning: number;
	/** Whether every ready entry acts on the present revision. */
	readonly isAppliedEverywhere: boolean;
	/** Serving back ends of the target, and of other versions. */
	readonly targetBackends: number;
	readonly otherBackends: number;
};

/** Bounds within which a bad version must stay. */
export type RolloutLimits = {
	/** Part of all requests for the service between the order and the deadline that a bad version may get. */
	readonly exposedShare: number;
	/** Number of requests that it may get beyond that. */
	readonly exposedSlack: number;
	/** Time in milliseconds after its 50th bad answer from which on it must get no request. */
	readonly rollbackMs: number;
};

/** What is done next. `reason` is for operators. */
export type RolloutDecision
	= | {readonly kind: 'hold'}
		| {readonly kind: 'setShare'; readonly share: number; readonly reason: string}
		| {readonly kind: 'complete'; readonly reason: string}
		| {readonly kind: 'rollBack'; readonly reason: string};
