/**
 * Handles one caller's request: waits for a permit, sends the request to a back end, relays the response, and retries where that
 * is safe.
 */
import {Deferred} from '@mulberrypitch/lifecycle/background';
import {codes} from '@mulberrypitch/errors/catalogue';
import {CodedError, hasCode} from '@mulberrypitch/errors/coded-error';
import {isHeaderText} from '@mulberrypitch/lifecycle/header-text';
import {events} from '@mulberrypitch/logger/events';
import {requestKinds} from '@mulberrypitch/serving/types';
import {ResponseCollector} from './response-collector.js';
import {enforceDeadline} from './attempt-deadline.js';
import {
	decideDelivery, decideNextStep, getStatus, isBrokenOff, type AttemptOutcome, type BufferedResponse, type NextStep,
} from './attempt-outcome.js';
import type {BackendConnection, Exchange} from './backend-connection.js';
import type {BackendPermit} from './backend-place.js';
import {connectInTime} from './connect-in-time.js';
import {getIncarnationKey} from './content-quarantine.js';
import {logDispatch} from './dispatch-log.js';
import type {KnownBackend} from './known-backend.js';
import type {ProxiedRequestOptions, RequestEnd} from './proxied-request-options.js';
import {isGoodOutcome, recordResult} from './recorded-result.js';
import {endRequest} from './request-end.js';
import {createRequestHead} from './request-head.js';

type ExchangeParts = {
	readonly place: BackendPermit;
	readonly connection: BackendConnection;
	readonly done: Deferred<AttemptOutcome>;
};

/** An attempt is followed by another one only if more than this time, in milliseconds, is left before the deadline. */
const minAttemptMs = 60;
/** Pause in milliseconds before a back end that refused a connection is tried again. */
const unreachableRetryMs = 50;
/** Largest number that back ends accept as a priority, which is the least urgent one. */
const lowestBackendPriority = 9;

/** Time in milliseconds after which a run that still progresses shows that its content crashes no back end. Fatal content does so as the answer begins. */
const harmlessRunMs = 500;

/** Reason of a refusal since the process ends before the request might. */
export const stoppingReason = 'stopping';
/** Reason of a refusal since this entry can connect to no back end. */
export const unreachableReason = 'no back end can be reached';

type Refusal = Extract<RequestEnd, {kind: 'refused'}>;

/** Reason for which a stream does not go on while its service may have back ends of other versions. */
const versionGoneReason = 'no back end of the version that began the stream';
/** Reason for which a request is not sent to the back end that was chosen for it. */
const versionClosedReason = 'the roll-out has closed the version';

/** Handles one request until it is answered, refused, cut off or abandoned. */
export class ProxiedRequest {
	readonly #options: ProxiedRequestOptions;
	/** Back ends that were chosen for an attempt. */
	readonly #triedIds = new Set<string>();
	/** Connections on which the request was sent. */
	readonly #usedConnections = new Set<BackendConnection>();
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
			const refusal = this.#findRefusal();
			if (refusal !== undefined) {
				return this.#endWithoutAttempt(refusal);
			}

			const queuedAt = clock.now();
			const permit = await this.#options.place(this.#triedIds);
			if (this.#options.signal.aborted) {
				if (permit !== undefined) {
					this.#release(permit);
				}

				return {kind: 'abandoned'};
			}

			if (permit === undefined) {
				return this.#endWithoutPlace();
			}

			const lateRefusal = this.#findRefusal();
			if (lateRefusal !== undefined) {
				this.#release(permit);
				return this.#endWithoutAttempt(lateRefusal);
			}

