/** Decides which requests pass between this entry and others while one of them reaches no back end. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Logger} from '@mulberrypitch/logger/logger';
import {requestKinds} from '@mulberrypitch/serving/types';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import type {BackendReachability} from './backend-reachability.js';
import {getHeader, getHeaders} from './caller-request.js';
import {ForwardedRequest} from './forwarded-request.js';
import {minRetryAfterSeconds, type LocalReply} from './local-replies.js';
import {unreachableReason} from './proxied-request.js';
import type {PeerEntries} from './peer-entries.js';
import type {RequestEnd} from './proxied-request-options.js';
import type {PreparedRequest} from './request-preparation.js';
import type {Header} from './response-head.js';
import {ResponseRelay} from './response-relay.js';
import type {ResponseTiming} from './response-timing.js';
import type {HeaderNames} from './types.js';

/** Dependencies of the forwarding. */
export type RequestForwardingOptions = {
	readonly reachability: BackendReachability;
	readonly peers: PeerEntries;
	readonly names: HeaderNames;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: MetricsRegistry;
	/** Returns the connection headers that a response carries at the moment. */
	readonly getConnectionHeaders: (response: ServerResponse) => readonly Header[];
};

/** A request that is passed on. */
export type PassedRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly prepared: PreparedRequest;
	readonly service: string;
	readonly timing: ResponseTiming;
	/** Aborts when the caller disconnects. */
	readonly signal: AbortSignal;
};

/** Number of requests that an entry handles at once for others, so that they leave room for its own callers. */
const maxTaken = 64;

/** Number of back ends that are tried in vain for a request of another entry. */
const maxTakenTries = 3;

/** Passes requests on to other entries, and takes theirs. */
export class RequestForwarding {
	readonly #options: RequestForwardingOptions;
	/** Number of requests of other entries in progress. */
	#taken = 0;

	constructor(options: RequestForwardingOptions) {
		this.#options = options;
	}

	/** Reports whether a request comes from another entry. */
	isTaken(request: IncomingMessage): boolean {
		return getHeader(request, this.#options.names.hop) !== undefined;
	}

	/** Whether requests go to other entries at once, since this one reaches no back end. */
	get isCutOff(): boolean {
		return this.#options.reachability.isCutOff;
	}

	/**
	Reports whether a request that several back ends could not be sent is given up here. One that another entry passed on is given up
	sooner, since that entry still has others to ask.
	*/
	shouldGiveUp(request: IncomingMessage, triedCount: number): boolean {
		return this.isCutOff || (this.isTaken(request) && triedCount >= maxTakenTries);
	}

	/** Takes a request of another entry. Returns the reply if there is no room for it or if this entry reaches no back end either. */
	take(): LocalReply | undefined {
		if (this.isCutOff || this.#taken >= maxTaken) {
			return {status: 503, reason: this.isCutOff ? unreachableReason : 'too many requests of other entries', retryAfterSeconds: minRetryAfterSeconds};
		}

		this.#taken += 1;
		return undefined;
	}

	/** Records the end of a request that was taken. */
	release(): void {
		this.#taken -= 1;
	}

	/** Passes a request on to another entry, which counts it and records where its stream begins. Returns how it ended. */
	async passOn({request, response, prepared, service, timing, signal}: PassedRequest): Promise<RequestEnd> {
		const {
			names, clock, logger, peers, metrics, getConnectionHeaders,
		} = this.#options;
		const {body, route, deadlineAt} = prepared;
		const relay = new ResponseRelay(response, {
			isResumable: route.isResumable,
			timing,
			onStarted() {
				// The other entry records it.
			},
			getExtraHeaders: () => getConnectionHeaders(response),
		});
		const forwarded = new ForwardedRequest({
			attemptId: getHeader(request, names.attemptId),
			caller: {method: request.method!, path: request.url!, headers: getHeaders(request)},
			body,
			isStream: route.kind === requestKinds.streaming,
			service,
			deadlineAt,
			relay,
			peers,
			names,
			clock,
			logger,
			signal,
		});
		const end = await forwarded.run();
		metrics.count('mulberrypitch_forwarded_requests_total', 'Requests that were passed on to another entry, by how they ended.', {end: end.kind, service});
		return end;
	}
}
