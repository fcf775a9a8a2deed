/** A connection to a back end, which carries one request at a time. */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {PeerUnreachableError, ProtocolError} from '@mulberrypitch/errors/catalogue';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {isPort, splitAddress} from '@mulberrypitch/lifecycle/listen';
import {LateResponse} from './late-response.js';
import {
	findHeader, getHeaderValues, mayBeginResponse, type ResponseHead,
} from './response-head.js';
import {ResponseParser} from './response-parser.js';

/**
Receives the response to one request. Either `onEnd` or `onFailed` is called in the end, and nothing after it. When the connection
is closed by `destroy`, neither is called.
*/
export type Exchange = {
	/** Distinguishes the response from late ones to earlier requests. Absent if the request has none; its response then has none either. */
	readonly attemptId: string | undefined;
	/** Whether the request's method is HEAD, so that the response has no body. */
	readonly isHead: boolean;
	onHead(head: ResponseHead): void;
	onBody(data: Uint8Array): void;
	onEnd(): void;
	onFailed(reason: string): void;
};

/** Dependencies and settings of a connection. */
export type ConnectionOptions = {
	readonly address: string;
	readonly connectTimeoutMs: number;
	/** Name, in lower case, of the header in which back ends repeat the attempt identifier of the request. */
	readonly attemptHeader: string;
	/** Called once when the connection can't be used any more. */
	readonly onClosed: (connection: BackendConnection) => void;
	/** Called when an exchange has ended and another one may follow. */
	readonly onIdle: (connection: BackendConnection) => void;
	/** Called with the head of each response to a request on this connection, and the monotonic time in milliseconds at which the request was sent. */
	readonly onHead: (head: ResponseHead, sentAt: number) => void;
	/** Called when bytes arrive; absent if nobody observes that. */
	readonly onData?: () => void;
	/** Called when bytes arrive that belong to no request; absent if nobody observes that. */
	readonly onNeedlessBytes?: (kind: NeedlessBytes) => void;
	/** Returns the monotonic time in milliseconds. */
	readonly now: () => number;
};

/** When bytes that belong to no request arrive. */
export const needlessBytes = {
	/** While no request waits for a response. */
	idle: 'idle',
	/** Instead of the response to the next request, as a response to an earlier one. */
	late: 'late',
} as const;

/** One of `needlessBytes`. */
export type NeedlessBytes = typeof needlessBytes[keyof typeof needlessBytes];

/** Size in bytes of the buffer into which sockets read. */
const readBufferBytes = 64 * 1024;
/** Shared by all connections: the bytes of one read are consumed before the next read. */
const readBuffer = Buffer.alloc(readBufferBytes);
/** Idle time in milliseconds after which a connection is closed, unless the back end states its own in `Keep-Alive`. */
const defaultIdleMs = 4000;
/** Time in milliseconds by which a connection is closed before the idle time that the back end states has passed. */
const idleMarginMs = 700;

