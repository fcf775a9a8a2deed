/**
 * Handles one caller's request: waits for a permit, sends the request to a back end, relays the response, and retries where that
 * is safe.
 */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {requestKinds, type Route} from '@mulberrypitch/serving/types';
import {ResponseCollector} from './response-collector.js';
import type {ResponseRelay} from './response-relay.js';
import {
	decideNextStep, type AttemptOutcome, type BufferedResponse, type NextStep,
} from './attempt-outcome.js';
import type {BackendConnection, Exchange} from './backend-connection.js';
import type {BackendPermit} from './backend-place.js';
import type {KnownBackend} from './known-backend.js';
import type {Prompt} from './caller-request.js';
import {createRequestHead, type CallerHead} from './request-head.js';
import {misdirectedStatus, type HeaderNames} from './types.js';

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
	/** Whether the caller's `Authorization` header is withheld from the back end. */
	readonly dropsKey: boolean;
	/** Monotonic time in milliseconds by which the caller gets its final response. */
	readonly deadlineAt: number;
	readonly relay: ResponseRelay;
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
	/** Called after the permit for a back end was released. */
	readonly onReleased: () => void;
	/** Takes one retry from the service's retry budget. Returns whether one was left. */
	readonly takeRetry: () => boolean;
	/** Returns the inputs of a decision other than the back end, for the log. */
	readonly getDecisionContext: () => DecisionContext;
	/** Called after each attempt with its outcome. */
	readonly onAttemptEnded: (outcome: AttemptOutcome['kind']) => void;
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
How the request ended: `answered` with a response of a back end, `abandoned` by the caller, `refused` since no back end ran it,
`replied` to with a local reply, or `cut` off after a part of the response.
*/
export type RequestEnd
	= | {readonly kind: 'answered'}
		| {readonly kind: 'abandoned'}
		| {readonly kind: 'refused'; readonly service: string; readonly reason: string}
		| {readonly kind: 'replied'; readonly status: number; readonly reason: string}
		| {readonly kind: 'cut'; readonly reason: string};

type ExchangeParts = {
	readonly place: BackendPermit;
	readonly connection: BackendConnection;
	readonly done: Deferred<AttemptOutcome>;
};

/** An attempt is followed by another one only if more than this time, in milliseconds, is left before the deadline. */
const minAttemptMs = 60;
/** Status with which a back end rejects a request when it has no free slot, or too little time for the request. */
const fullStatus = 503;
/** Largest number that back ends accept as a priority, which is the least urgent one. */
const lowestBackendPriority = 9;

/** Handles one request until it is answered, refused, cut off or abandoned. */
export class ProxiedRequest {
	readonly #options: ProxiedRequestOptions;
	/** Back ends that were chosen for an attempt. */
	readonly #triedIds = new Set<string>();
	/** Number of attempts that may have run the request. */
	#runCount = 0;
	/** Number of times that the request was sent. */
	#sendCount = 0;
	/** Whether it is certain that a back end has run the request. */
	#hasRun = false;
	/** Failure response of the last attempt that ended with one. */
	#earlierFailure: BufferedResponse | undefined;

	constructor(options: ProxiedRequestOptions) {
		this.#options = options;
	}

	/** Sends the request until an attempt or the lack of a permit ends it, and returns how it ended. */
	async run(): Promise<RequestEnd> {
		const {clock} = this.#options;
		for (;;) {
			const queuedAt = clock.now();
			const permit = await this.#options.place(this.#triedIds);
			if (this.#options.signal.aborted) {
				if (permit !== undefined) {
					this.#release(permit);
				}

				return {kind: 'abandoned'};
			}

			if (permit === undefined) {
				return this.#endWithoutPermit();
			}

			this.#logDispatch(permit.backend, clock.now() - queuedAt);
			const outcome = this.#attachEarlierFailure(await this.#attempt(permit));
			this.#release(permit);
			this.#options.onAttemptEnded(outcome.kind);
			const step = this.#decide(outcome);
			this.#recordOutcome(permit.backend, outcome, step);
			if (step.kind !== 'sendAgain') {
				return this.#finish(step, outcome);
			}
		}
	}

