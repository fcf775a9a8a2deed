/** Reads answers from any host: follows a request from one holder to the next, and finds the answers of ended requests. */
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

/** Time for which a read waits for new chunks, in milliseconds. */
const readWaitMs = 1000;
/** Timeout of one read from another host, longer than `readWaitMs`, in milliseconds. */
const readTimeoutMs = 3000;
const retryDelayMs = 200;
/** Maximum number of unsuccessful reads of an ended request. After more, its answer counts as no longer stored. */
const maxReadsAfterEnd = 10;
const readMethod = 'request.read';

/** Dependencies of an `AnswerReader`. */
export type AnswerReaderOptions = {
	readonly node: string;
	readonly control: ControlClient;
	readonly transport: Transport;
	readonly clock: Clock;
	readonly standby: RequestStandby;
	/** Returns the answer of a request that this host holds or held recently, or `undefined` for other requests. */
	readonly getAnswer: (requestId: string) => AnswerLog | undefined;
};

/** Reply to one read: new chunks, and the outcome when the request has ended. */
type ReadReply = {
	readonly chunks: readonly AnswerChunk[];
	readonly outcome?: Outcome;
	readonly head?: AnswerHead;
	/** Whether the host that replied no longer holds the request. */
	readonly isAbandoned?: boolean;
};

/**
Reads answers for the callers of this host, and serves its own answers to the readers of other hosts.

@example
```
const reader = new AnswerReader({node, control, transport, clock, standby, getAnswer});
for await (const event of reader.read(record, 0, signal)) {
// Send the event to the caller.
}
```
*/
export class AnswerReader {
	readonly #options: AnswerReaderOptions;

	constructor(options: AnswerReaderOptions) {
		this.#options = options;
		options.transport.handle(readMethod, readSchema, async request => this.#handleRead(request));
	}

	/** Streams the chunks of an answer from an offset on, and then its end. Ends early when the signal aborts. Throws `NotFoundError` when no host stores the answer any more. */
	async * read(initialRecord: RequestRecord, fromOffset: number, signal: AbortSignal): AsyncGenerator<AnswerEvent, void> {
		let record = initialRecord;
		let offset = fromOffset;
		let readsAfterEnd = 0;
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
				readsAfterEnd += record.outcome === undefined ? 0 : 1;
				if (readsAfterEnd > maxReadsAfterEnd) {
					throw new NotFoundError(`The answer of request ${record.requestId} is no longer stored.`, 'The request was answered; do not order again.');
				}

				await this.#options.clock.sleep(retryDelayMs, signal);
				record = await this.#lookup(record);
			}
		}
	}

	/** Returns the latest record of a request, or the known one while the control group can't be reached. */
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

	/** Reads the next chunks from the record, from the holder or, after the end, from the standby. Returns `undefined` when none of them can supply chunks. */
	async #readOnce(record: RequestRecord, fromOffset: number): Promise<ReadReply | undefined> {
		const stored = getStoredAnswer(record, fromOffset);
		if (stored !== undefined) {
			return stored;
		}

		const {requestId, holder, standby, copyEpoch, outcome} = record;
		const reply = await this.#readFrom(holder, {requestId, fromOffset});
		if (outcome === undefined || reply?.outcome !== undefined) {
			return reply;
		}

		// The standby has stored the whole answer before the end is committed, so its copy is complete.
		const copied = standby === undefined ? undefined : await this.#readFrom(standby, {requestId, fromOffset, endedCopyEpoch: copyEpoch});
		return copied === undefined || copied.isAbandoned === true ? undefined : {...copied, outcome};
	}

	/** Reads from one host. Returns `undefined` when the host has no session, can't be reached or doesn't store the answer. */
	async #readFrom(host: string, parameters: ReadRequest): Promise<ReadReply | undefined> {
		const {control, transport, node} = this.#options;
		try {
			if (host === node) {
				return await this.#handleRead(parameters);
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

	/** Serves a read: waits up to `readWaitMs` for chunks of an answer that this host holds, or returns those of a copy that this host stores as a standby. */
	async #handleRead({requestId, fromOffset, endedCopyEpoch}: ReadRequest): Promise<ReadReply> {
		const {standby, clock, getAnswer} = this.#options;
		const answer = getAnswer(requestId);
		if (answer === undefined) {
			const copy = standby.get(requestId);
			if (copy?.epoch !== endedCopyEpoch || copy === undefined) {
				throw new NotFoundError(`Request ${requestId} is not held here.`);
			}

			return {chunks: copy.chunks.slice(fromOffset)};
		}

		const timeout = new TimeoutSignal(clock, readWaitMs);
		await answer.waitConfirmed(fromOffset, timeout.signal);
		timeout.cancel();
		return {
			chunks: answer.getConfirmed(fromOffset),
			...(answer.outcome !== undefined && {outcome: answer.outcome}),
			...(answer.head !== undefined && {head: answer.head}),
			...(answer.isAbandoned && {isAbandoned: true}),
		};
	}
}

/** Returns the reply from the record alone when it stores the answer or when nothing is left to read, or `undefined` otherwise. */
function getStoredAnswer(record: RequestRecord, fromOffset: number): ReadReply | undefined {
	const {outcome} = record;
	if (outcome === undefined) {
		return undefined;
	}

	const hasUnreadChunks = outcome.end === ends.answered && fromOffset < (outcome.chunkCount ?? Number.POSITIVE_INFINITY);
	if (outcome.answer === undefined && hasUnreadChunks) {
		return undefined;
	}

	if (outcome.answer === undefined) {
		return {chunks: [], outcome};
	}

	const {body, ...head} = outcome.answer;
	return {chunks: fromOffset === 0 ? [{offset: 0, text: body}] : [], outcome, head};
}
