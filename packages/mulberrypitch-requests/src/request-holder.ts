/** Carries one accepted request to its end: dispatches, retries, progress to the standby, and the committed outcome. */
import {Buffer} from 'node:buffer';
import {CodedError, hasCode} from '@mulberrypitch/errors/coded-error';
import {assertInvariant, codes} from '@mulberrypitch/errors/catalogue';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {
	BackendCall, Engine, PlainService,
} from '@mulberrypitch/backends/types';
import type {ControlClient} from '@mulberrypitch/control/control-client';
import {
	backendKinds, ends, type End, type BackendServer, type Outcome,
} from '@mulberrypitch/control/types';
import type {RetryPolicy} from '@mulberrypitch/config/types';
import type {Dispatch, Router} from '@mulberrypitch/routing/types';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import type {Transport} from '@mulberrypitch/transport/types';
import {AnswerLog} from './answer-log.js';
import {standbyMethods} from './request-standby.js';
import type {HeldCopy} from './types.js';

const waitForBackendMs = 100;
const progressIntervalMs = 50;
const progressTimeoutMs = 1000;
const maxKeptAnswerLength = 16_000;
const retryAfterSeconds = 2;

/** What all holders of one host share. */
export type HolderContext = {
	readonly control: ControlClient;
	readonly transport: Transport;
	readonly router: Router;
	readonly engine: Engine;
	readonly plain: PlainService;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: MetricsRegistry;
	readonly getRetryPolicy: () => RetryPolicy;
};

/** Where a request stands when a holder begins with it. */
export type HolderStart = {
	readonly copy: HeldCopy;
	readonly epoch: number;
	/** Dispatches recorded so far. */
	readonly attempts: number;
	/** A dispatch may have reached a back end and has no outcome. */
	readonly mayHaveRun: boolean;
	/** Peer address of the standby. */
	readonly standbyAddress?: string;
};

/** Holds one request. */
export class RequestHolder {
	readonly answer: AnswerLog;
	readonly #context: HolderContext;
	readonly #start: HolderStart;
	readonly #abort = new AbortController();
	readonly #excluded = new Set<string>();
	#attempt: number;
	#sentToStandby: number;
	#isSendingProgress = false;
	#lastFailure: CodedError | undefined;

	constructor(context: HolderContext, start: HolderStart) {
		this.#context = context;
		this.#start = start;
		this.#attempt = start.attempts;
		this.answer = new AnswerLog(start.copy.chunks);
		this.#sentToStandby = start.copy.chunks.length;
	}

	get requestId(): string {
		return this.#start.copy.requestId;
	}

	/** Runs the request to its end. Stops without an end when another host has taken it over. */
	async run(): Promise<void> {
		try {
			const outcome = await this.#runAttempts();
			await this.#finish(outcome);
		} catch (error) {
			if (hasCode(error, codes.staleEpoch)) {
				this.#abort.abort();
				return;
			}

			throw error;
		}
	}

	/** Breaks off all work; another host carries on. */
	abandon(): void {
		this.#abort.abort();
	}

	async #runAttempts(): Promise<Outcome> {
		const {copy, mayHaveRun} = this.#start;
		if (mayHaveRun && !copy.isIdempotent) {
			return createEnd(ends.unknown, codes.outcomeUnknown);
		}

		const {maxAttempts} = this.#context.getRetryPolicy();
		let failures = 0;
		while (failures < maxAttempts && this.#getRemainingMs() > 0 && !this.#abort.signal.aborted) {
			const target = this.#choose();
			if (target === undefined) {
				this.#excluded.clear();
				await this.#context.clock.sleep(waitForBackendMs, this.#abort.signal);
				continue;
			}

			const outcome = await this.#tryBackend(target.backend, target.dispatch);
			if (outcome !== undefined) {
				return outcome;
			}

			failures += 1;
			this.#excluded.add(target.backend.id);
		}

