/** Carries one accepted request to its end: dispatches, retries, progress to the standby, and the committed outcome. */
import {abortReason} from '@mulberrypitch/lifecycle/abort-reason';
import {CodedError, hasCode} from '@mulberrypitch/errors/coded-error';
import {
	assertInvariant, BackendFailedError, codes, StaleEpochError,
} from '@mulberrypitch/errors/catalogue';
import {events} from '@mulberrypitch/logger/events';
import type {BackendCall} from '@mulberrypitch/backends/types';
import {
	backendKinds, ends, type BackendServer, type Outcome,
} from '@mulberrypitch/control/types';
import {AnswerLog} from './answer-log.js';
import {AttemptRecord, findRefusal} from './attempt-record.js';
import {moveCache} from './cache-move.js';
import type {HolderContext, HolderStart} from './holder-context.js';
import {ProposalLoop} from './proposal-loop.js';
import type {ReclaimedRequest} from './reclaim-planner.js';
import {createAnswered, createEnd} from './request-outcome.js';
import {StandbyLink} from './standby-link.js';
import {TargetChoice, type Target} from './target-choice.js';
import {TimeoutSignal} from './timeout-signal.js';
import type {HeldCopy} from './types.js';

const waitForBackendMs = 100;
const maxBackoffMs = 2000;
const apartRetryMs = 500;
const charactersPerToken = 4;
const defaultTokenMs = 50;
/** Answers of idempotent calls that are worth another back end; for other calls any answer is the outcome. */
const unavailableStatuses = new Set([502, 503, 504]);

