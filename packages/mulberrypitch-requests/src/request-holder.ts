/** Runs one accepted request on its holder: dispatches and retries it, replicates its progress to the standby, and commits its outcome. */
import {abortReason} from '@mulberrypitch/lifecycle/abort-reason';
import {CodedError, hasCode} from '@mulberrypitch/errors/coded-error';
import {
	assertInvariant, codes, StaleEpochError,
} from '@mulberrypitch/errors/catalogue';
import {events} from '@mulberrypitch/logger/events';
import type {BackendCall} from '@mulberrypitch/backends/types';
import {
	backendKinds, ends, type BackendServer, type Outcome,
} from '@mulberrypitch/control/types';
import {createAnswerLog, type AnswerLog} from './answer-log.js';
import {AttemptRecord, findRefusal} from './attempt-record.js';
import {AttemptRun} from './attempt-run.js';
import {moveCache} from './cache-move.js';
import type {HolderContext, HolderStart} from './holder-context.js';
import {ProposalLoop} from './proposal-loop.js';
import type {ReclaimedRequest} from './reclaim-planner.js';
import {createOutcomeWithoutAnswer} from './request-outcome.js';
import {StandbyLink} from './standby-link.js';
import {TargetChoice, type Target} from './target-choice.js';
import {TimeoutSignal} from './timeout-signal.js';
import type {HeldCopy} from './types.js';

/** Initial delay while no back end may be used, in milliseconds. It doubles up to `maxBackoffMs`. */
const initialBackoffMs = 100;
const maxBackoffMs = 2000;
/** Delay after the control group refused an attempt of a suspect request because it would not run isolated, in milliseconds. */
const isolationRetryMs = 500;
/** Estimated number of characters of the prompt for each token. */
const charactersPerToken = 4;

/** Runs one request on the host that holds it, until its outcome is committed or another host takes it over. */
export class RequestHolder {
	readonly answer: AnswerLog;
	readonly #context: HolderContext;
	readonly #start: HolderStart;
	readonly #abort = new AbortController();
	readonly #excluded = new Set<string>();
	readonly #standbyLink: StandbyLink;
	readonly #proposals: ProposalLoop;
	readonly #attemptRecord: AttemptRecord;
	readonly #targetChoice: TargetChoice;
	readonly #attemptRun: AttemptRun;
	#attempt: number;
	#lastDispatchedAttempt = 0;
	#isSuspect: boolean;
	#attemptAbort = new AbortController();
	#currentTarget: Target | undefined;
	#movedTarget: Target | undefined;
	#lastFailure: CodedError | undefined;

