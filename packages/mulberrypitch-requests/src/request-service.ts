/** Accepts requests on one host, continues those that it takes over, and serves their answers to any host. */
import {randomUUID} from 'node:crypto';
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import {DrainingError, NotFoundError} from '@mulberrypitch/errors/catalogue';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {events} from '@mulberrypitch/logger/events';
import type {RequestRecord, Session} from '@mulberrypitch/control/types';
import type {Admission, Ticket} from '@mulberrypitch/admission/types';
import {AnswerReader} from './answer-reader.js';
import {getContentDigest, getContentParts} from './content-fingerprint.js';
import {copySchema, type CopyRequest} from './messages.js';
import {ReclaimWatch} from './reclaim-watch.js';
import type {HolderContext, HolderStart} from './holder-context.js';
import {RequestHolder} from './request-holder.js';
import {RequestStandby} from './request-standby.js';
import {copyToStandby} from './standby-link.js';
import type {AcceptedRequest, HeldCopy, IncomingCall} from './types.js';

/** Timeout of the call that asks one host for a copy, in milliseconds. */
const copyTimeoutMs = 1000;
/** Time for which other hosts are asked for a copy before the request counts as lost, in milliseconds. */
const copySearchMs = 10_000;
const retryDelayMs = 200;
/** Time for which an ended request stays in memory for readers, in milliseconds. */
const finishedRetentionMs = 60_000;
const copyMethod = 'request.copy';

/** Dependencies of a `RequestService`. */
export type RequestServiceOptions = HolderContext & {
	readonly admission: Admission;
	/** Creates the identifier of a new request. Defaults to random UUIDs. */
	readonly createRequestId?: () => string;
};

/** A request that this host holds, or held until recently. */
type Held = {
	readonly holder: RequestHolder;
	readonly epoch: number;
};

/** A holder that has stopped, whose answer is kept for readers. */
type Ended = {
	readonly holder: RequestHolder;
	/** Monotonic time in milliseconds at which the holder stopped. */
	readonly endedAt: number;
};

/**
Accepts, runs and takes over the requests of one host.

@example
```
const accepted = await requests.submit(call);
for await (const event of accepted.read(0, signal)) {
// Send the event to the caller.
}
```
*/
export class RequestService implements Resource {
	readonly #options: RequestServiceOptions;
	readonly #standby: RequestStandby;
	readonly #reader: AnswerReader;
	/** Epochs of the requests that this host takes over and whose copies it still searches for, by request. */
	readonly #searchEpochs = new Map<string, number>();
	readonly #held = new Map<string, Held>();
	/** Requests that ended on this host or were abandoned by it, the earliest first. */
	readonly #ended: Ended[] = [];
	readonly #disposal = new AbortController();
	#isDraining = false;
	#running = 0;
	/** Number of calls to `submit` in progress, from before admission until the request is recorded. */
	#accepting = 0;

