/** Public types of requests and their answers. */
import type {CallBody} from '@mulberrypitch/backends/types';
import type {BackendKind, Outcome} from '@mulberrypitch/control/types';
import type {ServiceConfiguration, Workspace} from '@mulberrypitch/config/types';

/** A caller's request that has not been accepted yet. */
export type IncomingCall = {
	readonly workspace: Workspace;
	readonly service: ServiceConfiguration;
	readonly body: CallBody;
	readonly idempotencyKey?: string;
	readonly isIdempotent: boolean;
	/** Time within which the caller needs the answer, in milliseconds. */
	readonly deadlineMs: number;
	/** Prompt prefix by which the router finds a prefix cache. */
	readonly prefix: string;
	/** Maximum number of tokens of the answer; zero for plain services. */
	readonly maxTokens: number;
};

/** One chunk of an answer. Offsets count chunks from zero without gaps. */
export type AnswerChunk = {
	readonly offset: number;
	readonly text: string;
};

/** HTTP status and content type of the answer of a plain service. */
export type AnswerHead = {
	readonly status: number;
	readonly contentType: string;
};

/** An event that a reader of an answer receives. A reader receives any number of chunks, then one end. */
export type AnswerEvent
	= | {readonly kind: 'chunk'; readonly chunk: AnswerChunk}
		| {readonly kind: 'end'; readonly outcome: Outcome; readonly head?: AnswerHead};

/** A copy of a request with everything that another host needs to continue it. The holder of a request is the host that is responsible for it. */
export type HeldCopy = {
	readonly requestId: string;
	/** Hash of the content, which identifies content that crashes back ends. */
	readonly fingerprint: string;
	/** Hashes of the parts of the content that other requests may share. */
	readonly parts: readonly string[];
	/** Epoch of the holder that sent the copy. */
	readonly epoch: number;
	readonly customer: string;
	readonly service: string;
	/** Kind of the service; absent in a copy of a build that didn't state it. */
	readonly kind?: BackendKind | undefined;
	readonly body: CallBody;
	readonly isIdempotent: boolean;
	/** Wall-clock time in milliseconds at which the answer must be complete. */
	readonly deadlineAt: number;
	readonly prefix: string;
	readonly maxTokens: number;
	readonly chunks: readonly AnswerChunk[];
	/** Version of the software of the back end that wrote the first chunk; absent without chunks, or if that back end states none. */
	readonly version?: string | undefined;
};

/** An accepted request and its answer, which may still be streaming. */
export type AcceptedRequest = {
	readonly requestId: string;
	/** Streams the answer from a chunk offset on. */
	read(fromOffset: number, signal: AbortSignal): AsyncGenerator<AnswerEvent, void>;
};
