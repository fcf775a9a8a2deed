/** Interface for calls between processes: named methods with typed parameters and coded errors. */
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';

/** `host:port` of a process. */
export type Address = string;

/** Options of one call. */
export type CallOptions = {
	readonly timeoutMs: number;
};

/** Validates the parameters of a method. `parse` throws when they are not valid. */
export type Schema<Parameters> = {
	parse(value: unknown): Parameters;
};

/** Handles the calls of one method. `from` is the name of the calling process. Failures reach the caller as coded errors. */
export type Method<Parameters> = (parameters: Parameters, from: string) => Promise<unknown>;

/** Calls methods of peers (the other processes) and serves their calls. */
export type Transport = Resource & {
	/** Calls a method of a peer. The reply is not validated: its type holds only if the peer has the same protocol version. */
	call<Reply>(address: Address, method: string, parameters: unknown, options: CallOptions): Promise<Reply>;
	/** Registers the handler of a method. Throws when the name is already registered. */
	handle<Parameters>(method: string, schema: Schema<Parameters>, handler: Method<Parameters>): void;
};