	constructor(options: RequestServiceOptions) {
		this.#options = options;
		this.#standby = new RequestStandby(options.clock, requestId => this.#getEpoch(requestId));
		this.#standby.register(options.transport);
		this.#reader = new AnswerReader({
			...options, standby: this.#standby, getAnswer: requestId => this.#held.get(requestId)?.holder.answer,
		});
		void new ReclaimWatch({
			control: options.control,
			clock: options.clock,
			getHolders: () => [...this.#held.values()].map(({holder}) => holder),
			getPolicy: options.getReclaimPolicy,
		}).run(this.#disposal.signal);
		options.transport.handle(copyMethod, copySchema, async request => this.#requireCopy(request));
	}

	/** Number of requests that this host holds and that have not ended. */
	get running(): number {
		return this.#running;
	}

	/** Whether no request is in progress and no call to `submit` is pending. */
	get isIdle(): boolean {
		return this.#running + this.#accepting === 0;
	}

	/** Number of copies that this host stores as the standby of other hosts. */
	get copies(): number {
		return this.#standby.size;
	}

	/** Makes `submit` and `getRequest` refuse callers with `DrainingError` from now on. */
	drain(): void {
		this.#isDraining = true;
	}

	/** Transfers the idempotent requests in progress to their standbys, so that this host can stop sooner. */
	async handOver(): Promise<void> {
		const holders = [...this.#held.values()].map(({holder}) => holder);
		await Promise.allSettled(holders.map(async holder => holder.handOver()));
	}

	/** Aborts all requests in progress and the background work of the service. Other hosts continue the requests. */
	dispose(): void {
		this.#disposal.abort();
		this.abandonAll();
	}

	/** Abandons all requests at once. Called when the host has lost its session, because other hosts then take its requests over. */
	abandonAll(): void {
		for (const {holder} of this.#held.values()) {
			holder.abandon();
		}
	}

	/** Resolves when no request is in progress and no call to `submit` is pending. */
	async waitIdle(): Promise<void> {
		while (!this.isIdle) {
			await this.#options.clock.sleep(retryDelayMs);
		}
	}

	/** Accepts a request. Once this resolves, the request is recorded in the control group and will have exactly one outcome. */
	async submit(call: IncomingCall): Promise<AcceptedRequest> {
		this.#requireNotDraining();
		const session = this.#options.control.requireFresh();
		this.#accepting += 1;
		try {
			return await this.#admitAndAccept(call, session);
		} finally {
			this.#accepting -= 1;
		}
	}

	/** Returns a request of a customer, whichever host holds it. Throws `NotFoundError` when the customer has no such request, and `DrainingError` when this host stops. */
	async getRequest(requestId: string, customer: string): Promise<AcceptedRequest> {
		this.#requireNotDraining();
		const record = await this.#options.control.lookupRequest(requestId);
		if (record?.customer !== customer) {
			throw new NotFoundError(`Request ${requestId} is not known.`);
		}

		// The host may have started to drain during the look-up.
		this.#requireNotDraining();
		return this.#createAcceptedRequest(record);
	}

	/** Continues requests that the control group has assigned to this host because their previous holder is gone or handed them over. */
	takeOver(records: readonly RequestRecord[]): void {
		for (const record of records) {
			if (this.#getEpoch(record.requestId) < record.epoch) {
				this.#held.get(record.requestId)?.holder.abandon();
				void this.#resume(record);
			}
		}
	}

	async #admitAndAccept(call: IncomingCall, session: Session): Promise<AcceptedRequest> {
		const ticket = await this.#admit(call);
		try {
			// The host may have started to drain while the call waited for admission.
			this.#requireNotDraining();
			return await this.#accept(call, session, ticket);
		} catch (error) {
			ticket.release();
			throw error;
		}
	}

	#requireNotDraining(): void {
		if (this.#isDraining) {
			throw new DrainingError();
		}
	}

	async #admit(call: IncomingCall): Promise<Ticket> {
		const {admission, control, clock, router} = this.#options;
		const capacity = router.getSlots(control.backends
			.filter(backend => backend.services.includes(call.service.name))
			.map(({id, zone, isLeaving, capabilities}) => ({
				id, zone, isLeaving, slots: capabilities.slots,
			})));
		return admission.acquire({
			customer: call.workspace.name,
			service: call.service.name,
			share: call.workspace.share,
			maxInFlight: call.workspace.maxInFlight,
			deadline: clock.now() + call.deadlineMs,
			queueLimit: call.service.queueLimit,
			capacity,
			maxTokens: call.maxTokens,
		});
	}

	async #accept(call: IncomingCall, session: Session, ticket: Ticket): Promise<AcceptedRequest> {
		const {
			control, clock, logger, node, createRequestId = randomUUID,
		} = this.#options;
		const copy = createCopy(call, createRequestId(), clock.wallTime());
		const standby = await copyToStandby(this.#options, copy);
		const digest = copy.fingerprint;
		const acceptance = await control.propose({
			kind: 'acceptRequest',
			requestId: copy.requestId,
			customer: copy.customer,
			service: copy.service,
			digest,
			fingerprint: digest,
			...(copy.parts.length > 0 && {parts: copy.parts}),
			...(call.idempotencyKey !== undefined && {idempotencyKey: call.idempotencyKey}),
			isIdempotent: call.isIdempotent,
			holder: node,
			holderEpoch: session.epoch,
			...(standby !== undefined && {standby: standby.node}),
			entryTime: clock.wallTime(),
		});
		if (acceptance.isDuplicate) {
			ticket.release();
			return this.#createAcceptedRequest(acceptance.request);
		}

		logger.log(events.requestAccepted, {request: copy.requestId, customer: copy.customer, service: copy.service});
		this.#startHolder({
			copy, attempts: 0, mayHaveRun: false, isSuspect: acceptance.isSuspect, ...(standby !== undefined && {standby}),
		}, ticket);
		return this.#createAcceptedRequest(acceptance.request);
	}

	#startHolder(start: HolderStart, ticket?: Ticket): void {
		const holder = new RequestHolder(this.#options, start);
		this.#held.set(holder.requestId, {holder, epoch: start.copy.epoch});
		void this.#run(holder, ticket);
	}

	async #run(holder: RequestHolder, ticket: Ticket | undefined): Promise<void> {
		const {logger, clock} = this.#options;
		this.#running += 1;
		try {
			await holder.run();
		} catch (error) {
			logger.log(events.requestFailed, {request: holder.requestId, reason: getMessage(error)});
		}

		this.#running -= 1;
		ticket?.release();
		this.#ended.push({holder, endedAt: clock.now()});
		this.#dropEnded(clock.now() - finishedRetentionMs);
	}

	/** Removes the requests that ended before the given time from memory. Readers find the outcomes of these requests in the records. */
	#dropEnded(before: number): void {
		while (this.#ended.length > 0 && this.#ended[0]!.endedAt < before) {
			const {holder} = this.#ended.shift()!;
			if (this.#held.get(holder.requestId)?.holder === holder) {
				this.#held.delete(holder.requestId);
			}
		}
	}

	/** Starts a holder for a request that was taken over, with a copy if any host still has one. */
	async #resume(record: RequestRecord): Promise<void> {
		const {logger, clock} = this.#options;
		const {requestId, epoch} = record;
		logger.log(events.requestTakenOver, {request: requestId, customer: record.customer, epoch});
		this.#searchEpochs.set(requestId, epoch);
		const copy = this.#findLocalCopy(record) ?? await this.#searchRemoteCopy(record);
		if (this.#searchEpochs.get(requestId) !== epoch || this.#disposal.signal.aborted) {
			return;
		}

		this.#searchEpochs.delete(requestId);
		this.#standby.drop(requestId);
		this.#startHolder({
			copy: {...copy ?? createPlaceholderCopy(record, clock.wallTime()), epoch},
			isLost: copy === undefined,
			attempts: record.attempts.length,
			mayHaveRun: record.attempts.some(attempt => !attempt.isNotSent),
		});
	}

	/** Returns the epoch with which this host holds a request or is about to hold it, or zero. */
	#getEpoch(requestId: string): number {
		return Math.max(this.#held.get(requestId)?.epoch ?? 0, this.#searchEpochs.get(requestId) ?? 0);
	}

	/**
	Returns a local copy with all chunks that callers have read: that of the last holder or of the committed standby. Returns
	`undefined` when this host has neither.
	*/
	#findLocalCopy({requestId, copyEpoch, standby}: CopyRequest): HeldCopy | undefined {
		const held = this.#held.get(requestId);
		if (held?.epoch === copyEpoch) {
			return held.holder.getCopy();
		}

		const copy = standby === this.#options.node ? this.#standby.get(requestId) : undefined;
		return copy?.epoch === copyEpoch ? copy : undefined;
	}

	#requireCopy(record: CopyRequest): HeldCopy {
		const copy = this.#findLocalCopy(record);
		if (copy === undefined) {
			throw new NotFoundError(`This host has no copy of request ${record.requestId}.`);
		}

		return copy;
	}

	/** Asks all other hosts for the copy of a request, for up to `copySearchMs`, because the host with the copy may be unreachable for a while. */
	async #searchRemoteCopy(record: RequestRecord): Promise<HeldCopy | undefined> {
		const {clock, control, node} = this.#options;
		const searchDeadline = clock.now() + copySearchMs;
		while (clock.now() < searchDeadline && !this.#disposal.signal.aborted) {
			const others = control.sessions.filter(session => session.node !== node);
			const copies = await Promise.all(others.map(async session => this.#fetchCopy(session, record)));
			const found = copies.find(copy => copy !== undefined);
			if (found !== undefined) {
				return found;
			}

			await clock.sleep(retryDelayMs, this.#disposal.signal);
		}

		return undefined;
	}

	async #fetchCopy(session: Session, record: RequestRecord): Promise<HeldCopy | undefined> {
		const {requestId, copyEpoch, standby} = record;
		try {
			return await this.#options.transport.call<HeldCopy>(session.peerAddress, copyMethod, {requestId, copyEpoch, standby}, {timeoutMs: copyTimeoutMs});
		} catch (error) {
			if (error instanceof CodedError) {
				return undefined;
			}

			throw error;
		}
	}

	#createAcceptedRequest(record: RequestRecord): AcceptedRequest {
		return {requestId: record.requestId, read: (fromOffset, signal) => this.#reader.read(record, fromOffset, signal)};
	}
}

function createCopy(call: IncomingCall, requestId: string, now: number): HeldCopy {
	return {
		requestId,
		fingerprint: getContentDigest(call),
		parts: getContentParts(call),
		epoch: 1,
		customer: call.workspace.name,
		service: call.service.name,
		kind: call.service.kind,
		body: call.body,
		isIdempotent: call.isIdempotent,
		deadlineAt: now + call.deadlineMs,
		prefix: call.prefix,
		maxTokens: call.maxTokens,
		chunks: [],
	};
}

/** Creates a copy without content for a request whose holder and standby were both lost; it is only used to end the request. */
function createPlaceholderCopy(record: RequestRecord, now: number): HeldCopy {
	return {
		requestId: record.requestId,
		fingerprint: record.fingerprint,
		parts: record.parts ?? [],
		epoch: record.epoch,
		customer: record.customer,
		service: record.service,
		body: {
			method: 'GET', path: '/', contentType: '', text: '',
		},
		isIdempotent: record.isIdempotent,
		deadlineAt: now,
		prefix: '',
		maxTokens: 0,
		chunks: [],
	};
}
