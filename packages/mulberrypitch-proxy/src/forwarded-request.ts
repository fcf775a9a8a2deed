/**
 * Passes one request on to another entry, which handles it as if the caller had sent it there: its quota, its retries, its account and the choice of
 * a back end are that entry's. It passes the request on no further, so a request takes one hop at the most.
 */
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {enforceDeadline} from './attempt-deadline.js';
import {
	decideAfterLoss, decideDelivery, getStatus, type AttemptOutcome, type BufferedResponse,
} from './attempt-outcome.js';
import type {BackendConnection} from './backend-connection.js';
import type {PeerEntries} from './peer-entries.js';
import type {RequestEnd} from './proxied-request-options.js';
import {endRequest} from './request-end.js';
import {createForwardedHead, type CallerHead} from './request-head.js';
import {ResponseCollector} from './response-collector.js';
import type {ResponseRelay} from './response-relay.js';
import type {HeaderNames} from './types.js';

/** A request to pass on, and the dependencies with which it is handled. */
export type ForwardedRequestOptions = {
	readonly attemptId: string | undefined;
	readonly caller: CallerHead;
	readonly body: Uint8Array;
	readonly isStream: boolean;
	readonly service: string;
	/** Monotonic time in milliseconds by which the caller gets its final response. */
	readonly deadlineAt: number;
	readonly relay: ResponseRelay;
	readonly peers: PeerEntries;
	readonly names: HeaderNames;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Aborts when the caller disconnects. */
	readonly signal: AbortSignal;
};

/** Number of entries that are tried. */
const maxTries = 3;
/** An entry is tried only if more than this time, in milliseconds, is left before the deadline. */
const minTryMs = 60;
/** Statuses of refusals that another entry would repeat: the body came too late, or the quota is used up. */
const repeatedStatuses = new Set([408, 429]);

/** Handles one request until it is answered, refused, cut off or abandoned. */
export class ForwardedRequest {
	readonly #options: ForwardedRequestOptions;
	readonly #tried = new Set<string>();
	/** The last refusal of another entry. */
	#refusal: BufferedResponse | undefined;

	constructor(options: ForwardedRequestOptions) {
		this.#options = options;
	}

	/**
	Passes the request on until an entry accepts it, and returns how it ended. Only an entry that states in a header of its response that no back end
	has run the request has refused it: a status may also be that of a back end, whose failure the entry relays.
	*/
	async run(): Promise<RequestEnd> {
		const {clock, deadlineAt, peers, signal} = this.#options;
		while (!signal.aborted && this.#tried.size < maxTries && deadlineAt - clock.now() > minTryMs) {
			const address = peers.choose(this.#tried);
			if (address === undefined) {
				break;
			}

			this.#tried.add(address);
			const outcome = await this.#attempt(address);
			this.#log(address, outcome);
			const end = this.#decide(outcome);
			if (end !== undefined) {
				return end;
			}
		}

		return signal.aborted ? {kind: 'abandoned'} : this.#endRefused();
	}

	/** Returns how the request ends after an outcome, or `undefined` if another entry may be tried. */
	#decide(outcome: AttemptOutcome): RequestEnd | undefined {
		switch (outcome.kind) {
			case 'delivered': {
				return {kind: 'answered'};
			}

			case 'abandoned': {
				return {kind: 'abandoned'};
			}

			case 'notRun': {
				return this.#decideAfterRefusal(outcome.refusal);
			}

			case 'failed': {
				return endRequest(decideDelivery(outcome.answer, this.#options.relay), this.#options);
			}

			case 'unknown':
			case 'cut':
			case 'timeout': {
				return endRequest(decideAfterLoss(outcome), this.#options);
			}
		}
	}

	/** Returns how a request ends that an entry refused, or could not be sent, or `undefined` if another entry may have room for it. */
	#decideAfterRefusal(refusal: BufferedResponse | undefined): RequestEnd | undefined {
		this.#refusal = refusal ?? this.#refusal;
		return refusal !== undefined && repeatedStatuses.has(refusal.head.status) ? this.#endRefused() : undefined;
	}

	/** Ends a request that no entry has taken, with the last refusal if there was one. */
	#endRefused(): RequestEnd {
		const {relay, service} = this.#options;
		if (this.#refusal === undefined) {
			return {kind: 'refused', service, reason: 'no back end and no other entry can be reached'};
		}

		relay.deliver(this.#refusal.head, this.#refusal.body);
		return {kind: 'answered'};
	}

	async #attempt(address: string): Promise<AttemptOutcome> {
		const {peers, signal} = this.#options;
		let connection: BackendConnection;
		try {
			connection = await peers.connect(address);
		} catch (error) {
			if (!(error instanceof CodedError)) {
				throw error;
			}

			return {kind: 'notRun', reason: error.message, wasSent: false};
		}

		if (signal.aborted) {
			connection.destroy();
			return {kind: 'abandoned'};
		}

		return this.#exchange(connection);
	}

	async #exchange(connection: BackendConnection): Promise<AttemptOutcome> {
		const {attemptId, caller, body, isStream, deadlineAt, relay, names, clock, signal} = this.#options;
		const done = new Deferred<AttemptOutcome>();
		const timerAbort = new AbortController();
		const abandon = () => {
			done.resolve({kind: 'abandoned'});
		};

		signal.addEventListener('abort', abandon, {once: true});
		void enforceDeadline(done, this.#options, timerAbort.signal);
		const ignore = () => {
			// The other entry counts and observes the run.
		};

		connection.send(createForwardedHead(caller, {deadlineMs: deadlineAt - clock.now(), bodyLength: body.length}, names), body, new ResponseCollector({
			attemptId,
			isHead: caller.method === 'HEAD',
			isStream,
			relay,
			connection,
			attemptHeader: names.attemptId,
			signatureHeader: names.signature,
			notRunHeader: names.notRun,
			onBodyBytes: ignore,
			onRunning: ignore,
			onOutcome(outcome) {
				done.resolve(outcome);
			},
		}));
		const outcome = await done.promise;
		timerAbort.abort();
		signal.removeEventListener('abort', abandon);
		if (outcome.kind !== 'delivered' && outcome.kind !== 'failed' && outcome.kind !== 'notRun') {
			// Its caller is gone then, so the other entry ends the request.
			connection.destroy();
		}

		return outcome;
	}

	#log(address: string, outcome: AttemptOutcome): void {
		const {logger, attemptId, service} = this.#options;
		logger.log(events.requestForwarded, {
			request: attemptId,
			service,
			entry: address,
			outcome: outcome.kind,
			status: getStatus(outcome),
			reason: 'reason' in outcome ? outcome.reason : undefined,
		});
	}
}
