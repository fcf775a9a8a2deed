/** Calls between processes as JSON-RPC 2.0 over persistent TCP or TLS connections, with one JSON text per line. */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import net from 'node:net';
import tls from 'node:tls';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {JSONRPCServer, type JSONRPCRequest} from 'json-rpc-2.0';
import {CodedError, type WireFailure} from '@mulberrypitch/errors/coded-error';
import {codes, PeerUnreachableError, ProtocolError} from '@mulberrypitch/errors/catalogue';
import {SystemClock, type Clock} from '@mulberrypitch/lifecycle/clock';
import {listenOn, splitAddress} from '@mulberrypitch/lifecycle/listen';
import {withTimeout} from '@mulberrypitch/lifecycle/with-timeout';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {createCheckedMethod} from './checked-method.js';
import {Connection, jsonRpcServerError} from './connection.js';
import {HandshakeGuard} from './handshake-guard.js';
import {
	createLineReader, parseLine, waitForReader, writeLine,
} from './line-stream.js';
import type {
	Address, CallOptions, Method, Schema, Transport,
} from './types.js';

const defaultConnectTimeoutMs = 1000;
const nonceBytes = 16;

/** Private key and certificate of this process, and the authority that it trusts, as PEM texts. */
export type Certificates = {
	readonly key: string;
	readonly cert: string;
	readonly ca: string;
};

/** Address and credentials of a `TcpTransport`. */
export type TcpTransportOptions = {
	/** Name of this process, which peers get as the caller of its calls. */
	readonly name: string;
	readonly listen: {readonly host: string; readonly port: number};
	/** Secret that all processes share. Each end of a connection proves that it knows the secret. */
	readonly secret: string;
	/** Enables mutual TLS. Without certificates, connections are plain TCP. */
	readonly certificates?: Certificates;
	readonly connectTimeoutMs?: number;
	/** Clock of the timeouts of connecting; the system's clock if absent. */
	readonly clock?: Clock;
	readonly logger: Logger;
};