		return this.#giveUp(failures);
	}

	#giveUp(failures: number): Outcome {
		const code = this.#getRemainingMs() <= 0 ? codes.deadlineExceeded : this.#lastFailure?.code ?? codes.noBackend;
		const isNotRun = !this.#start.copy.isIdempotent || (failures === 0 && this.#attempt === 0);
		return createEnd(isNotRun ? ends.notRun : ends.failed, code);
	}

	#choose(): {backend: BackendServer; dispatch: Dispatch} | undefined {
		const {control, router} = this.#context;
		const {copy} = this.#start;
		if (!control.isFresh()) {
			return undefined;
		}

		const candidates = control.backends.filter(backend => backend.services.includes(copy.service));
		const dispatch = router.choose(candidates.map(backend => ({
			id: backend.id, zone: backend.zone, slots: backend.capabilities.slots, isLeaving: backend.isLeaving,
		})), {
			service: copy.service, prefix: copy.prefix, excluded: this.#excluded, isRetry: this.#lastFailure !== undefined,
		});
		if (dispatch === undefined) {
			return undefined;
		}

		const backend = candidates.find(candidate => candidate.id === dispatch.backend)!;
		assertInvariant(!backend.isLeaving, `Back end ${backend.id} is leaving.`);
		return {backend, dispatch};
	}

	/** Runs the request on one back end. Gives nothing when it may be tried on another one. */
	async #tryBackend(backend: BackendServer, dispatch: Dispatch): Promise<Outcome | undefined> {
		const {copy} = this.#start;
		const {control, logger} = this.#context;
		this.#attempt += 1;
		const intent = this.#recordIntent(backend.id);
		intent.catch(() => {
			// Awaited below in every case.
		});
		let isFailure = true;
		try {
			if (!copy.isIdempotent) {
				await intent;
				control.requireFresh();
			}

			logger.log(events.requestDispatched, {
				request: this.requestId, customer: copy.customer, backend: backend.id, attempt: this.#attempt,
			});
			const outcome = await this.#runOn(backend);
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

	async #recordIntent(backend: string): Promise<void> {
		const {control, clock} = this.#context;
		await control.propose({
			kind: 'recordIntent', requestId: this.requestId, epoch: this.#start.epoch, attempt: this.#attempt, backend, entryTime: clock.wallTime(),
		});
	}

	async #onFailure(error: unknown, backend: BackendServer): Promise<Outcome | undefined> {
		const {copy, epoch} = this.#start;
		if (!(error instanceof CodedError) || error.code === codes.staleEpoch || error.code === codes.invariant) {
			throw error;
		}

		this.#lastFailure = error;
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

		await this.#context.control.propose({
			kind: 'recordNotSent', requestId: this.requestId, epoch, attempt: this.#attempt,
		});
		return undefined;
	}

	async #runOn(backend: BackendServer): Promise<Outcome> {
		const {copy} = this.#start;
		const {engine, plain} = this.#context;
		const call: BackendCall = {
			requestId: this.requestId,
			attempt: this.#attempt,
			service: copy.service,
			address: backend.address,
			body: copy.body,
			tokens: this.answer.getChunks().map(chunk => chunk.text),
			signal: AbortSignal.any([this.#abort.signal, AbortSignal.timeout(Math.max(1, this.#getRemainingMs()))]),
		};
		if (backend.kind === backendKinds.engine) {
			for await (const token of engine.stream(call)) {
				this.answer.append(token);
				this.#sendProgress();
			}

			return this.#createAnswered();
		}

		const answer = await plain.run(call);
		this.answer.setHead({status: answer.status, contentType: answer.contentType});
		this.answer.append(answer.body);
		return this.#createAnswered();
	}

	#createAnswered(): Outcome {
		const {head} = this.answer;
		const text = this.answer.getText();
		const isKept = head !== undefined && text.length <= maxKeptAnswerLength;
		return {
			end: ends.answered,
			digest: this.answer.getDigest(),
			lengthBytes: Buffer.byteLength(text),
			...(isKept && {answer: {...head, body: text}}),
		};
	}

	/** Sends new chunks to the standby, one call at a time. */
	#sendProgress(): void {
		const {standbyAddress} = this.#start;
		if (standbyAddress !== undefined && !this.#isSendingProgress) {
			this.#isSendingProgress = true;
			void this.#runProgress(standbyAddress);
		}
	}

	async #runProgress(address: string): Promise<void> {
		const {clock, transport} = this.#context;
		await clock.sleep(progressIntervalMs, this.#abort.signal);
		const chunks = this.answer.getChunks(this.#sentToStandby);
		this.#sentToStandby += chunks.length;
		try {
			await transport.call(address, standbyMethods.progress, {requestId: this.requestId, chunks}, {timeoutMs: progressTimeoutMs});
		} catch {
			this.#sentToStandby -= chunks.length;
		}

		this.#isSendingProgress = false;
	}

	async #finish(outcome: Outcome): Promise<void> {
		const {control, clock, logger, metrics, transport} = this.#context;
		const {copy, epoch, standbyAddress} = this.#start;
		await control.propose({
			kind: 'finishRequest', requestId: this.requestId, epoch, entryTime: clock.wallTime(), outcome,
		});
		this.answer.end(outcome);
		logger.log(events.requestFinished, {
			request: this.requestId, customer: copy.customer, end: outcome.end, code: outcome.code,
		});
		metrics.count('mulberrypitch_requests_finished_total', 'Requests by end.', {service: copy.service, end: outcome.end});
		if (standbyAddress !== undefined) {
			await transport.call(standbyAddress, standbyMethods.release, {requestId: this.requestId}, {timeoutMs: progressTimeoutMs}).catch(() => undefined);
		}
	}

	#getRemainingMs(): number {
		return this.#start.copy.deadlineAt - this.#context.clock.wallTime();
	}
}

function createEnd(end: End, code: string): Outcome {
	return {
		end, digest: '', lengthBytes: 0, code, ...(end !== ends.unknown && {retryAfterSeconds}),
	};
}