/** A connection that is opened by `open`, and closed by `destroy`, by the back end, or after a malformed response. */
export class BackendConnection {
	/** Connects. Throws `PeerUnreachableError`, in which case nothing was sent, also for an address to which no connection is possible. */
	static async open(options: ConnectionOptions): Promise<BackendConnection> {
		const {host, port} = splitAddress(options.address);
		if (!isPort(port)) {
			throw new PeerUnreachableError(options.address);
		}

		let consume = (_: Uint8Array) => true;
		const socket = net.connect({
			host,
			port,
			noDelay: true,
			onread: {
				buffer: readBuffer,
				callback: (length, buffer) => consume(buffer.subarray(0, length)),
			},
		});
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				socket.destroy();
				reject(new PeerUnreachableError(options.address));
			}, options.connectTimeoutMs);
			const fail = (error: unknown) => {
				clearTimeout(timer);
				socket.destroy();
				reject(new PeerUnreachableError(options.address, {cause: error}));
			};

			socket.once('error', fail);
			socket.once('connect', () => {
				clearTimeout(timer);
				socket.off('error', fail);
				const connection = new BackendConnection(socket, options);
				consume = data => connection.#onData(data);
				resolve(connection);
			});
		});
	}

	readonly #options: ConnectionOptions;
	readonly #socket: net.Socket;
	readonly #parser: ResponseParser;
	#exchange: Exchange | undefined;
	/** The response to an earlier request that is being received; absent otherwise. */
	#late: LateResponse | undefined;
	/** Whether the connection has carried a request before the current one. */
	#isUsed = false;
	/** Whether bytes have arrived that belong to no request. Others may follow at any time, so the connection is not used again. */
	#hasNeedlessBytes = false;
	#isPaused = false;
	#isPersistent = true;
	#isClosed = false;
	#hasEnded = false;
	/** Idle time in milliseconds after which the connection is not reused. */
	#idleMs = defaultIdleMs;
	#idleSince: number;
	/** Monotonic time in milliseconds at which the last request was sent. */
	#sentAt = Number.NEGATIVE_INFINITY;

	private constructor(socket: net.Socket, options: ConnectionOptions) {
		this.#socket = socket;
		this.#options = options;
		this.#idleSince = options.now();
		this.#parser = new ResponseParser({
			onHead: head => {
				this.#onHead(head);
			},
			onBody: data => {
				if (this.#late === undefined) {
					// The exchange is absent when it has given the response up in the middle of the received bytes.
					this.#exchange?.onBody(data);
				} else {
					this.#late.skip(data);
				}
			},
			onEnd: following => {
				this.#onEnd(following);
			},
		}, () => this.#exchange?.isHead === true);
		socket.on('end', () => {
			this.#onEndOfConnection();
		});
		socket.on('error', error => {
			this.#fail(getMessage(error));
		});
		socket.on('close', () => {
			this.#fail('the connection was closed');
		});
		socket.resume();
	}

	/** Whether another request may be sent on this idle connection. */
	get isReusable(): boolean {
		return !this.#isClosed && this.#exchange === undefined && this.#isPersistent && this.idleMs < this.#idleMs;
	}

	/** Time since the last exchange, in milliseconds. */
	get idleMs(): number {
		return this.#options.now() - this.#idleSince;
	}

	/** Sends a request. In its head, each character stands for one byte. The connection must be idle. */
	send(head: string, body: Uint8Array | undefined, exchange: Exchange): void {
		this.#exchange = exchange;
		this.#sentAt = this.#options.now();
		this.#socket.cork();
		this.#socket.write(head, 'latin1');
		if (body !== undefined && body.length > 0) {
			this.#socket.write(body);
		}

		this.#socket.uncork();
	}

	/** Stops reading until `resume` is called. */
	pause(): void {
		this.#isPaused = true;
		this.#socket.pause();
	}

	/** Continues reading. */
	resume(): void {
		this.#isPaused = false;
		this.#socket.resume();
	}

	/** Closes the connection without notifying the exchange in progress. */
	destroy(): void {
		this.#exchange = undefined;
		this.#close();
	}

	/**
	Handles the orderly end of the connection, which completes a response without another end. If a part of the request is still to be sent, the back end
	has not read it, and its process may have ended: nothing tells then whether the response is complete.
	*/
	#onEndOfConnection(): void {
		this.#hasEnded = true;
		if (this.#socket.writableLength > 0) {
			this.#fail('the back end closed the connection before it had received the whole request');
			return;
		}

		this.#parser.finish();
		this.#fail('the back end closed the connection');
	}

	/** Parses received bytes. Returns whether to continue reading at once. */
	#onData(data: Uint8Array): boolean {
		this.#options.onData?.();
		try {
			this.#parser.push(data);
		} catch (error) {
			if (!(error instanceof ProtocolError)) {
				throw error;
			}

			this.#fail(error.message);
		}

		if (this.#exchange === undefined && this.#parser.isInsideResponse) {
			this.#closeForNeedlessBytes();
		}

		return !this.#parser.lastsUntilClose || this.#resumeLater();
	}

	/**
	Pauses reading before the end of the connection is read. When a reset is seen together with the last bytes, libuv reports
	an orderly end instead, and a truncated response would look complete.
	*/
	#resumeLater(): false {
		setImmediate(() => {
			if (!this.#isPaused && !this.#isClosed) {
				this.#socket.resume();
			}
		});
		return false;
	}

	/** Receives a head. Throws `ProtocolError` when it can't be told to which request it responds. */
	#onHead(head: ResponseHead): void {
		const exchange = this.#exchange;
		if (exchange === undefined) {
			throw new ProtocolError('A response arrived without a request.');
		}

		const [answeredId, ...otherIds] = new Set(getHeaderValues(head.headers, this.#options.attemptHeader));
		if (otherIds.length > 0) {
			throw new ProtocolError('The response names several requests.');
		}

		if (answeredId === undefined && exchange.attemptId !== undefined && this.#isUsed) {
			throw new ProtocolError('The response names no request, so it may be that to an earlier one.');
		}

		this.#isPersistent = head.isPersistent;
		if (answeredId !== undefined && answeredId !== (exchange.attemptId ?? '')) {
			this.#late = new LateResponse(exchange.attemptId);
			this.#recordNeedlessBytes(needlessBytes.late);
			return;
		}

		this.#readKeepAlive(head);
		this.#options.onHead(head, this.#sentAt);
		exchange.onHead(head);
	}

	/** Ends the exchange. Throws `ProtocolError` when what follows the response begins no other one. */
	#onEnd(following: Uint8Array): void {
		if (!mayBeginResponse(following)) {
			// Bytes of another response that got into this body have displaced its own end by as many.
			throw new ProtocolError('Bytes that begin no response follow the response, so its body may not be its own.');
		}

		if (this.#late !== undefined) {
			this.#late = undefined;
			return;
		}

		const exchange = this.#exchange;
		this.#exchange = undefined;
		this.#isUsed = true;
		this.#idleSince = this.#options.now();
		exchange?.onEnd();
		if (this.#isPaused) {
			// Nobody resumes a connection for the sake of a response that has ended, and the next one must be read.
			this.resume();
		}

		if (!this.#isPersistent || this.#hasEnded || this.#hasNeedlessBytes) {
			this.#close();
		} else if (!this.#isClosed) {
			this.#options.onIdle(this);
		}
	}

	/** Closes a connection on which bytes have arrived while no request waits for a response. */
	#closeForNeedlessBytes(): void {
		if (!this.#isClosed) {
			this.#recordNeedlessBytes(needlessBytes.idle);
			this.#close();
		}
	}

	#recordNeedlessBytes(kind: NeedlessBytes): void {
		this.#hasNeedlessBytes = true;
		this.#options.onNeedlessBytes?.(kind);
	}

	#readKeepAlive(head: ResponseHead): void {
		const seconds = /timeout=(?<seconds>\d+)/v.exec(findHeader(head, 'keep-alive') ?? '')?.groups?.seconds;
		if (seconds !== undefined) {
			this.#idleMs = Math.max(0, (Number(seconds) * 1000) - idleMarginMs);
		}
	}

	#fail(reason: string): void {
		const exchange = this.#exchange;
		this.#exchange = undefined;
		this.#close();
		exchange?.onFailed(reason);
	}

	#close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#socket.destroy();
		this.#options.onClosed(this);
	}
}
