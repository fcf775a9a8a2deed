/** Dependencies and settings of a proxied request, and its possible ends. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {Route} from '@mulberrypitch/serving/types';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {BackendPermit} from './backend-place.js';
import type {Prompt, StreamPosition} from './caller-request.js';
import type {RequestContent} from './content-quarantine.js';
import type {KnownBackend} from './known-backend.js';
import type {CallerHead} from './request-head.js';
import type {ResponseRelay} from './response-relay.js';
import type {StreamBinding} from './stream-binding.js';
import type {HeaderNames} from './types.js';

/** An admitted request, and the dependencies and settings with which it is handled. */
export type ProxiedRequestOptions = {
	/** Identifier that the caller gave the request; absent if it sent none. */
	readonly attemptId: string | undefined;
	readonly caller: CallerHead;
	readonly body: Uint8Array;
	readonly route: Route;
	readonly service: string;
	/** Absent when the configuration requires no keys. */
	readonly workspace: string | undefined;
	/** Priority of the request; zero is the most urgent. */
	readonly priority: number;
	readonly prompt: Prompt;
	/** Where the caller takes a stream up again; absent if it begins one. */
	readonly position: StreamPosition | undefined;
	readonly content: RequestContent;
	/** Whether the caller's `Authorization` header is withheld from the back end. */
	readonly dropsKey: boolean;
	/** Monotonic time in milliseconds by which the caller gets its final response. */
	readonly deadlineAt: number;
	readonly relay: ResponseRelay;
	readonly binding: StreamBinding;
	readonly names: HeaderNames;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Aborts when the caller disconnects. */
	readonly signal: AbortSignal;
	/**
	Resolves with a permit for a back end, or `undefined` when none became free in time or the caller disconnected. An excluded
	back end is chosen only when no other one is available.
	*/
	readonly place: (excludedIds: ReadonlySet<string>) => Promise<BackendPermit | undefined>;
	/** Reports whether there is a back end to which the request may be sent. */
	readonly hasCandidates: () => boolean;
	/** Returns the time in milliseconds until a back end accepts the request, by what the back ends have stated. */
	readonly getStatedWaitMs: () => number;
	/** Reports whether the process is being stopped and may end before the request, if it is sent now. */
	readonly isTooLate: () => boolean;
	/** Reports, given the number of back ends that were tried in vain, whether another entry should be asked, since this one can connect to none. */
	readonly isCutOff: (triedCount: number) => boolean;
	/** Called after the permit for a back end was released. */
	readonly onReleased: () => void;
	/** Takes one retry from the service's retry budget. Returns whether one was left. */
	readonly takeRetry: () => boolean;
	/** Returns the inputs of a decision other than the back end, for the log. */
	readonly getDecisionContext: () => DecisionContext;
	/** Reports whether a back end may still be sent the request, which was given a permit for it. */
	readonly canSend: (backend: KnownBackend) => boolean;
	/** Called when the request is sent to a back end. */
	readonly onSent: (backend: KnownBackend) => void;
	/** Called after each attempt with its outcome. */
	readonly onAttemptEnded: (outcome: AttemptOutcome) => void;
	/** Called once, when it is first certain that a back end runs the request. */
	readonly onRunStarted: () => void;
};

/** State of the entry at the time of a decision, for the log. */
export type DecisionContext = {
	/** Version of the configuration in force. */
	readonly configuration: number;
	/** Time in milliseconds since the last reply of a coordinator that is in contact with a leader. */
	readonly viewAgeMs: number;
};

/**
End of the request: `answered` with a response of a back end, `abandoned` by the caller, `refused` since no back end ran it,
`replied` to with a local reply, or `cut` off after a part of the response.
*/
export type RequestEnd
	= | {readonly kind: 'answered'}
		| {readonly kind: 'abandoned'}
	/** `isUnreachable` if this entry can connect to no back end, so that another entry may be asked. */
		| {readonly kind: 'refused'; readonly isUnreachable?: boolean; readonly service: string; readonly reason: string; readonly retryAfterSeconds?: number}
		| {readonly kind: 'replied'; readonly status: number; readonly reason: string}
		| {readonly kind: 'cut'; readonly reason: string};
