/** Limits what a peer may send, and how long it may take, before it has proved that it knows the secret. */
import type net from 'node:net';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';

/** Time in milliseconds within which both peers must have proved that they know the secret. */
const handshakeTimeoutMs = 2000;
/** Number of bytes that a peer may send before; the first calls may follow a proof at once. */
const maxHandshakeBytes = 256 * 1024;

/** Closes a socket whose handshake takes too long or is too large, until it is disposed of. */
export class HandshakeGuard implements Resource {
	readonly #socket: net.Socket;
	readonly #timer = new AbortController();
	#receivedBytes = 0;

	constructor(socket: net.Socket, clock: Clock) {
		this.#socket = socket;
		socket.on('data', this.#count);
		void this.#closeLate(clock);
	}

	/** Ends the limits, since the handshake has ended. */
	dispose(): void {
		this.#socket.off('data', this.#count);
		this.#timer.abort();
	}

	readonly #count = (data: Uint8Array) => {
		this.#receivedBytes += data.length;
		if (this.#receivedBytes > maxHandshakeBytes) {
			this.#socket.destroy();
		}
	};

	async #closeLate(clock: Clock): Promise<void> {
		await clock.sleep(handshakeTimeoutMs, this.#timer.signal);
		if (!this.#timer.signal.aborted) {
			this.#socket.destroy();
		}
	}
}
