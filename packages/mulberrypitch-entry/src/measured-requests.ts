/** Measures the service level of each request as its caller sees it: time to first token, inter-token latency and outcome. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {codes} from '@mulberrypitch/errors/catalogue';
import {hasCode} from '@mulberrypitch/errors/coded-error';
import {ends} from '@mulberrypitch/control/types';
import {measures, type BurnRecorder, type BurnSubject} from '@mulberrypitch/metrics/burn-recorder';
import type {RequestService} from '@mulberrypitch/requests/request-service';
import type {AcceptedRequest, AnswerEvent, IncomingCall} from '@mulberrypitch/requests/types';

/** The methods of the request service that the routes for callers use. */
export type CallerRequests = Pick<RequestService, 'submit' | 'getRequest'>;

/** Forwards calls to the request service and records the service level of submitted requests. */
export class MeasuredRequests implements CallerRequests {
	readonly #requests: CallerRequests;
	readonly #burn: BurnRecorder;
	readonly #clock: Clock;

	constructor(requests: CallerRequests, burn: BurnRecorder, clock: Clock) {
		this.#requests = requests;
		this.#burn = burn;
		this.#clock = clock;
	}

	async submit(call: IncomingCall): Promise<AcceptedRequest> {
		const startedAt = this.#clock.now();
		try {
			const accepted = await this.#requests.submit(call);
			return {
				requestId: accepted.requestId,
				read: (fromOffset, signal) => this.#observe(call, startedAt, accepted.read(fromOffset, signal)),
			};
		} catch (error) {
			if (!isExemptFromErrorBudget(error)) {
				this.#burn.recordEnd(getSubject(call), false);
			}

			throw error;
		}
	}

	async getRequest(requestId: string, customer: string): Promise<AcceptedRequest> {
		return this.#requests.getRequest(requestId, customer);
	}

	/** Passes on the events of an answer and records the time to the first token, the time between tokens and the end. */
	async * #observe(call: IncomingCall, startedAt: number, answer: AsyncGenerator<AnswerEvent, void>): AsyncGenerator<AnswerEvent, void> {
		const subject = getSubject(call);
		const {firstTokenMs, betweenTokensMs} = call.service;
		let previousEventAt: number | undefined;
		for await (const event of answer) {
			const now = this.#clock.now();
			if (event.kind === 'end') {
				this.#burn.recordEnd(subject, event.outcome.end === ends.answered);
			} else if (previousEventAt === undefined) {
				this.#burn.recordDuration(subject, measures.firstToken, now - startedAt, firstTokenMs);
			} else {
				this.#burn.recordDuration(subject, measures.betweenTokens, now - previousEventAt, betweenTokensMs);
			}

			previousEventAt = now;
			yield event;
		}
	}
}

function getSubject(call: IncomingCall): BurnSubject {
	return {service: call.service.name, workspace: call.workspace.name};
}

/**
Reports whether an error does not count against the error budget. Invalid calls are the caller's fault; a call that a draining
host redirects is sent again to another host, which measures it.
*/
function isExemptFromErrorBudget(error: unknown): boolean {
	return [codes.badRequest, codes.unauthorized, codes.notFound, codes.draining, codes.conflict].some(code => hasCode(error, code));
}
