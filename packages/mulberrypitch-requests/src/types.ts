/** Public types of the life of a request. */
import type {CallBody} from '@mulberrypitch/backends/types';
import type {Outcome} from '@mulberrypitch/control/types';
import type {ServiceConfiguration, Workspace} from '@mulberrypitch/config/types';

/** A caller's request before it is accepted. */
export type IncomingCall = {
	readonly workspace: Workspace;
	readonly service: ServiceConfiguration;
	readonly body: CallBody;
	readonly idempotencyKey?: string;
	readonly isIdempotent: boolean;
	/** Time that the caller gives, in milliseconds. */
	readonly deadlineMs: number;
	/** Prompt prefix for routing. */
	readonly prefix: string;
	readonly maxTokens: number;
};

/** One part of an answer. Offsets count from zero without gaps. */
export type AnswerChunk = {
	readonly offset: number;
	readonly text: string;
};

/** Status and type of the answer of a plain service. */
export type AnswerHead = {
	readonly status: number;
	readonly contentType: string;
};

/** What readers of an answer see, in order: chunks, then one end. */
export type AnswerEvent
	= | {readonly kind: 'chunk'; readonly chunk: AnswerChunk}
		| {readonly kind: 'end'; readonly outcome: Outcome; readonly head?: AnswerHead};

/** Everything another host needs to carry a request on. */
export type HeldCopy = {
	readonly requestId: string;
	/** Epoch of the holder that left the copy. */
	readonly epoch: number;
	readonly customer: string;
	readonly service: string;
	readonly body: CallBody;
	readonly isIdempotent: boolean;
	/** Wall time in milliseconds at which the answer must be whole. */
	readonly deadlineAt: number;
	readonly prefix: string;
	readonly maxTokens: number;
	readonly chunks: readonly AnswerChunk[];
};

/** A request that was accepted, with its answer as it comes. */
export type AcceptedRequest = {
	readonly requestId: string;
	/** Streams the answer from an offset on. */
	read(fromOffset: number, signal: AbortSignal): AsyncGenerator<AnswerEvent, void>;
};
