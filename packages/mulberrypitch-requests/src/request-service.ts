/** Accepts requests on one host, carries on those it takes over, and lets any host read their answers. */
import {createHash, randomUUID} from 'node:crypto';
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import {
	DrainingError, NotFoundError, PeerUnreachableError,
} from '@mulberrypitch/errors/catalogue';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {events} from '@mulberrypitch/logger/events';
import {
	ends, type Outcome, type RequestRecord, type Session,
} from '@mulberrypitch/control/types';
import type {Admission, Ticket} from '@mulberrypitch/admission/types';
import {AnswerLog} from './answer-log.js';
import {readSchema, type ReadRequest} from './messages.js';
import {RequestHolder, type HolderContext, type HolderStart} from './request-holder.js';
import {RequestStandby, standbyMethods} from './request-standby.js';
import type {
	AcceptedRequest, AnswerChunk, AnswerEvent, AnswerHead, HeldCopy, IncomingCall,
} from './types.js';

const holdTimeoutMs = 1000;
const readWaitMs = 1000;
const readTimeoutMs = 3000;
const retryDelayMs = 200;
const maxStandbyTries = 3;
const finishedRetentionMs = 60_000;
const readMethod = 'request.read';

/** What the service is made of. */
export type RequestServiceOptions = HolderContext & {
	readonly node: string;
	readonly zone: string;
	readonly admission: Admission;
};

type ReadReply = {
	readonly chunks: readonly AnswerChunk[];
	readonly outcome?: Outcome;
	readonly head?: AnswerHead;
};

type Held = {
	readonly holder: RequestHolder;
	readonly epoch: number;
};

/** The requests of one host. */
export class RequestService implements Resource {
	readonly #options: RequestServiceOptions;
	readonly #standby: RequestStandby;
	readonly #held = new Map<string, Held>();
	readonly #disposal = new AbortController();
	#isDraining = false;
	#running = 0;

