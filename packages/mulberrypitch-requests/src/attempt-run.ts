/** Runs one request on a back end, and appends what the back end answers to the answer of the request. */
import type {BackendCall} from '@mulberrypitch/backends/types';
import {backendKinds, type Outcome} from '@mulberrypitch/control/types';
import {BackendFailedError} from '@mulberrypitch/errors/catalogue';
import type {CodedError} from '@mulberrypitch/errors/coded-error';
import type {AnswerLog} from './answer-log.js';
import type {HolderContext} from './holder-context.js';
import {createAnsweredOutcome} from './request-outcome.js';
import type {Target} from './target-choice.js';
import type {HeldCopy} from './types.js';

/** Dependencies of the attempts of one request. */
export type AttemptRunOptions = {
	readonly context: Pick<HolderContext, 'clock' | 'engine' | 'metrics' | 'plain'>;
	readonly copy: HeldCopy;
	readonly answer: AnswerLog;
	/** Throws when this host no longer holds the request. */
	readonly requireNotAbandoned: () => void;
};

/** Time between tokens that is assumed before the first token of an attempt, in milliseconds. */
const defaultTokenMs = 50;
/** HTTP statuses that make an idempotent call retry on another back end. A non-idempotent call takes any response as its outcome. */
const unavailableStatuses = new Set([502, 503, 504]);

/** Runs the attempts of one request, one after the other. */
export class AttemptRun {
	readonly #options: AttemptRunOptions;
	#tokensBefore = 0;
	/** Monotonic time in milliseconds at which the current attempt began. */
	#startedAt = 0;
	/** Time in milliseconds for which the back end of the current attempt asked for no requests. */
	#pauseMs: number | undefined;

	constructor(options: AttemptRunOptions) {
		this.#options = options;
	}

	/** Mean time in milliseconds between the tokens of the current attempt. */
	get tokenMs(): number {
		const {answer, context} = this.#options;
		const tokens = answer.length - this.#tokensBefore;
		return tokens === 0 ? defaultTokenMs : (context.clock.now() - this.#startedAt) / tokens;
	}

	/** Runs the request on a back end until it has answered. Throws `BackendFailedError` when it fails. */
	async run(target: Target, call: BackendCall): Promise<Outcome> {
		this.#begin(target);
		return target.backend.kind === backendKinds.engine ? this.#runEngine(call, target) : this.#runPlain(call);
	}

	/** Records the pause for which a failure asks, if it asks for one. */
	recordPause({details}: CodedError): void {
		if (typeof details.pauseMs === 'number') {
			this.#pauseMs = details.pauseMs;
		}
	}

	/** Returns and clears the pause in milliseconds for which the back end of the last attempt asked. */
	takePause(): number | undefined {
		const pauseMs = this.#pauseMs;
		this.#pauseMs = undefined;
		return pauseMs;
	}

	#begin({backend, cachedTokens}: Target): void {
		const {context, answer, copy} = this.#options;
		this.#tokensBefore = answer.length;
		this.#startedAt = context.clock.now();
		const recomputedTokens = answer.length - cachedTokens;
		if (backend.kind === backendKinds.engine && recomputedTokens > 0) {
			context.metrics.count('mulberrypitch_tokens_recomputed_total', 'Tokens of answers computed again.', {service: copy.service}, recomputedTokens);
		}
	}

	async #runEngine(call: BackendCall, {backend}: Target): Promise<Outcome> {
		const {context, answer, requireNotAbandoned} = this.#options;
		for await (const token of context.engine.stream(call)) {
			requireNotAbandoned();
			answer.append(token, backend.version);
		}

		return createAnsweredOutcome(answer);
	}

	async #runPlain(call: BackendCall): Promise<Outcome> {
		const {context, answer, copy} = this.#options;
		const {status, contentType, body, pauseMs} = await context.plain.run(call);
		this.#pauseMs = pauseMs;
		if (copy.isIdempotent && unavailableStatuses.has(status)) {
			throw new BackendFailedError(`Back end ${call.address} answered ${status}.`, {isNotSent: false, status});
		}

		answer.setHead({status, contentType});
		answer.append(body);
		return createAnsweredOutcome(answer);
	}
}