			const isRepeated = this.#triedIds.has(permit.backend.id);
			logDispatch(this.#options, {backend: permit.backend, send: this.#sendCount + 1, waitedMs: clock.now() - queuedAt});
			const outcome = this.#attachEarlierFailure(await this.#attemptRestricted(permit));
			this.#options.onAttemptEnded(outcome);
			this.#recordEvidence(permit.backend, outcome);
			const step = this.#decide(outcome);
			this.#recordOutcome(permit.backend, outcome, step);
			if (step.kind === 'done') {
				return {kind: outcome.kind === 'abandoned' ? 'abandoned' : 'answered'};
			}

			if (step.kind !== 'sendAgain') {
				return endRequest(step, this.#options);
			}

			if (outcome.kind === 'notRun' && !outcome.wasSent && this.#canPassOn()) {
				return {
					kind: 'refused', service: this.#options.service, reason: unreachableReason, isUnreachable: true,
				};
			}

			if (isRepeated && outcome.kind === 'notRun' && !outcome.wasSent) {
				await clock.sleep(unreachableRetryMs, this.#options.signal);
			}
		}
	}

	/** Reports whether another entry should be asked, which only a request that has not run here may be. */
	#canPassOn(): boolean {
		const {isCutOff, relay} = this.#options;
		return isCutOff(this.#triedIds.size) && this.#runCount === 0 && !relay.hasStarted;
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

	/** Returns how a request ends that must not be sent to a back end now. */
	#findRefusal(): Refusal | undefined {
		const {service, content, relay, position, isTooLate} = this.#options;
		const refusal = content.findRefusal(position !== undefined || relay.lastEventId !== undefined);
		if (refusal !== undefined) {
			return {
				kind: 'refused', service, reason: refusal.reason, retryAfterSeconds: refusal.waitMs / 1000,
			};
		}

		// A stream that has begun goes on for as long as the process does.
		return !relay.hasStarted && isTooLate() ? {kind: 'refused', service, reason: stoppingReason} : undefined;
	}

	/** Ends a request for which no back end was available in time. The caller is told when the first one is, if the back ends stated that. */
	#endWithoutPlace(): RequestEnd {
		const {service, getStatedWaitMs, hasCandidates, binding} = this.#options;
		if (binding.isBound && !hasCandidates()) {
			return this.#endWithoutAttempt({kind: 'refused', service, reason: versionGoneReason});
		}

		const waitMs = getStatedWaitMs();
		const isKnown = waitMs > 0 && Number.isFinite(waitMs);
		return this.#endWithoutAttempt({
			kind: 'refused', service, reason: waitMs > 0 ? 'all back ends limited or paused' : 'no place', ...(isKnown && {retryAfterSeconds: waitMs / 1000}),
		});
	}

	/** Ends a request that is not sent to a back end again. `refusal` is how it ends if no back end has run it. */
	#endWithoutAttempt(refusal: Refusal): RequestEnd {
		const {relay, clock, deadlineAt} = this.#options;
		if (relay.hasStarted) {
			return endRequest({kind: 'close', reason: `${refusal.reason}, so the stream is not resumed`}, this.#options);
		}

		if (this.#earlierFailure !== undefined) {
			return endRequest(decideDelivery(this.#earlierFailure, relay), this.#options);
		}

		if (this.#runCount === 0) {
			return refusal;
		}

		return {kind: 'replied', status: clock.now() >= deadlineAt ? 504 : 502, reason: `${refusal.reason} after a failure`};
	}

	/** Records what an attempt tells of the request's content. A back end that was leaving may break off any request. */
	#recordEvidence(backend: KnownBackend, outcome: AttemptOutcome): void {
		const {content} = this.#options;
		if (outcome.kind === 'delivered') {
			content.recordAnswered();
		} else if (isBrokenOff(outcome) && !backend.announced.isLeaving) {
			content.recordBrokenOff(getIncarnationKey(backend.id, backend.announced.startedAt));
		}
	}

	#decide(outcome: AttemptOutcome): NextStep {
		const {route, clock, deadlineAt, takeRetry, relay} = this.#options;
		const isStream = route.kind === requestKinds.streaming;
		return decideNextStep(outcome, {
			isRetryable: route.kind === requestKinds.idempotent || (isStream && route.isResumable),
			isResumable: isStream && route.isResumable && this.#canResume(),
			hasStarted: relay.hasStarted,
			runCount: this.#runCount,
			maxAttempts: route.maxAttempts,
			sendCount: this.#sendCount,
			hasTime: deadlineAt - clock.now() > minAttemptMs,
			takeRetry,
		});
	}

	/** Reports whether another back end can be told where the stream goes on: at its beginning, or after an event whose identifier a header can carry. */
	#canResume(): boolean {
		const {lastEventId, hasStarted} = this.#options.relay;
		return lastEventId === undefined ? !hasStarted : isHeaderText(lastEventId);
	}

	/** Records the outcome for the back end's outlier detection, and logs it unless the attempt succeeded. A response with status 500 or above counts as a failure. */
	#recordOutcome(backend: KnownBackend, outcome: AttemptOutcome, step: NextStep): void {
		const {logger, attemptId, relay, prompt} = this.#options;
		const isGood = isGoodOutcome(outcome);
		const isEjected = recordResult(backend, outcome);
		if (!isGood) {
			logger.log(events.sendFailed, {
				request: attemptId,
				backend: backend.id,
				outcome: outcome.kind,
				status: getStatus(outcome),
				reason: 'reason' in outcome ? outcome.reason : undefined,
				next: step.kind,
				lastEventId: relay.lastEventId,
				...relay.getBodyFacts(),
				sharedParts: prompt.sharedParts.length > 0 ? prompt.sharedParts.join(' ') : undefined,
				isEjected,
			});
		}
	}

	/** Attempts the request while its content counts as running, which keeps another run of restricted content away, and then gives the permit back. */
	async #attemptRestricted(permit: BackendPermit): Promise<AttemptOutcome> {
		const endRun = this.#options.content.beginRun();
		let outcome: AttemptOutcome | undefined;
		try {
			outcome = await this.#attempt(permit);
			return outcome;
		} finally {
			endRun(outcome !== undefined && isBrokenOff(outcome));
			this.#release(permit);
		}
	}

	async #attempt(permit: BackendPermit): Promise<AttemptOutcome> {
		const {signal} = this.#options;
		const {backend} = permit;
		this.#triedIds.add(backend.id);
		let connection: BackendConnection;
		try {
			connection = await connectInTime(backend, {...this.#options, used: this.#usedConnections});
		} catch (error) {
			if (!(error instanceof CodedError)) {
				throw error;
			}

			// A connection that the deadline cut short tells little of the back end.
			if (!hasCode(error, codes.timeout)) {
				backend.eject();
			}

			return {kind: 'notRun', reason: error.message, wasSent: false};
		}

		if (signal.aborted) {
			connection.destroy();
			return {kind: 'abandoned'};
		}

		if (!this.#options.canSend(backend)) {
			connection.destroy();
			return {kind: 'notRun', reason: versionClosedReason, wasSent: false};
		}

		return this.#exchange(permit, connection);
	}

	async #exchange(permit: BackendPermit, connection: BackendConnection): Promise<AttemptOutcome> {
		const {
			caller, body, clock, deadlineAt, names, signal, workspace, dropsKey, relay, priority, onSent,
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
		void enforceDeadline(done, this.#options, timerAbort.signal);
		onSent(permit.backend);
		this.#usedConnections.add(connection);
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

	#createExchange({place: permit, connection, done}: ExchangeParts): Exchange {
		const {attemptId, caller, route, relay, names, clock, content} = this.#options;
		let runningSince: number | undefined;
		return new ResponseCollector({
			attemptId,
			isHead: caller.method === 'HEAD',
			isStream: route.kind === requestKinds.streaming,
			relay,
			connection,
			attemptHeader: names.attemptId,
			signatureHeader: names.signature,
			notRunHeader: names.notRun,
			onBodyBytes() {
				permit.recordPart();
			},
			onRunning: () => {
				this.#markRunStarted();
				runningSince ??= clock.now();
				if (clock.now() - runningSince >= harmlessRunMs) {
					content.recordAnswered();
				}
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