	#logDispatch(backend: KnownBackend, waitedMs: number): void {
		const {
			logger, attemptId, service, clock, deadlineAt, relay, getDecisionContext, prompt,
		} = this.#options;
		logger.log(events.requestDispatched, {
			request: attemptId,
			service,
			promptTokens: prompt.tokens,
			backend: backend.id,
			send: this.#sendCount + 1,
			load: backend.load,
			pendingTokens: Math.round(backend.pendingTokens),
			slots: backend.slots,
			waitedMs: Math.round(waitedMs),
			leftMs: Math.round(deadlineAt - clock.now()),
			lastEventId: relay.lastEventId,
			...getDecisionContext(),
		});
	}

	#release(permit: BackendPermit): void {
		permit.release();
		this.#options.onReleased();
	}

	/** Stores a failure response, or attaches the stored one to the outcome of a later attempt that did not run the request. */
	#attachEarlierFailure(outcome: AttemptOutcome): AttemptOutcome {
		if (outcome.kind === 'failed') {
			this.#earlierFailure = outcome.answer;
		}

		return outcome.kind === 'notRun' && this.#earlierFailure !== undefined ? {...outcome, earlierFailure: this.#earlierFailure} : outcome;
	}

	/** Ends a request that got no permit. */
	#endWithoutPermit(): RequestEnd {
		const {
			relay, clock, deadlineAt, service,
		} = this.#options;
		if (relay.hasStarted) {
			relay.cut();
			return {kind: 'cut', reason: 'no permit to resume the stream'};
		}

		if (this.#earlierFailure !== undefined) {
			relay.deliver(this.#earlierFailure.head, this.#earlierFailure.body);
			return {kind: 'answered'};
		}

		if (this.#runCount === 0) {
			return {kind: 'refused', service, reason: 'no place'};
		}

		return {kind: 'replied', status: clock.now() >= deadlineAt ? 504 : 502, reason: 'no place after a failure'};
	}

	#decide(outcome: AttemptOutcome): NextStep {
		const {route, clock, deadlineAt, takeRetry, relay} = this.#options;
		const isStream = route.kind === requestKinds.streaming;
		return decideNextStep(outcome, {
			isRetryable: route.kind === requestKinds.idempotent || (isStream && route.isResumable),
			isResumable: isStream && route.isResumable && (relay.lastEventId !== undefined || !relay.hasStarted),
			hasStarted: relay.hasStarted,
			runCount: this.#runCount,
			maxAttempts: route.maxAttempts,
			sendCount: this.#sendCount,
			hasTime: deadlineAt - clock.now() > minAttemptMs,
			takeRetry,
		});
	}

	#finish(step: Exclude<NextStep, {kind: 'sendAgain'}>, outcome: AttemptOutcome): RequestEnd {
		const {relay, service} = this.#options;
		switch (step.kind) {
			case 'done': {
				return {kind: outcome.kind === 'abandoned' ? 'abandoned' : 'answered'};
			}

			case 'deliver': {
				relay.deliver(step.answer.head, step.answer.body);
				return {kind: 'answered'};
			}

			case 'reply': {
				return step.status === 503 ? {kind: 'refused', service, reason: step.reason} : {kind: 'replied', status: step.status, reason: step.reason};
			}

			case 'close': {
				relay.cut();
				return {kind: 'cut', reason: step.reason};
			}
		}
	}

	/** Records the outcome for the back end's outlier detection, and logs it unless the attempt succeeded. A response with status 500 or above counts as a failure. */
	#recordOutcome(backend: KnownBackend, outcome: AttemptOutcome, step: NextStep): void {
		const {logger, attemptId, relay, prompt} = this.#options;
		const isGood = outcome.kind === 'delivered' || outcome.kind === 'abandoned';
		const isEjected = outcome.kind === 'notRun' ? recordNotRun(backend, outcome.status) : backend.recordResult(isGood);
		if (!isGood) {
			logger.log(events.sendFailed, {
				request: attemptId,
				backend: backend.id,
				outcome: outcome.kind,
				reason: 'reason' in outcome ? outcome.reason : undefined,
				next: step.kind,
				lastEventId: relay.lastEventId,
				...relay.getBodyFacts(),
				sharedParts: prompt.sharedParts.length > 0 ? prompt.sharedParts.join(' ') : undefined,
				isEjected,
			});
		}
	}

	async #attempt(permit: BackendPermit): Promise<AttemptOutcome> {
		const {signal} = this.#options;
		const {backend} = permit;
		this.#triedIds.add(backend.id);
		let connection: BackendConnection;
		try {
			connection = await backend.connect();
		} catch (error) {
			if (!(error instanceof CodedError)) {
				throw error;
			}

			backend.eject();
			return {kind: 'notRun', reason: error.message, wasSent: false};
		}

		if (signal.aborted) {
			connection.destroy();
			return {kind: 'abandoned'};
		}

		return this.#exchange(permit, connection);
	}

	async #exchange(permit: BackendPermit, connection: BackendConnection): Promise<AttemptOutcome> {
		const {
			caller, body, clock, deadlineAt, names, signal, workspace, dropsKey, relay, priority,
		} = this.#options;
		const head = createRequestHead(caller, {
			backendId: permit.backend.id,
			deadlineMs: deadlineAt - clock.now(),
			workspace,
			backendPriority: Math.min(lowestBackendPriority, priority),
			lastEventId: relay.lastEventId,
			bodyLength: body.length,
			dropsKey,
		}, names);
		const done = new Deferred<AttemptOutcome>();
		const exchange = this.#createExchange({place: permit, connection, done});
		const timerAbort = new AbortController();
		const abandon = () => {
			done.resolve({kind: 'abandoned'});
		};

		signal.addEventListener('abort', abandon, {once: true});
		void this.#enforceDeadline(done, timerAbort.signal);
		this.#sendCount += 1;
		this.#runCount += 1;
		connection.send(head, body, exchange);
		const outcome = await done.promise;
		timerAbort.abort();
		signal.removeEventListener('abort', abandon);
		if (outcome.kind === 'notRun') {
			this.#runCount -= 1;
		}

		if (outcome.kind !== 'delivered' && outcome.kind !== 'failed' && outcome.kind !== 'notRun') {
			connection.destroy();
		}

		return outcome;
	}

	async #enforceDeadline(done: Deferred<AttemptOutcome>, signal: AbortSignal): Promise<void> {
		const {clock, deadlineAt, relay} = this.#options;
		await clock.sleep(deadlineAt - clock.now(), signal);
		if (!signal.aborted) {
			done.resolve({kind: 'timeout', hasStarted: relay.hasStarted});
		}
	}

	#createExchange({place: permit, connection, done}: ExchangeParts): Exchange {
		const {attemptId, caller, route, relay, names} = this.#options;
		return new ResponseCollector({
			attemptId,
			isHead: caller.method === 'HEAD',
			isStream: route.kind === requestKinds.streaming,
			relay,
			connection,
			notRunHeader: names.notRun,
			onBodyBytes() {
				permit.markPrefilled();
			},
			onRunning: () => {
				this.#markRunStarted();
			},
			onOutcome(outcome) {
				done.resolve(outcome);
			},
		});
	}

	#markRunStarted(): void {
		if (!this.#hasRun) {
			this.#hasRun = true;
			this.#options.onRunStarted();
		}
	}
}

/** Records that a back end did not run a request. Returns whether the back end was ejected. */
function recordNotRun(backend: KnownBackend, status: number | undefined): boolean {
	if (status === misdirectedStatus) {
		backend.markMisdirected();
		return true;
	}

	const isFull = status === fullStatus && backend.load >= backend.slots;
	if (status === fullStatus) {
		backend.markFull();
	}

	// A back end that has free slots but rejects requests is unhealthy.
	return !isFull && backend.recordResult(false);
}
