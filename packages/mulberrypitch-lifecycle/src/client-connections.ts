/** Limits the connections of an HTTP server and the requests on them, and closes those that hold most or did nothing for longest. */
import type http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ClientLimits} from './client-limits.js';

/** Handles a request. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Holds the connections of a server. */
export class ClientConnections {
	readonly #limits: ClientLimits;
	/** Number of requests in progress by connection; those without any come first, the one that has been so for longest at the front. */
	readonly #requests = new Map<Socket, number>();
	#requestCount = 0;

	constructor(limits: ClientLimits) {
		this.#limits = limits;
	}

	/** Number of open connections. */
	get size(): number {
		return this.#requests.size;
	}

	/** Limits the connections that a server accepts from now on. */
	watch(server: http.Server): void {
		server.on('connection', (socket: Socket) => {
			this.#makeRoom();
			this.#requests.set(socket, 0);
			socket.once('close', () => {
				this.#requests.delete(socket);
			});
		});
	}

	/**
	Returns a handler that passes on the requests within the limits. It answers those without a `Host` header itself, which the server must not require: Node.js
	answers them without asking anybody, however many there are on a connection.
	*/
	limit(handle: RequestHandler): RequestHandler {
		return (request, response) => {
			if (!this.#admit(request.socket, response)) {
				return;
			}

			if (request.headers.host === undefined && request.httpVersion === '1.1') {
				// eslint-disable-next-line @typescript-eslint/naming-convention -- Header.
				response.writeHead(400, {Connection: 'close'}).end();
				return;
			}

			handle(request, response);
		};
	}

	/** Closes all connections at once. */
	closeAll(): void {
		for (const socket of this.#requests.keys()) {
			socket.destroy();
		}
	}

	/** Counts a request until its end. Returns whether it may be handled: those that follow on a connection that is being closed may not. */
	#admit(socket: Socket, response: ServerResponse): boolean {
		if (socket.destroyed) {
			return false;
		}

		const count = (this.#requests.get(socket) ?? 0) + 1;
		if (count > this.#limits.maxRequestsPerConnection) {
			socket.destroy();
			return false;
		}

		this.#requests.set(socket, count);
		this.#requestCount += 1;
		response.once('close', () => {
			this.#end(socket);
		});
		if (this.#requestCount > this.#limits.maxRequests) {
			this.#closeBusiest();
		}

		return !socket.destroyed;
	}

	#end(socket: Socket): void {
		this.#requestCount -= 1;
		const count = this.#requests.get(socket);
		if (count === undefined) {
			return;
		}

		if (count === 1) {
			// The connection goes behind those that have been idle for longer.
			this.#requests.delete(socket);
		}

		this.#requests.set(socket, count - 1);
	}

	/** Closes the connection that has been without a request for longest, or else the oldest one, so that another one can be accepted. */
	#makeRoom(): void {
		if (this.#requests.size < this.#limits.maxConnections) {
			return;
		}

		const sockets = [...this.#requests.keys()];
		const longestIdle = sockets.find(socket => this.#requests.get(socket) === 0) ?? sockets[0];
		longestIdle?.destroy();
	}

	/** Closes the connection with most requests. */
	#closeBusiest(): void {
		const most = Math.max(...this.#requests.values());
		const busiest = [...this.#requests.keys()].find(socket => this.#requests.get(socket) === most);
		busiest?.destroy();
	}
}
