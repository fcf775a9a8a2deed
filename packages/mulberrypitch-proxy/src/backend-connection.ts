/** One connection to a back end, with one request at a time. */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {PeerUnreachableError, ProtocolError} from '@mulberrypitch/errors/catalogue';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {splitAddress} from '@mulberrypitch/lifecycle/listen';
import {ResponseParser, type ResponseHead} from './answer-parser.js';

/** Takes the answer to one request. Exactly one of `onEnd` and `onBroken` is called, and nothing after it. */
export type Exchange = {
	/** Identifies the answer among late ones to earlier requests. */
	readonly attemptId: string | undefined;
	readonly isHead: boolean;
	onHead(head: ResponseHead): void;
	onBody(data: Uint8Array): void;
	onEnd(): void;
	onFailed(reason: string): void;
};

export type ConnectionOptions = {
	readonly address: string;
	readonly connectTimeoutMs: number;
	/** Header in which back ends name the request that they answer, in lower case. */
	readonly attemptHeader: string;
	/** Called once when the connection can't be used any more. */
	readonly onClosed: (connection: BackendConnection) => void;
	/** Called when an exchange has ended and another one may follow. */
	readonly onIdle: (connection: BackendConnection) => void;
	readonly now: () => number;
};

const readBufferBytes = 64 * 1024;
/** Shared by all connections: what is read is taken before the next read. */
const readBuffer = Buffer.alloc(readBufferBytes);
/** Idle time after which a connection is closed unless the back end states its own. */
const defaultIdleMs = 4000;
/** Margin by which a stated idle time is kept. */
const idleMarginMs = 700;

/** Opened for good by `open`; closed by `destroy`, by the back end, or by an answer that can't be read. */
export class BackendConnection {
	/** Connects. Throws `PeerUnreachableError`; nothing was sent then. */
	static async open(options: ConnectionOptions): Promise<BackendConnection> {
		const {host, port} = splitAddress(options.address);
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
	#isSkipping = false;
	#isPaused = false;
	#isPersistent = true;
	#isClosed = false;
	#hasEnded = false;
	#idleMs = defaultIdleMs;
	#idleSince: number;

	private constructor(socket: net.Socket, options: ConnectionOptions) {
		this.#socket = socket;
		this.#options = options;
		this.#idleSince = options.now();
		this.#parser = new ResponseParser({
			onHead: head => {
				this.#onHead(head);
			},
			onBody: data => {
				if (!this.#isSkipping) {
					this.#exchange!.onBody(data);
				}
			},
			onEnd: () => {
				this.#onEnd();
			},
		}, () => this.#exchange?.isHead === true);
		socket.on('end', () => {
			this.#hasEnded = true;
			this.#parser.finish();
			this.#fail('the back end closed the connection');
		});
		socket.on('error', error => {
			this.#fail(getMessage(error));
		});
		socket.on('close', () => {
			this.#fail('the connection was closed');
		});
		socket.resume();
	}

	/** How long an idle connection may be used again. */
	get isReusable(): boolean {
		return !this.#isClosed && this.#exchange === undefined && this.#isPersistent && this.idleMs < this.#idleMs;
	}

	/** Time since the last exchange in milliseconds. */
	get idleMs(): number {
		return this.#options.now() - this.#idleSince;
	}

	/** Sends a request. The connection must be idle. */
	send(head: string, body: Uint8Array | undefined, exchange: Exchange): void {
		this.#exchange = exchange;
		this.#socket.cork();
		this.#socket.write(head, 'latin1');
		if (body !== undefined && body.length > 0) {
			this.#socket.write(body);
		}

		this.#socket.uncork();
	}

	/** Stops reading until `resume`. */
	pause(): void {
		this.#isPaused = true;
		this.#socket.pause();
	}

	resume(): void {
		this.#isPaused = false;
		this.#socket.resume();
	}

	/** Closes the connection; an exchange in progress is not told. */
	destroy(): void {
		this.#exchange = undefined;
		this.#close();
	}

	/** Takes bytes; tells whether to go on reading at once. */
	#onData(data: Uint8Array): boolean {
		try {
			this.#parser.push(data);
		} catch (error) {
			if (!(error instanceof ProtocolError)) {
				throw error;
			}

			this.#fail(error.message);
		}

		return !this.#parser.lastsUntilClose || this.#resumeLater();
	}

	/**
	Lets the end of the connection be read by itself. When a reset is seen together with the last bytes, libuv reports an
	orderly end instead, and a cut answer would look whole.
	*/
	#resumeLater(): false {
		setImmediate(() => {
			if (!this.#isPaused && !this.#isClosed) {
				this.#socket.resume();
			}
		});
		return false;
	}

	#onHead(head: ResponseHead): void {
		if (this.#exchange === undefined) {
			throw new ProtocolError('An answer came without a request.');
		}

		this.#isPersistent = head.isPersistent;
		const answered = findHeader(head, this.#options.attemptHeader);
		this.#isSkipping = answered !== undefined && this.#exchange.attemptId !== undefined && answered !== this.#exchange.attemptId;
		if (!this.#isSkipping) {
			this.#readKeepAlive(head);
			this.#exchange.onHead(head);
		}
	}

	#onEnd(): void {
		if (this.#isSkipping) {
			this.#isSkipping = false;
			return;
		}

		const exchange = this.#exchange;
		this.#exchange = undefined;
		this.#idleSince = this.#options.now();
		exchange?.onEnd();
		if (!this.#isPersistent || this.#hasEnded) {
			this.#close();
		} else if (!this.#isClosed) {
			this.#options.onIdle(this);
		}
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

/**
Gives the value of the first header with a name in lower case.

@example
```
const id = findHeader(head, 'x-request-id');
```
*/
export function findHeader({headers}: ResponseHead, name: string): string | undefined {
	return headers.find(header => header.name.toLowerCase() === name)?.value;
}
