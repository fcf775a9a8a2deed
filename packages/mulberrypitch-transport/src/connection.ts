/** The client side of a connection between processes. */
import type net from 'node:net';
import {JSONRPCClient, type JSONRPCResponse} from 'json-rpc-2.0';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {
	codes, PeerUnreachableError, ProtocolError, TimeoutError,
} from '@mulberrypitch/errors/catalogue';
import {createErrorFromWire, hasCode, type WireFailure} from '@mulberrypitch/errors/coded-error';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import {parseLine, writeLine} from './line-stream.js';
import type {Address} from './types.js';

/** Code of a failure in the reply to a call, whose data is the coded error. */
export const jsonRpcServerError = -32_000;

/** One connection, with its calls in progress. */
export class Connection {
	readonly #client: JSONRPCClient;
	/** Rejects each call in progress when the connection is lost. One promise for all calls would retain every reply in memory. */
	readonly #calls = new Set<Deferred<never>>();
	readonly #address: Address;
	readonly #socket: net.Socket;
	#isLost = false;
	/** Number of replies received. If a call times out and no reply came since its start, the connection is closed as lost. */
	#replyCount = 0;
	/** Number of calls so far, which identifies the last one. */
	#callCount = 0;

	constructor(address: Address, socket: net.Socket) {
		this.#address = address;
		this.#socket = socket;
		this.#client = new JSONRPCClient(async request => {
			writeLine(socket, request);
		});
	}

	/** Makes a call. Throws `PeerUnreachableError` when the connection is lost before the reply. */
	async request(method: string, parameters: unknown, timeoutMs: number): Promise<unknown> {
		const lost = new Deferred<never>();
		const repliesBefore = this.#replyCount;
		this.#callCount += 1;
		const id = this.#callCount;
		const timer = setTimeout(() => {
			this.#expire(id, new TimeoutError(method, timeoutMs));
		}, timeoutMs);
		this.#calls.add(lost);
		try {
			this.#requireOpen();
			const reply = this.#client.requestAdvanced({
				jsonrpc: '2.0', id, method, params: parameters,
			});
			return getResult(await Promise.race([reply, lost.promise]));
		} catch (error) {
			if (hasCode(error, codes.timeout) && this.#replyCount === repliesBefore) {
				this.#socket.destroy();
			}

			throw error;
		} finally {
			clearTimeout(timer);
			this.#calls.delete(lost);
		}
	}

	/** Hands each reply to its call, until the connection ends. */
	async readReplies(reader: AsyncIterator<string>): Promise<void> {
		try {
			for (let line = await reader.next(); !line.done; line = await reader.next()) {
				this.#replyCount += 1;
				this.#client.receive(parseLine<JSONRPCResponse>(line.value));
			}
		} catch {
			// The handler of the socket's close event fails the calls in progress.
			this.#socket.destroy();
		}
	}

	/** Fails all calls, since the connection is lost. */
	failCalls(): void {
		this.#isLost = true;
		for (const call of this.#calls) {
			call.reject(new PeerUnreachableError(this.#address));
		}
	}

	/** Fails a call that has timed out, unless its reply has arrived: this process may have been too busy to read it. */
	#expire(id: number, failure: TimeoutError): void {
		setImmediate(() => {
			this.#client.receive({jsonrpc: '2.0', id, error: {code: jsonRpcServerError, message: 'timeout', data: failure.toWire()}});
		});
	}

	#requireOpen(): void {
		if (this.#isLost) {
			throw new PeerUnreachableError(this.#address);
		}
	}
}

/** Returns the result in a reply. Throws the failure that it states. */
function getResult({result, error}: JSONRPCResponse): unknown {
	if (error === undefined) {
		return result;
	}

	const wire = assumeType<WireFailure | undefined>(error.data);
	throw wire?.code === undefined ? new ProtocolError(error.message) : createErrorFromWire(wire);
}
