/** The interface between processes: named calls with typed failures. */
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';

/** `host:port` of a process. */
export type Address = string;

/** Options of one call. */
export type CallOptions = {
	readonly timeoutMs: number;
};

/** Checks the parameters of a method; it throws when they don't fit. */
export type Schema<Parameters> = {
	parse(value: unknown): Parameters;
};

/** Answers one method. Failures are thrown as coded errors. */
export type Method<Parameters> = (parameters: Parameters, from: string) => Promise<unknown>;

/** Sends calls to peers and answers theirs. */
export type Transport = Resource & {
	/** Calls a method of a peer, which must be of the same protocol version for the reply to have its type. */
	call<Reply>(address: Address, method: string, parameters: unknown, options: CallOptions): Promise<Reply>;
	/** Registers the method; a name can be registered once. */
	handle<Parameters>(method: string, schema: Schema<Parameters>, answer: Method<Parameters>): void;
};