/**
Calls over TCP or TLS. One connection to each peer carries all calls to it. When a connection is lost, the calls on it fail
with `PeerUnreachableError`, and the next call opens a new one.
*/
export class TcpTransport implements Transport {
	readonly #options: TcpTransportOptions;
	readonly #clock: Clock;
	readonly #server = new JSONRPCServer<string>({
		errorListener() {
		// The calling peer gets each failure in the reply and logs it.
		},
	});

	readonly #connections = new Map<Address, Promise<Connection>>();
	readonly #sockets = new Set<net.Socket>();
	readonly #methods = new Set<string>();
	#listener: net.Server | undefined;

	constructor(options: TcpTransportOptions) {
		this.#options = options;
		this.#clock = options.clock ?? new SystemClock();
		this.#server.mapErrorToJSONRPCErrorResponse = (id, error) => ({
			jsonrpc: '2.0',
			id,
			error: {
				code: jsonRpcServerError,
				message: error instanceof Error ? error.message : 'Unknown failure.',
				data: toWire(error),
			},
		});
	}

	/** Starts to listen. Resolves with the port number, which the system chooses when the option is 0. */
	async listen(): Promise<number> {
		const {certificates, listen} = this.#options;
		const accept = (socket: net.Socket) => {
			void this.#serveConnection(socket);
		};

		this.#listener = certificates === undefined
			? net.createServer(accept)
			: tls.createServer({...certificates, requestCert: true, rejectUnauthorized: true}, accept);
		this.#listener.on('tlsClientError', (error: Error, socket: tls.TLSSocket) => {
			this.#options.logger.log(events.peerCertificateRefused, {peer: socket.remoteAddress, reason: error.message});
		});
		return listenOn(this.#listener, listen.host, listen.port);
	}

	handle<Parameters>(method: string, schema: Schema<Parameters>, handler: Method<Parameters>): void {
		if (this.#methods.has(method)) {
			throw new ProtocolError(`Method ${method} is registered twice.`);
		}

		this.#methods.add(method);
		this.#server.addMethod(method, createCheckedMethod(method, schema, handler));
	}

	/** Calls a method of a peer. The timeout includes the time that connecting takes. */
	async call<Reply>(address: Address, method: string, parameters: unknown, {timeoutMs}: CallOptions): Promise<Reply> {
		const startedAt = this.#clock.now();
		const connection = await withTimeout(this.#clock, this.#connect(address), timeoutMs, () => new PeerUnreachableError(address));
		const leftMs = Math.max(0, startedAt + timeoutMs - this.#clock.now());
		return assumeType<Reply>(await connection.request(method, parameters, leftMs));
	}

	async dispose(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#connections.clear();
		const listener = this.#listener;
		if (listener !== undefined) {
			await new Promise<void>(resolve => {
				listener.close(() => {
					resolve();
				});
			});
		}
	}

	async #connect(address: Address): Promise<Connection> {
		const existing = this.#connections.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const opening = this.#openConnection(address);
		this.#connections.set(address, opening);
		try {
			return await opening;
		} catch (error) {
			this.#connections.delete(address);
			throw error;
		}
	}

	async #openConnection(address: Address): Promise<Connection> {
		const socket = await this.#openSocket(address);
		this.#trackSocket(socket);
		const lines = createLineReader(socket);
		const connection = new Connection(address, socket);
		socket.once('close', () => {
			this.#connections.delete(address);
			connection.failCalls();
		});
		const reader = lines[Symbol.asyncIterator]();
		const guard = new HandshakeGuard(socket, this.#clock);
		try {
			await this.#authenticateToServer(address, socket, reader);
		} catch (error) {
			socket.destroy();
			throw error instanceof CodedError ? error : new PeerUnreachableError(address, {cause: error});
		} finally {
			guard.dispose();
		}

		void connection.readReplies(reader);
		return connection;
	}

	async #openSocket(address: Address): Promise<net.Socket> {
		const {host, port} = splitAddress(address);
		const {certificates} = this.#options;
		const socket = certificates === undefined
			? net.connect({host, port, noDelay: true})
			: tls.connect({
				host, port, ...certificates, checkServerIdentity: () => undefined,
			});
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				socket.destroy();
				reject(new PeerUnreachableError(address));
			}, this.#options.connectTimeoutMs ?? defaultConnectTimeoutMs);
			socket.once('error', error => {
				clearTimeout(timer);
				reject(new PeerUnreachableError(address, {cause: error}));
			});
			socket.once(certificates === undefined ? 'connect' : 'secureConnect', () => {
				clearTimeout(timer);
				socket.setNoDelay(true);
				resolve(socket);
			});
		});
	}

	async #authenticateToServer(address: Address, socket: net.Socket, reader: AsyncIterator<string>): Promise<void> {
		const nonce = randomBytes(nonceBytes).toString('hex');
		writeLine(socket, {name: this.#options.name, nonce});
		const reply = await readHandshake(address, reader);
		const proof = this.#createProof('server', nonce, reply.nonce);
		if (!isEqualProof(proof, reply.proof)) {
			this.#options.logger.log(events.peerRefused, {peer: address});
			throw new ProtocolError('The peer does not hold the shared secret.');
		}

		writeLine(socket, {proof: this.#createProof('client', nonce, reply.nonce)});
	}

	async #serveConnection(socket: net.Socket): Promise<void> {
		this.#trackSocket(socket);
		socket.setNoDelay(true);
		const reader = createLineReader(socket)[Symbol.asyncIterator]();
		const guard = new HandshakeGuard(socket, this.#clock);
		try {
			const from = await this.#authenticateClient(socket, reader);
			guard.dispose();
			for (let line = await reader.next(); !line.done; line = await reader.next()) {
				void this.#answer(socket, parseLine<JSONRPCRequest>(line.value), from);
				await waitForReader(socket);
			}
		} catch (error) {
			this.#logProtocolError(socket, error);
		}

		guard.dispose();
		socket.destroy();
	}

	async #authenticateClient(socket: net.Socket, reader: AsyncIterator<string>): Promise<string> {
		const peer = socket.remoteAddress ?? '';
		const hello = await readHandshake(peer, reader);
		const nonce = randomBytes(nonceBytes).toString('hex');
		writeLine(socket, {nonce, proof: this.#createProof('server', hello.nonce, nonce)});
		const reply = await readHandshake(peer, reader);
		if (!isEqualProof(this.#createProof('client', hello.nonce, nonce), reply.proof)) {
			this.#options.logger.log(events.peerRefused, {peer, name: hello.name});
			throw new ProtocolError('The peer does not hold the shared secret.');
		}

		return hello.name;
	}

	async #answer(socket: net.Socket, request: JSONRPCRequest, from: string): Promise<void> {
		try {
			const response = await this.#server.receive(request, from);
			if (response !== null && !socket.destroyed) {
				writeLine(socket, response);
			}
		} catch (error) {
			this.#logProtocolError(socket, error);
			socket.destroy();
		}
	}

	#logProtocolError(socket: net.Socket, error: unknown): void {
		this.#options.logger.log(events.peerProtocol, {
			peer: socket.remoteAddress, reason: error instanceof Error ? error.message : undefined,
		});
	}

	#createProof(role: string, clientNonce: string, serverNonce: string): string {
		return createHmac('sha256', this.#options.secret).update(`${role}:${clientNonce}:${serverNonce}`).digest('hex');
	}

	#trackSocket(socket: net.Socket): void {
		this.#sockets.add(socket);
		socket.on('error', () => {
			// A close event follows, and its handlers clean up the connection.
		});
		socket.once('close', () => {
			this.#sockets.delete(socket);
		});
	}
}

type Handshake = {
	readonly name: string;
	readonly nonce: string;
	readonly proof: string;
};

async function readHandshake(peer: Address, reader: AsyncIterator<string>): Promise<Handshake> {
	const line = await reader.next();
	if (line.done) {
		throw new PeerUnreachableError(peer);
	}

	const message = parseLine<Partial<Handshake>>(line.value);
	return {name: String(message.name ?? ''), nonce: String(message.nonce ?? ''), proof: String(message.proof ?? '')};
}

function isEqualProof(expected: string, received: string): boolean {
	const left = Buffer.from(expected);
	const right = Buffer.from(received);
	return left.length === right.length && timingSafeEqual(left, right);
}

function toWire(error: unknown): WireFailure {
	if (error instanceof CodedError) {
		return error.toWire();
	}

	return {
		code: codes.internal, message: error instanceof Error ? error.message : 'Unknown failure.', nextStep: 'Report this as a bug, with the log of the host.', details: {},
	};
}