	constructor(options: RequestServiceOptions) {
		this.#options = options;
		this.#standby = new RequestStandby(options.clock);
		this.#standby.register(options.transport);
		options.transport.handle(readMethod, readSchema, async request => this.#onRead(request));
	}

	/** Requests in progress on this host. */
	get running(): number {
		return this.#running;
	}

	/** Copies kept for other hosts. */
	get copies(): number {
		return this.#standby.size;
	}

	/** Takes no new requests from now on. */
	drain(): void {
		this.#isDraining = true;
	}

	/** Breaks off what is in progress; other hosts carry it on. */
	dispose(): void {
		this.#disposal.abort();
		for (const {holder} of this.#held.values()) {
			holder.abandon();
		}
	}

	/** Resolves when no request is in progress. */
	async waitIdle(): Promise<void> {
		while (this.#running > 0) {
			await this.#options.clock.sleep(retryDelayMs);
		}
	}

	/** Accepts a request: when this resolves, it is recorded and will end exactly once. */
	async submit(call: IncomingCall): Promise<AcceptedRequest> {
		if (this.#isDraining) {
			throw new DrainingError();
		}

		const session = this.#options.control.requireFresh();
		const ticket = await this.#admit(call);
		try {
			return await this.#accept(call, session, ticket);
		} catch (error) {
			ticket.release();
			throw error;
		}
	}

	/** Finds a request on whichever host holds it. */
	async getRequest(requestId: string, customer: string): Promise<AcceptedRequest> {
		const record = await this.#options.control.lookupRequest(requestId);
		if (record?.customer !== customer) {
			throw new NotFoundError(`Request ${requestId} is not known.`);
		}

		return this.#follow(record);
	}

	/** Carries on requests whose holder is gone. */
	takeOver(records: readonly RequestRecord[]): void {
		for (const record of records) {
			const held = this.#held.get(record.requestId);
			if (held === undefined || held.epoch < record.epoch) {
				held?.holder.abandon();
				this.#resume(record);
			}
		}
	}

	async #admit(call: IncomingCall): Promise<Ticket> {
		const {admission, control, clock} = this.#options;
		const capacity = control.backends
			.filter(backend => backend.services.includes(call.service.name) && !backend.isLeaving)
			.reduce((sum, backend) => sum + backend.capabilities.slots, 0);
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
		const {control, clock, logger, node} = this.#options;
		const copy = createCopy(call, clock.wallTime());
		const standby = await this.#copyToStandby(copy);
		const digest = getDigest(call);
		const acceptance = await control.propose({
			kind: 'acceptRequest',
			requestId: copy.requestId,
			customer: copy.customer,
			service: copy.service,
			digest,
			fingerprint: digest,
			...(call.idempotencyKey !== undefined && {idempotencyKey: call.idempotencyKey}),
			isIdempotent: call.isIdempotent,
			holder: node,
			holderEpoch: session.epoch,
			...(standby !== undefined && {standby: standby.node}),
			entryTime: clock.wallTime(),
		});
		if (acceptance.isDuplicate) {
			ticket.release();
			return this.#follow(acceptance.request);
		}

		logger.log(events.requestAccepted, {request: copy.requestId, customer: copy.customer, service: copy.service});
		const holder = this.#hold({
			copy, epoch: 1, attempts: 0, mayHaveRun: false, ...(standby !== undefined && {standbyAddress: standby.peerAddress}),
		}, ticket);
		return {requestId: copy.requestId, read: (fromOffset, signal) => holder.answer.read(fromOffset, signal)};
	}

	/** Leaves a copy on a host that is not about to stop, in another zone where there is one. */
	async #copyToStandby(copy: HeldCopy): Promise<Session | undefined> {
		const {control, transport, node, zone} = this.#options;
		const others = control.sessions.filter(session => session.node !== node && !session.isDraining);
		const start = Number.parseInt(copy.requestId.slice(0, 8), 16);
		const ordered = others
			.map((session, index) => ({session, order: ((index + start) % others.length) + (session.zone === zone ? others.length : 0)}))
			.toSorted((left, right) => left.order - right.order)
			.slice(0, maxStandbyTries);
		for (const {session} of ordered) {
			try {
				await transport.call(session.peerAddress, standbyMethods.hold, copy, {timeoutMs: holdTimeoutMs});
				return session;
			} catch (error) {
				if (!(error instanceof CodedError)) {
					throw error;
				}
			}
		}

		if (others.length > 0) {
			throw new PeerUnreachableError(others[0]!.peerAddress);
		}

		return undefined;
	}

	#hold(start: HolderStart, ticket?: Ticket): RequestHolder {
		const holder = new RequestHolder(this.#options, start);
		this.#held.set(holder.requestId, {holder, epoch: start.epoch});
		void this.#run(holder, ticket);
		return holder;
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
		await clock.sleep(finishedRetentionMs, this.#disposal.signal);
		if (this.#held.get(holder.requestId)?.holder === holder) {
			this.#held.delete(holder.requestId);
		}
	}

	#resume(record: RequestRecord): void {
		const {logger, clock} = this.#options;
		logger.log(events.requestTakenOver, {request: record.requestId, customer: record.customer, epoch: record.epoch});
		const copy = this.#standby.get(record.requestId) ?? createLostCopy(record, clock.wallTime());
		this.#standby.drop(record.requestId);
		this.#hold({
			copy,
			epoch: record.epoch,
			attempts: record.attempts.length,
			mayHaveRun: record.attempts.some(attempt => !attempt.isNotSent),
		});
	}

	async #follow(record: RequestRecord): Promise<AcceptedRequest> {
		return {requestId: record.requestId, read: (fromOffset, signal) => this.#readAnywhere(record, fromOffset, signal)};
	}

	async * #readAnywhere(first: RequestRecord, fromOffset: number, signal: AbortSignal): AsyncGenerator<AnswerEvent, void> {
		let record = first;
		let offset = fromOffset;
		while (!signal.aborted) {
			const reply = await this.#readOnce(record, offset);
			for (const chunk of reply?.chunks ?? []) {
				yield {kind: 'chunk', chunk};
				offset += 1;
			}

			if (reply?.outcome !== undefined) {
				yield {kind: 'end', outcome: reply.outcome, ...(reply.head !== undefined && {head: reply.head})};
				return;
			}

			if (reply === undefined) {
				await this.#options.clock.sleep(retryDelayMs, signal);
				record = await this.#options.control.lookupRequest(record.requestId) ?? record;
			}
		}
	}

	/** Reads once from the holder. Gives nothing when the holder can't be reached or has changed. */
	async #readOnce(record: RequestRecord, fromOffset: number): Promise<ReadReply | undefined> {
		const {control, transport, node} = this.#options;
		const kept = getKeptAnswer(record, fromOffset);
		if (kept !== undefined) {
			return kept;
		}

		const parameters: ReadRequest = {requestId: record.requestId, fromOffset};
		try {
			if (record.holder === node) {
				return await this.#onRead(parameters);
			}

			const holder = control.sessions.find(session => session.node === record.holder);
			return holder === undefined ? undefined : await transport.call<ReadReply>(holder.peerAddress, readMethod, parameters, {timeoutMs: readTimeoutMs});
		} catch (error) {
			if (error instanceof CodedError) {
				return undefined;
			}

			throw error;
		}
	}

	async #onRead({requestId, fromOffset}: ReadRequest): Promise<ReadReply> {
		const held = this.#held.get(requestId);
		if (held === undefined) {
			throw new NotFoundError(`Request ${requestId} is not held here.`);
		}

		const {answer} = held.holder;
		await answer.wait(fromOffset, AbortSignal.timeout(readWaitMs));
		return {
			chunks: answer.getChunks(fromOffset),
			...(answer.outcome !== undefined && {outcome: answer.outcome}),
			...(answer.head !== undefined && {head: answer.head}),
		};
	}
}

function createCopy(call: IncomingCall, now: number): HeldCopy {
	return {
		requestId: randomUUID(),
		customer: call.workspace.name,
		service: call.service.name,
		body: call.body,
		isIdempotent: call.isIdempotent,
		deadlineAt: now + call.deadlineMs,
		prefix: call.prefix,
		maxTokens: call.maxTokens,
		chunks: [],
	};
}

/** Stands for a request whose body was lost with its holder: its deadline has passed, so it ends at once. */
function createLostCopy(record: RequestRecord, now: number): HeldCopy {
	return {
		requestId: record.requestId,
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

function getDigest(call: IncomingCall): string {
	const {method, path, text} = call.body;
	return createHash('sha256').update(JSON.stringify([call.service.name, method, path, text])).digest('hex');
}

/** Answers from the record itself once the request has ended with a kept answer or without one. */
function getKeptAnswer(record: RequestRecord, fromOffset: number): ReadReply | undefined {
	const {outcome} = record;
	if (outcome === undefined || (outcome.end === ends.answered && outcome.answer === undefined)) {
		return undefined;
	}

	if (outcome.answer === undefined) {
		return {chunks: [], outcome};
	}

	const {body, ...head} = outcome.answer;
	const log = new AnswerLog([{offset: 0, text: body}]);
	return {chunks: log.getChunks(fromOffset), outcome, head};
}
