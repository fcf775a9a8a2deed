/** Counts and logs how callers' requests end, and replies to those that no back end answered. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {getHeader} from './caller-request.js';
import {minRetryAfterSeconds, type LocalReplies} from './local-replies.js';
import type {RequestEnd} from './proxied-request-options.js';
import {framings} from './response-head.js';
import type {BodyFacts} from './response-relay.js';
import type {ResponseTimes} from './response-timing.js';
import type {HeaderNames} from './types.js';

/** Facts about a request at its end, for the log. */
export type CompletionFields = {
	/** Monotonic time in milliseconds at which the request arrived. */
	readonly arrivedAt: number;
	readonly route: string;
	readonly workspace: string | undefined;
	/** Identifier of the first attempt of a stream that the caller takes up again; absent if it begins one. */
	readonly resumes: string | undefined;
} & ResponseTimes & BodyFacts;

/** Dependencies of the completion. */
export type RequestCompletionOptions = {
	readonly names: HeaderNames;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: MetricsRegistry;
	readonly replies: LocalReplies;
	/** Called when a request that was not refused ends, with its route, the time that it took in milliseconds, and whether its answer was complete. */
	readonly onEnded: (route: string, ms: number, isWhole: boolean) => void;
	/** Called when a request was refused since no back end ran it, with its service. */
	readonly onRefused: (service: string) => void;
};

/** Completes the requests of one entry. */
export class RequestCompletion {
	readonly #options: RequestCompletionOptions;

	constructor(options: RequestCompletionOptions) {
		this.#options = options;
	}

	/** Counts and logs how a request ended, and replies to one that no back end answered. */
	complete(request: IncomingMessage, response: ServerResponse, end: RequestEnd, {arrivedAt, ...named}: CompletionFields): void {
		const {names, logger, clock, metrics, replies, onEnded, onRefused} = this.#options;
		const ms = clock.now() - arrivedAt;
		const fields = {request: getHeader(request, names.attemptId), ms: Math.round(ms), ...named};
		metrics.count('mulberrypitch_proxied_requests_total', 'Requests by how they ended.', {end: end.kind, route: named.route});
		metrics.observe('mulberrypitch_proxied_request_seconds', 'Time from a request to its end.', ms, {end: end.kind});
		if (end.kind !== 'refused') {
			onEnded(named.route, ms, end.kind === 'answered');
		}

		switch (end.kind) {
			case 'answered': {
				metrics.count('mulberrypitch_relayed_responses_total', 'Relayed responses by framing of the body and whether it ended inside an event.', {
					framing: named.framing ?? framings.none, endedInsideEvent: String((named.openEventBytes ?? 0) > 0),
				});
				logger.log(events.requestFinished, fields);
				return;
			}

			case 'abandoned': {
				logger.log(events.requestFinished, {...fields, isAbandoned: true});
				return;
			}

			case 'cut': {
				logger.log(events.requestFailed, {...fields, reason: end.reason, isCut: true});
				return;
			}

			case 'refused': {
				onRefused(end.service);
				replies.send(request, response, {
					status: 503, reason: end.reason, retryAfterSeconds: end.retryAfterSeconds ?? minRetryAfterSeconds, inputs: {resumes: named.resumes},
				});
				return;
			}

			case 'replied': {
				replies.send(request, response, {status: end.status, reason: end.reason});
			}
		}
	}
}
