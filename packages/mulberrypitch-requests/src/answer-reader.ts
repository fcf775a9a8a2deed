/** Reads answers on any host: follows a request from holder to holder, and finds answers that have ended. */
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {assertInvariant, NotFoundError} from '@mulberrypitch/errors/catalogue';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {ControlClient} from '@mulberrypitch/control/control-client';
import {ends, type Outcome, type RequestRecord} from '@mulberrypitch/control/types';
import type {Transport} from '@mulberrypitch/transport/types';
import type {AnswerLog} from './answer-log.js';
import {readSchema, type ReadRequest} from './messages.js';
import type {RequestStandby} from './request-standby.js';
import {TimeoutSignal} from './timeout-signal.js';
import type {AnswerChunk, AnswerEvent, AnswerHead} from './types.js';

const readWaitMs = 1000;
const readTimeoutMs = 3000;
const retryDelayMs = 200;
const maxReadsOfEnded = 10;
const readMethod = 'request.read';

/** What the reader is made of. */
export type AnswerReaderOptions = {
	readonly node: string;
	readonly control: ControlClient;
	readonly transport: Transport;
	readonly clock: Clock;
	readonly standby: RequestStandby;
	/** Gives the answer of a request that this host holds or held. */
	readonly getAnswer: (requestId: string) => AnswerLog | undefined;
};

type ReadReply = {
	readonly chunks: readonly AnswerChunk[];
	readonly outcome?: Outcome;
	readonly head?: AnswerHead;
	/** The one who was asked does not carry the request on. */
	readonly isAbandoned?: boolean;
};

/** Reads answers for the callers of one host and for other hosts. */
export class AnswerReader {
	readonly #options: AnswerReaderOptions;

	constructor(options: AnswerReaderOptions) {
		this.#options = options;
		options.transport.handle(readMethod, readSchema, async request => this.#onRead(request));
	}

	/** Streams an answer from an offset on, and its end. Throws `NotFoundError` when it is no longer kept. */
	async * read(first: RequestRecord, fromOffset: number, signal: AbortSignal): AsyncGenerator<AnswerEvent, void> {
		let record = first;
		let offset = fromOffset;
		let readsOfEnded = 0;
		while (!signal.aborted) {
			const reply = await this.#readOnce(record, offset);
			for (const chunk of reply?.chunks ?? []) {
				assertInvariant(chunk.offset === offset, `Chunk ${chunk.offset} was read in place of chunk ${offset}.`);
				yield {kind: 'chunk', chunk};
				offset += 1;
			}

			if (reply?.outcome !== undefined) {
				yield {kind: 'end', outcome: reply.outcome, ...(reply.head !== undefined && {head: reply.head})};
				return;
			}

			if (reply === undefined || reply.isAbandoned === true) {
				readsOfEnded += record.outcome === undefined ? 0 : 1;
				if (readsOfEnded > maxReadsOfEnded) {
					throw new NotFoundError(`The answer of request ${record.requestId} is no longer kept.`, 'The request was answered; do not order again.');
				}

				await this.#options.clock.sleep(retryDelayMs, signal);
				record = await this.#lookup(record);
			}
		}
	}

	/** Gives the newest record, or the known one while the control group can't be reached. */
	async #lookup(known: RequestRecord): Promise<RequestRecord> {
		let record: RequestRecord | undefined;
		try {
			record = await this.#options.control.lookupRequest(known.requestId);
		} catch (error) {
			if (error instanceof CodedError) {
				return known;
			}

			throw error;
		}

		if (record === undefined) {
			throw new NotFoundError(`Request ${known.requestId} is no longer known.`);
		}

		return record;
	}

	/** Reads once from whoever has the answer. Gives nothing when nobody who has it can be reached. */
	async #readOnce(record: RequestRecord, fromOffset: number): Promise<ReadReply | undefined> {
		const kept = getKeptAnswer(record, fromOffset);
		if (kept !== undefined) {
			return kept;
		}

		const {requestId, holder, standby, copyEpoch, outcome} = record;
		const reply = await this.#readFrom(holder, {requestId, fromOffset});
		if (outcome === undefined || reply?.outcome !== undefined) {
			return reply;
		}

		// A standby has the whole answer before the end is committed.
		const copied = standby === undefined ? undefined : await this.#readFrom(standby, {requestId, fromOffset, endedCopyEpoch: copyEpoch});
		return copied === undefined || copied.isAbandoned === true ? undefined : {...copied, outcome};
	}

	async #readFrom(host: string, parameters: ReadRequest): Promise<ReadReply | undefined> {
		const {control, transport, node} = this.#options;
		try {
			if (host === node) {
				return await this.#onRead(parameters);
			}

			const session = control.sessions.find(candidate => candidate.node === host);
			return session === undefined ? undefined : await transport.call<ReadReply>(session.peerAddress, readMethod, parameters, {timeoutMs: readTimeoutMs});
		} catch (error) {
			if (error instanceof CodedError) {
				return undefined;
			}

			throw error;
		}
	}

	async #onRead({requestId, fromOffset, endedCopyEpoch}: ReadRequest): Promise<ReadReply> {
		const {standby, clock, getAnswer} = this.#options;
		const answer = getAnswer(requestId);
		if (answer === undefined) {
			const copy = standby.get(requestId);
			if (copy?.epoch !== endedCopyEpoch || copy === undefined) {
				throw new NotFoundError(`Request ${requestId} is not held here.`);
			}

			return {chunks: copy.chunks.slice(fromOffset)};
		}

		const limit = new TimeoutSignal(clock, readWaitMs);
		await answer.waitConfirmed(fromOffset, limit.signal);
		limit.cancel();
		return {
			chunks: answer.getConfirmed(fromOffset),
			...(answer.outcome !== undefined && {outcome: answer.outcome}),
			...(answer.head !== undefined && {head: answer.head}),
			...(answer.isAbandoned && {isAbandoned: true}),
		};
	}
}

/** Answers from the record itself once the request has ended with a kept answer or without one. */
function getKeptAnswer(record: RequestRecord, fromOffset: number): ReadReply | undefined {
	const {outcome} = record;
	if (outcome === undefined) {
		return undefined;
	}

	const isMissing = outcome.end === ends.answered && fromOffset < (outcome.chunkCount ?? Number.POSITIVE_INFINITY);
	if (outcome.answer === undefined && isMissing) {
		return undefined;
	}

	if (outcome.answer === undefined) {
		return {chunks: [], outcome};
	}

	const {body, ...head} = outcome.answer;
	return {chunks: fromOffset === 0 ? [{offset: 0, text: body}] : [], outcome, head};
}
