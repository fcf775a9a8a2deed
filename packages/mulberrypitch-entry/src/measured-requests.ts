/** Records the service level of each request as its caller sees it. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {codes} from '@mulberrypitch/errors/catalogue';
import {hasCode} from '@mulberrypitch/errors/coded-error';
import {ends} from '@mulberrypitch/control/types';
import {measures, type BurnRecorder, type BurnSubject} from '@mulberrypitch/metrics/burn-recorder';
import type {RequestService} from '@mulberrypitch/requests/request-service';
import type {AcceptedRequest, AnswerEvent, IncomingCall} from '@mulberrypitch/requests/types';

/** The part of the request service that callers use. */
export type CallerRequests = Pick<RequestService, 'submit' | 'getRequest'>;

/** Passes calls on and records how they went. */
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
			if (!isCallersFault(error)) {
				this.#burn.recordEnd(getSubject(call), false);
			}

			throw error;
		}
	}

	async getRequest(requestId: string, customer: string): Promise<AcceptedRequest> {
		return this.#requests.getRequest(requestId, customer);
	}

	async * #observe(call: IncomingCall, startedAt: number, answer: AsyncGenerator<AnswerEvent, void>): AsyncGenerator<AnswerEvent, void> {
		const subject = getSubject(call);
		const {firstTokenMs, betweenTokensMs} = call.service;
		let lastAt: number | undefined;
		for await (const event of answer) {
			const now = this.#clock.now();
			if (event.kind === 'end') {
				this.#burn.recordEnd(subject, event.outcome.end === ends.answered);
			} else if (lastAt === undefined) {
				this.#burn.recordDuration(subject, measures.firstToken, now - startedAt, firstTokenMs);
			} else {
				this.#burn.recordDuration(subject, measures.betweenTokens, now - lastAt, betweenTokensMs);
			}

			lastAt = now;
			yield event;
		}
	}
}

function getSubject(call: IncomingCall): BurnSubject {
	return {service: call.service.name, workspace: call.workspace.name};
}

/** A resend under a draining host's redirect and a wrong call spend no allowance. */
function isCallersFault(error: unknown): boolean {
	return [codes.badRequest, codes.unauthorized, codes.notFound, codes.draining, codes.conflict].some(code => hasCode(error, code));
}