	constructor(context: HolderContext, start: HolderStart) {
		this.#context = context;
		this.#start = start;
		this.#attempt = start.attempts;
		this.#isSuspect = start.isSuspect === true || start.attempts > 0;
		const {control, clock, router} = context;
		this.#proposals = new ProposalLoop({
			requestId: start.copy.requestId, control, clock, signal: this.#abort.signal,
		});
		this.#attemptRecord = new AttemptRecord({copy: start.copy, proposals: this.#proposals, clock});
		this.answer = createAnswerLog(start.copy);
		this.#targetChoice = new TargetChoice({
			copy: start.copy, control, router, answer: this.answer,
		});
		this.#attemptRun = new AttemptRun({
			context, copy: start.copy, answer: this.answer, requireNotAbandoned: () => {
				this.#requireNotAbandoned();
			},
		});
		this.#standbyLink = new StandbyLink(context, {
			copy: start.copy, answer: this.answer, ...(start.standby !== undefined && {standby: start.standby}),
		});
	}

	get requestId(): string {
		return this.#start.copy.requestId;
	}

	/** The back end of the current attempt, or `undefined` between attempts. */
	get backend(): BackendServer | undefined {
		return this.#currentTarget?.backend;
	}

	/** Returns the progress of the request, from which a reclaim is planned. */
	getProgress(): ReclaimedRequest {
		const {copy} = this.#start;
		const promptTokens = Math.ceil(copy.body.text.length / charactersPerToken);
		return {
			requestId: this.requestId,
			contextTokens: promptTokens + this.answer.length,
			remainingTokens: Math.max(0, copy.maxTokens - this.answer.length),
			tokenMs: this.#attemptRun.tokenMs,
		};
	}

	/** Moves the KV cache of the request from a back end that is being reclaimed to another one, and continues the request there. */
	async moveCache(from: BackendServer): Promise<void> {
		const {engine, clock} = this.#context;
		if (this.#currentTarget?.backend.incarnation !== from.incarnation || !this.#canMove()) {
			return;
		}

		// A KV cache fits only the software version that wrote it, also before the first token.
		const target = this.#targetChoice.choose(this.#excluded, this.#lastFailure !== undefined, {version: from.version});
		if (target?.backend.capabilities.movesCache !== true) {
			target?.dispatch.finish({isFailure: false});
			return;
		}

		const cachedTokens = await moveCache({
			engine, clock, requestId: this.requestId, from: from.address, to: target.backend.address, signal: this.#abort.signal,
		});
		if (cachedTokens === undefined) {
			// The request keeps running on the old back end until the reclaim, and then resumes from its tokens on another one.
			target.dispatch.finish({isFailure: true});
			return;
		}

		this.#movedTarget = {...target, cachedTokens};
		this.leaveBackend(from);
	}

	/** Aborts the attempt of an idempotent request on an engine that is being reclaimed, so that the request continues on another back end. */
	leaveBackend(from: BackendServer): void {
		if (this.#currentTarget?.backend.incarnation === from.incarnation && this.#canMove()) {
			this.#attemptAbort.abort(abortReason);
		}
	}

	/** Transfers an idempotent request to its standby. A non-idempotent request runs to its end on this host. */
	async handOver(): Promise<void> {
		const {copy} = this.#start;
		const {standby} = this.#standbyLink;
		if (standby === undefined || !copy.isIdempotent || this.answer.outcome !== undefined) {
			return;
		}

		await this.#proposals.propose({
			kind: 'transferRequest', requestId: this.requestId, epoch: copy.epoch, holder: standby.node,
		});
		this.abandon();
	}

	/** Returns the copy from which another host can continue the request after the chunks that callers may have read. */
	getCopy(): HeldCopy {
		return {...this.#start.copy, chunks: this.answer.getConfirmed(), version: this.answer.origin?.version};
	}

	/** Runs the request until its outcome is committed, or until another host has taken the request over. */
	async run(): Promise<void> {
		const replication = this.#runStandbyLink();
		try {
			const outcome = await this.#runAttempts();
			await this.#finish(outcome);
		} catch (error) {
			if (!hasCode(error, codes.staleEpoch) && !this.#abort.signal.aborted) {
				throw error;
			}
		} finally {
			this.abandon();
			await replication;
		}
	}

	/** Aborts all work on the request, because another host continues it. */
	abandon(): void {
		this.#abort.abort(abortReason);
		this.answer.abandon();
	}

	async #runStandbyLink(): Promise<void> {
		try {
			await this.#standbyLink.run(this.#abort.signal);
		} catch (error) {
			this.abandon();
			if (!hasCode(error, codes.staleEpoch)) {
				throw error;
			}
		}
	}

	async #runAttempts(): Promise<Outcome> {
		const {copy, mayHaveRun, isLost = false} = this.#start;
		if (mayHaveRun && !copy.isIdempotent) {
			return createOutcomeWithoutAnswer(ends.unknown, codes.outcomeUnknown);
		}

		if (isLost) {
			return createOutcomeWithoutAnswer(copy.isIdempotent ? ends.failed : ends.notRun, codes.peerUnreachable);
		}

		const {maxAttempts} = this.#context.getRetryPolicy();
		let failures = 0;
		let waitMs = initialBackoffMs;
		while (failures < maxAttempts && this.#getRemainingMs() > 0) {
			this.#requireNotAbandoned();
			const target = this.#takeMovedTarget() ?? this.#targetChoice.choose(this.#excluded, this.#lastFailure !== undefined);
			if (target === undefined && this.#targetChoice.isVersionGone()) {
				return createOutcomeWithoutAnswer(ends.failed, codes.versionGone);
			}

			if (target === undefined) {
				this.#excluded.clear();
				await this.#context.clock.sleep(waitMs, this.#abort.signal);
				waitMs = Math.min(waitMs * 2, maxBackoffMs);
				continue;
			}

			const outcome = await this.#tryBackend(target);
			if (outcome !== undefined) {
				return outcome;
			}

			failures += this.#isExpectedFailure(target.backend) ? 0 : 1;
			this.#excluded.add(target.backend.id);
		}

		return this.#createFailureOutcome();
	}

	#canMove(): boolean {
		return this.#start.copy.isIdempotent && this.answer.outcome === undefined && this.#currentTarget?.backend.kind === backendKinds.engine;
	}

	/** Returns and clears the back end to which the KV cache was moved. Returns `undefined` when that back end can't be used any more. */
	#takeMovedTarget(): Target | undefined {
		const moved = this.#movedTarget;
		this.#movedTarget = undefined;
		if (moved !== undefined && !this.#targetChoice.isUsable(moved.backend)) {
			moved.dispatch.finish({isFailure: false});
			return undefined;
		}

		return moved;
	}

	#requireNotAbandoned(): void {
		if (this.#abort.signal.aborted) {
			throw new StaleEpochError(`Request ${this.requestId} was abandoned by this host.`);
		}
	}

	/**
	Reports whether the last failure was not caused by the request: the back end is leaving or gone, nothing was sent, or the control
	group refused to run a suspect request there. Such a failure doesn't count against `maxAttempts`.
	*/
	#isExpectedFailure(backend: BackendServer): boolean {
		return this.#targetChoice.isLeaving(backend) || this.#lastFailure?.details.isNotSent === true || this.#lastFailure?.code === codes.conflict;
	}

	#createFailureOutcome(): Outcome {
		const code = this.#getRemainingMs() <= 0 ? codes.deadlineExceeded : this.#lastFailure?.code ?? codes.noBackend;
		// An earlier holder may have dispatched an idempotent request before its intent was committed.
		const isNotRun = !this.#start.copy.isIdempotent || (this.#start.copy.epoch === 1 && this.#lastDispatchedAttempt === 0);
		return createOutcomeWithoutAnswer(isNotRun ? ends.notRun : ends.failed, code);
	}

	/** Runs the request on one back end. Returns `undefined` when the request may be retried on another one. */
	async #tryBackend(target: Target): Promise<Outcome | undefined> {
		const {backend, dispatch} = target;
		const {copy} = this.#start;
		const {control, logger} = this.#context;
		this.#attempt += 1;
		const intent = this.#attemptRecord.recordIntent({attempt: this.#attempt, backend: backend.id, isSuspect: this.#isSuspect});
		intent.catch(() => {
			// Each path below awaits the promise. This handler avoids an unhandled rejection until then.
		});
		let isFailure = true;
		try {
			if (this.#isSuspect) {
				const refusal = await findRefusal(intent);
				if (refusal !== undefined) {
					isFailure = false;
					return await this.#handleRefusal(refusal);
				}
			}

			if (!copy.isIdempotent) {
				await intent;
				control.requireFresh();
			}

			logger.log(events.requestDispatched, {
				request: this.requestId, customer: copy.customer, backend: backend.id, attempt: this.#attempt,
			});
			assertInvariant(this.#attempt > this.#lastDispatchedAttempt, `Attempt ${this.#attempt} was dispatched already.`);
			this.#lastDispatchedAttempt = this.#attempt;
			const outcome = await this.#runAttempt(target);
			isFailure = false;
			await intent;
			return outcome;
		} catch (error) {
			await intent;
			return await this.#handleFailure(error, backend);
		} finally {
			// An aborted request or one past its deadline doesn't count as a failure of the back end.
			const pauseMs = this.#attemptRun.takePause();
			dispatch.finish({
				isFailure: isFailure && !this.#abort.signal.aborted && this.#getRemainingMs() > 0, ...(pauseMs !== undefined && {pauseMs}),
			});
		}
	}

	/** Ends a quarantined request at once. Waits after any other refusal, because a suspect request must run isolated from others. */
	async #handleRefusal(refusal: CodedError): Promise<Outcome | undefined> {
		this.#attempt -= 1;
		this.#lastFailure = refusal;
		if (refusal.code === codes.quarantined) {
			return {...createOutcomeWithoutAnswer(ends.failed, codes.quarantined), retryAfterSeconds: Number(refusal.details.retryAfterSeconds)};
		}

		await this.#context.clock.sleep(isolationRetryMs, this.#abort.signal);
		return undefined;
	}

	/** Records that the content may have crashed a back end, when the attempt broke off without an announced reclaim. */
	async #chargeContent(error: CodedError, backend: BackendServer): Promise<void> {
		const isBrokenOff = error.code === codes.backendFailed && error.details.isNotSent !== true && error.details.status === undefined;
		if (!isBrokenOff || this.#isExpectedFailure(backend) || this.#abort.signal.aborted || this.#getRemainingMs() <= 0) {
			return;
		}

		this.#isSuspect = true;
		await this.#attemptRecord.chargeContent(backend);
	}

	async #handleFailure(error: unknown, backend: BackendServer): Promise<Outcome | undefined> {
		const {copy} = this.#start;
		if (!(error instanceof CodedError) || error.code === codes.staleEpoch || error.code === codes.invariant) {
			throw error;
		}

		this.#lastFailure = error;
		this.#attemptRun.recordPause(error);

		await this.#chargeContent(error, backend);
		this.#context.logger.log(events.requestRetried, {
			request: this.requestId, customer: copy.customer, backend: backend.id, attempt: this.#attempt, reason: error.message,
		});
		if (copy.isIdempotent) {
			return undefined;
		}

		const isNotSent = error.code === codes.staleView || error.details.isNotSent === true;
		if (!isNotSent) {
			return createOutcomeWithoutAnswer(ends.unknown, codes.outcomeUnknown);
		}

		await this.#attemptRecord.recordNotSent(this.#attempt);
		return undefined;
	}

	async #runAttempt(target: Target): Promise<Outcome> {
		const {backend} = target;
		const {copy} = this.#start;
		this.#attemptAbort = new AbortController();
		this.#currentTarget = target;
		const timeout = new TimeoutSignal(this.#context.clock, this.#getRemainingMs(), AbortSignal.any([this.#abort.signal, this.#attemptAbort.signal]));
		const call: BackendCall = {
			requestId: this.requestId,
			attempt: this.#attempt,
			service: copy.service,
			address: backend.address,
			body: copy.body,
			tokens: this.answer.getChunks().map(chunk => chunk.text),
			signal: timeout.signal,
		};
		try {
			return await this.#attemptRun.run(target, call);
		} finally {
			timeout.cancel();
			this.#currentTarget = undefined;
		}
	}

	async #finish(outcome: Outcome): Promise<void> {
		const {clock, logger, metrics} = this.#context;
		const {copy} = this.#start;
		if (outcome.end === ends.answered && outcome.answer === undefined) {
			await this.answer.waitConfirmed(this.answer.length - 1, this.#abort.signal);
			this.#requireNotAbandoned();
		}

		await this.#proposals.propose({
			kind: 'finishRequest', requestId: this.requestId, epoch: copy.epoch, entryTime: clock.wallTime(), outcome,
		});
		this.answer.end(outcome);
		logger.log(events.requestFinished, {
			request: this.requestId, customer: copy.customer, end: outcome.end, code: outcome.code,
		});
		metrics.count('mulberrypitch_requests_finished_total', 'Requests by end.', {service: copy.service, end: outcome.end});
		await this.#standbyLink.release();
	}

	#getRemainingMs(): number {
		return this.#start.copy.deadlineAt - this.#context.clock.wallTime();
	}
}