/** Holds one request. */
export class RequestHolder {
	readonly answer: AnswerLog;
	readonly #context: HolderContext;
	readonly #start: HolderStart;
	readonly #abort = new AbortController();
	readonly #excluded = new Set<string>();
	readonly #link: StandbyLink;
	readonly #proposals: ProposalLoop;
	readonly #record: AttemptRecord;
	readonly #choice: TargetChoice;
	#attempt: number;
	#dispatched = 0;
	#isSuspect: boolean;
	#detour = new AbortController();
	#current: Target | undefined;
	#moved: Target | undefined;
	#attemptTokens = 0;
	#attemptStartedAt = 0;
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
		this.#record = new AttemptRecord({copy: start.copy, proposals: this.#proposals, clock});
		this.#choice = new TargetChoice({copy: start.copy, control, router});
		this.answer = new AnswerLog(start.copy.chunks);
		this.#link = new StandbyLink(context, {
			copy: start.copy, answer: this.answer, ...(start.standby !== undefined && {standby: start.standby}),
		});
	}

	get requestId(): string {
		return this.#start.copy.requestId;
	}

	/** The back end that runs the request now. */
	get backend(): BackendServer | undefined {
		return this.#current?.backend;
	}

	/** Tells how far the request is, for the plan of a reclaim. */
	getProgress(): ReclaimedRequest {
		const {copy} = this.#start;
		const count = this.answer.length - this.#attemptTokens;
		const promptTokens = Math.ceil(copy.body.text.length / charactersPerToken);
		return {
			requestId: this.requestId,
			contextTokens: promptTokens + this.answer.length,
			remainingTokens: Math.max(0, copy.maxTokens - this.answer.length),
			tokenMs: count === 0 ? defaultTokenMs : (this.#context.clock.now() - this.#attemptStartedAt) / count,
		};
	}

	/** Moves the KV cache from a back end that leaves to another one, and goes on there. */
	async moveCache(from: BackendServer): Promise<void> {
		const {engine, clock} = this.#context;
		if (this.#current?.backend.incarnation !== from.incarnation || !this.#canMove()) {
			return;
		}

		const target = this.#choose();
		if (target?.backend.capabilities.movesCache !== true) {
			target?.dispatch.finish({isFailure: false});
			return;
		}

		const cachedTokens = await moveCache({
			engine, clock, requestId: this.requestId, from: from.address, to: target.backend.address, signal: this.#abort.signal,
		});
		if (cachedTokens === undefined) {
			// The request stays where it is until the back end goes, and then resumes from its tokens.
			target.dispatch.finish({isFailure: true});
			return;
		}

		this.#moved = {...target, cachedTokens};
		this.leaveBackend(from);
	}

	/** Breaks off work on a back end that goes; the request goes on elsewhere. Work that may not be repeated stays. */
	leaveBackend(from: BackendServer): void {
		if (this.#current?.backend.incarnation === from.incarnation && this.#canMove()) {
			this.#detour.abort(abortReason);
		}
	}

	/** Gives work that may be repeated to its standby; other work stays here until its end. */
	async handOver(): Promise<void> {
		const {copy} = this.#start;
		const {standby} = this.#link;
		if (standby === undefined || !copy.isIdempotent || this.answer.outcome !== undefined) {
			return;
		}

		await this.#proposals.propose({
			kind: 'transferRequest', requestId: this.requestId, epoch: copy.epoch, holder: standby.node,
		});
		this.abandon();
	}

	/** What another host needs to carry the request on from what callers have seen. */
	getCopy(): HeldCopy {
		return {...this.#start.copy, chunks: this.answer.getConfirmed()};
	}

	/** Runs the request to its end. Stops without an end when another host has taken it over. */
	async run(): Promise<void> {
		const linking = this.#runLink();
		try {
			const outcome = await this.#runAttempts();
			await this.#finish(outcome);
		} catch (error) {
			if (!hasCode(error, codes.staleEpoch) && !this.#abort.signal.aborted) {
				throw error;
			}
		} finally {
			this.abandon();
			await linking;
		}
	}

	/** Breaks off all work; another host carries on. */
	abandon(): void {
		this.#abort.abort(abortReason);
		this.answer.abandon();
	}

	async #runLink(): Promise<void> {
		try {
			await this.#link.run(this.#abort.signal);
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
			return createEnd(ends.unknown, codes.outcomeUnknown);
		}

		if (isLost) {
			return createEnd(copy.isIdempotent ? ends.failed : ends.notRun, codes.peerUnreachable);
		}

		const {maxAttempts} = this.#context.getRetryPolicy();
		let failures = 0;
		let waitMs = waitForBackendMs;
		while (failures < maxAttempts && this.#getRemainingMs() > 0) {
			this.#requireHeld();
			const target = this.#takeMoved() ?? this.#choose();
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

			failures += this.#isForeseen(target.backend) ? 0 : 1;
			this.#excluded.add(target.backend.id);
		}

		return this.#giveUp();
	}

	#canMove(): boolean {
		return this.#start.copy.isIdempotent && this.answer.outcome === undefined && this.#current?.backend.kind === backendKinds.engine;
	}

	/** Takes the back end that has the cache, unless it leaves by now. */
	#takeMoved(): Target | undefined {
		const moved = this.#moved;
		this.#moved = undefined;
		if (moved !== undefined && !this.#choice.isUsable(moved.backend)) {
			moved.dispatch.finish({isFailure: false});
			return undefined;
		}

		return moved;
	}

	#requireHeld(): void {
		if (this.#abort.signal.aborted) {
			throw new StaleEpochError(`Request ${this.requestId} was given up here.`);
		}
	}

	/** Tells whether the last failure says nothing of the request: nothing was sent, or the back end's leaving was announced. */
	#isForeseen(backend: BackendServer): boolean {
		return this.#choice.isLeaving(backend) || this.#lastFailure?.details.isNotSent === true || this.#lastFailure?.code === codes.conflict;
	}

	#giveUp(): Outcome {
		const code = this.#getRemainingMs() <= 0 ? codes.deadlineExceeded : this.#lastFailure?.code ?? codes.noBackend;
		// An earlier holder may have sent idempotent work whose intent was never committed.
		const isNotRun = !this.#start.copy.isIdempotent || (this.#start.copy.epoch === 1 && this.#dispatched === 0);
		return createEnd(isNotRun ? ends.notRun : ends.failed, code);
	}

	#choose(): Target | undefined {
		return this.#choice.choose(this.#excluded, this.#lastFailure !== undefined);
	}

	/** Runs the request on one back end. Gives nothing when it may be tried on another one. */
	async #tryBackend(target: Target): Promise<Outcome | undefined> {
		const {backend, dispatch} = target;
		const {copy} = this.#start;
		const {control, logger} = this.#context;
		this.#attempt += 1;
		const intent = this.#record.noteIntent({attempt: this.#attempt, backend: backend.id, isSuspect: this.#isSuspect});
		intent.catch(() => {
			// Awaited below in every case.
		});
		let isFailure = true;
		try {
			if (this.#isSuspect) {
				const refusal = await findRefusal(intent);
				if (refusal !== undefined) {
					isFailure = false;
					return await this.#onRefusal(refusal);
				}
			}

			if (!copy.isIdempotent) {
				await intent;
				control.requireFresh();
			}

			logger.log(events.requestDispatched, {
				request: this.requestId, customer: copy.customer, backend: backend.id, attempt: this.#attempt,
			});
			assertInvariant(this.#attempt > this.#dispatched, `Attempt ${this.#attempt} was dispatched already.`);
			this.#dispatched = this.#attempt;
			const outcome = await this.#runOn(target);
			isFailure = false;
			await intent;
			return outcome;
		} catch (error) {
			await intent;
			return await this.#onFailure(error, backend);
		} finally {
			// A request that was broken off or ran out of time says nothing of the back end.
			dispatch.finish({isFailure: isFailure && !this.#abort.signal.aborted && this.#getRemainingMs() > 0});
		}
	}

	/** Ends a quarantined request at once; another one waits until it may run apart. */
	async #onRefusal(refusal: CodedError): Promise<Outcome | undefined> {
		this.#attempt -= 1;
		this.#lastFailure = refusal;
		if (refusal.code === codes.quarantined) {
			return {...createEnd(ends.failed, codes.quarantined), retryAfterSeconds: Number(refusal.details.retryAfterSeconds)};
		}

		await this.#context.clock.sleep(apartRetryMs, this.#abort.signal);
		return undefined;
	}

	/** Charges the content with a back end that broke it off without a notice. */
	async #chargeBackend(error: CodedError, backend: BackendServer): Promise<void> {
		const isBrokenOff = error.code === codes.backendFailed && error.details.isNotSent !== true && error.details.status === undefined;
		if (!isBrokenOff || this.#isForeseen(backend) || this.#abort.signal.aborted || this.#getRemainingMs() <= 0) {
			return;
		}

		this.#isSuspect = true;
		await this.#record.chargeContent(backend);
	}

	async #onFailure(error: unknown, backend: BackendServer): Promise<Outcome | undefined> {
		const {copy} = this.#start;
		if (!(error instanceof CodedError) || error.code === codes.staleEpoch || error.code === codes.invariant) {
			throw error;
		}

		this.#lastFailure = error;
		await this.#chargeBackend(error, backend);
		this.#context.logger.log(events.requestRetried, {
			request: this.requestId, customer: copy.customer, backend: backend.id, attempt: this.#attempt, reason: error.message,
		});
		if (copy.isIdempotent) {
			return undefined;
		}

		const isNotSent = error.code === codes.staleView || error.details.isNotSent === true;
		if (!isNotSent) {
			return createEnd(ends.unknown, codes.outcomeUnknown);
		}

		await this.#record.noteNotSent(this.#attempt);
		return undefined;
	}

	async #runOn(target: Target): Promise<Outcome> {
		const {backend} = target;
		const {copy} = this.#start;
		this.#begin(target);
		const limit = new TimeoutSignal(this.#context.clock, this.#getRemainingMs(), AbortSignal.any([this.#abort.signal, this.#detour.signal]));
		const call: BackendCall = {
			requestId: this.requestId,
			attempt: this.#attempt,
			service: copy.service,
			address: backend.address,
			body: copy.body,
			tokens: this.answer.getChunks().map(chunk => chunk.text),
			signal: limit.signal,
		};
		try {
			return await (backend.kind === backendKinds.engine ? this.#runEngine(call) : this.#runPlain(call));
		} finally {
			limit.cancel();
			this.#current = undefined;
		}
	}

	#begin(target: Target): void {
		const {clock, metrics} = this.#context;
		this.#detour = new AbortController();
		this.#current = target;
		this.#attemptTokens = this.answer.length;
		this.#attemptStartedAt = clock.now();
		const recomputed = this.answer.length - target.cachedTokens;
		if (target.backend.kind === backendKinds.engine && recomputed > 0) {
			metrics.count('mulberrypitch_tokens_recomputed_total', 'Tokens of answers computed again.', {service: this.#start.copy.service}, recomputed);
		}
	}

	async #runEngine(call: BackendCall): Promise<Outcome> {
		for await (const token of this.#context.engine.stream(call)) {
			this.#requireHeld();
			this.answer.append(token);
		}

		return createAnswered(this.answer);
	}

	async #runPlain(call: BackendCall): Promise<Outcome> {
		const answer = await this.#context.plain.run(call);
		if (this.#start.copy.isIdempotent && unavailableStatuses.has(answer.status)) {
			throw new BackendFailedError(`Back end ${call.address} answered ${answer.status}.`, {isNotSent: false, status: answer.status});
		}

		this.answer.setHead({status: answer.status, contentType: answer.contentType});
		this.answer.append(answer.body);
		return createAnswered(this.answer);
	}

	async #finish(outcome: Outcome): Promise<void> {
		const {clock, logger, metrics} = this.#context;
		const {copy} = this.#start;
		if (outcome.end === ends.answered && outcome.answer === undefined) {
			await this.answer.waitConfirmed(this.answer.length - 1, this.#abort.signal);
			this.#requireHeld();
		}

		await this.#proposals.propose({
			kind: 'finishRequest', requestId: this.requestId, epoch: copy.epoch, entryTime: clock.wallTime(), outcome,
		});
		this.answer.end(outcome);
		logger.log(events.requestFinished, {
			request: this.requestId, customer: copy.customer, end: outcome.end, code: outcome.code,
		});
		metrics.count('mulberrypitch_requests_finished_total', 'Requests by end.', {service: copy.service, end: outcome.end});
		await this.#link.release();
	}

	#getRemainingMs(): number {
		return this.#start.copy.deadlineAt - this.#context.clock.wallTime();
	}
}
