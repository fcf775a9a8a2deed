/** The client side of a connection between processes. */
import type net from 'node:net';
import {
	JSONRPCClient, JSONRPCErrorException, type JSONRPCResponse,
} from 'json-rpc-2.0';
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

	constructor(address: Address, socket: net.Socket) {
		this.#address = address;
		this.#socket = socket;
		this.#client = new JSONRPCClient(async request => {
			writeLine(socket, request);
		});
	}

	/** Makes a call. Throws `PeerUnreachableError` when the connection is lost before the reply. */
	async request(method: string, parameters: unknown, timeoutMs: number): Promise<unknown> {
		const client = this.#client.timeout(timeoutMs, id => ({
			jsonrpc: '2.0', id, error: {code: jsonRpcServerError, message: 'timeout', data: new TimeoutError(method, timeoutMs).toWire()},
		}));
		const lost = new Deferred<never>();
		const repliesBefore = this.#replyCount;
		this.#calls.add(lost);
		try {
			this.#requireOpen();
			return await Promise.race([client.request(method, parameters), lost.promise]);
		} catch (error) {
			const failure = fromRpcError(error);
			if (hasCode(failure, codes.timeout) && this.#replyCount === repliesBefore) {
				this.#socket.destroy();
			}

			throw failure;
		} finally {
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

	#requireOpen(): void {
		if (this.#isLost) {
			throw new PeerUnreachableError(this.#address);
		}
	}
}

function fromRpcError(error: unknown): unknown {
	if (!(error instanceof JSONRPCErrorException)) {
		return error;
	}

	const wire = assumeType<WireFailure | undefined>(error.data);
	return wire?.code === undefined ? new ProtocolError(error.message) : createErrorFromWire(wire);
}
