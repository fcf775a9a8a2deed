/** Accepts connections before the server that handles them exists, so that callers aren't refused while a program loads. */
import type http from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {assumeType} from '@mulberrypitch/errors/assume-type';

/** Listens on an address and keeps the connections, of which nothing is read, until a server takes them over. */
export class EarlyListener {
	readonly #server = net.createServer({allowHalfOpen: true, noDelay: true, pauseOnConnect: true});
	readonly #waiting = new Set<Socket>();

	constructor() {
		this.#server.on('connection', socket => {
			this.#waiting.add(socket);
			socket.on('error', () => {
				// A close event follows.
			});
			socket.once('close', () => {
				this.#waiting.delete(socket);
			});
		});
	}

	/** Number of connections that wait for a server. */
	get waiting(): number {
		return this.#waiting.size;
	}

	/** Starts to listen. Rejects with the error of the system when the address can't be used. */
	async listen(host: string, port: number): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, () => {
				this.#server.off('error', reject);
				resolve();
			});
		});
	}

	/**
	Makes an HTTP server listen in place of this one, which gives it the waiting connections, too. Resolves with the port in use.

	@example
	```
	const port = await listener.handOver(server);
	```
	*/
	async handOver(server: http.Server): Promise<number> {
		return new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(this.#server, () => {
				server.off('error', reject);
				for (const socket of this.#waiting) {
					server.emit('connection', socket);
					socket.resume();
				}

				this.#waiting.clear();
				resolve(assumeType<AddressInfo>(server.address()).port);
			});
		});
	}
}
