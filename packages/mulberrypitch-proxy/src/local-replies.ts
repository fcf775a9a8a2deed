/** Creates and sends local replies, which are responses that the entry generates itself. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {breakOff} from '@mulberrypitch/lifecycle/break-off';
import {rejectMalformed} from '@mulberrypitch/lifecycle/reject-malformed';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {Header} from './response-head.js';
import {getHeader} from './caller-request.js';
import type {DecisionContext} from './proxied-request-options.js';
import {promisesNotRun, type HeaderNames} from './types.js';

/** A response that the entry generates itself instead of relaying one of a back end. */
export type LocalReply = {
	readonly status: number;
	readonly reason: string;
	/** Time in seconds after which the caller may retry. A random part is added, so that callers don't all retry at once. */
	readonly retryAfterSeconds?: number;
	/** Further inputs of the decision to reply locally, for the log. */
	readonly inputs?: Readonly<Record<string, string | number | undefined>>;
};

/** Dependencies and settings of the local replies. */
export type LocalRepliesOptions = {
	readonly names: Pick<HeaderNames, 'attemptId' | 'hop' | 'notRun'>;
	readonly random: Random;
	readonly logger: Logger;
	readonly metrics: MetricsRegistry;
	/** Returns the state of the entry at the time of a decision, for the log. */
	readonly getDecisionContext: () => DecisionContext;
	/** Returns the connection headers that a response carries at the moment. */
	readonly getConnectionHeaders: (response: ServerResponse) => readonly Header[];
};

/** `Retry-After` in seconds of a refusal whose end is not known, before the random part is added. */
export const minRetryAfterSeconds = 0.25;
/** Upper limit of the random part of `Retry-After`, in seconds. */
const maxRetryAfterJitterSeconds = 0.5;

/** Sends and logs local replies. */
export class LocalReplies {
	readonly #options: LocalRepliesOptions;

	constructor(options: LocalRepliesOptions) {
		this.#options = options;
	}

	/** Sends a reply, or closes the connection when a part of a response was already sent. */
	send(request: IncomingMessage, response: ServerResponse, {status, reason, retryAfterSeconds, inputs}: LocalReply): void {
		const {names, metrics, logger, getDecisionContext} = this.#options;
		const attemptId = getHeader(request, names.attemptId);
		const retryAfter = retryAfterSeconds === undefined ? undefined : (retryAfterSeconds + this.#drawJitterSeconds()).toFixed(2);
		metrics.count('mulberrypitch_own_replies_total', 'Replies of the entry itself, by status.', {status: String(status)});
		logger.log(promisesNotRun(status) ? events.requestRefused : events.requestFailed, {
			request: attemptId, status, reason, retryAfterSeconds: retryAfter, ...inputs, ...getDecisionContext(),
		});
		if (response.headersSent || response.destroyed) {
			breakOff(response);
			return;
		}

		// Bytes, since Node.js would write a text and the head before it as UTF-8 together, and the head has bytes of the caller.
		const body = Buffer.from(JSON.stringify({error: reason}) + '\n');
		const headers = [...this.#createHeaders(response, body.length, retryAfter), ...this.#createPromise(request, status)];
		response.writeHead(status, headers.flatMap(({name, value}) => [name, value]));
		response.end(body);
	}

	/** Replies to bytes that are not a valid request, and closes the connection. */
	rejectMalformed(error: Error & {code?: string}, socket: Duplex): void {
		rejectMalformed(error, socket);
	}

	/**
	States in a refusal to another entry that no back end ran the request, and none will. By the status alone that entry could not tell the refusal from
	the failure of a back end that this one relays.
	*/
	#createPromise(request: IncomingMessage, status: number): readonly Header[] {
		const {names} = this.#options;
		return promisesNotRun(status) && getHeader(request, names.hop) !== undefined ? [{name: names.notRun, value: '1'}] : [];
	}

	#createHeaders(response: ServerResponse, bodyLength: number, retryAfter: string | undefined): readonly Header[] {
		const {names, getConnectionHeaders} = this.#options;
		const {req: request} = response;
		const attemptId = getHeader(request, names.attemptId);
		return [
			{name: 'Content-Type', value: 'application/json'},
			{name: 'Content-Length', value: String(bodyLength)},
			...getConnectionHeaders(response),
			...(attemptId === undefined ? [] : [{name: names.attemptId, value: attemptId}]),
			...(retryAfter === undefined ? [] : [{name: 'Retry-After', value: retryAfter}]),
			// The unread rest of the body would be parsed as the next request.
			...(request.complete ? [] : [{name: 'Connection', value: 'close'}]),
		];
	}

	#drawJitterSeconds(): number {
		return this.#options.random.next() * maxRetryAfterJitterSeconds;
	}
}
