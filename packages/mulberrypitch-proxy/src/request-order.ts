/** Handles the requests that a caller sends together on one connection one after another. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Knows the last request of each connection. */
export class RequestOrder {
	readonly #last = new WeakMap<Socket, ServerResponse>();

	/**
	Resolves when the requests that came before on the same connection have been answered, with whether the connection can take another
	response.
	*/
	async waitForTurn(response: ServerResponse): Promise<boolean> {
		const {socket} = response.req;
		const previous = this.#last.get(socket);
		this.#last.set(socket, response);
		if (previous !== undefined && !previous.writableFinished) {
			await waitForEnd(previous, socket);
		}

		return socket.writable;
	}

	/** Reports whether no request has come behind this one on its connection. */
	isLast(response: ServerResponse): boolean {
		return this.#last.get(response.req.socket) === response;
	}
}

/** Resolves when a response has been sent or its connection is closed. */
async function waitForEnd(response: ServerResponse, socket: Socket): Promise<void> {
	await new Promise<void>(resolve => {
		const end = () => {
			response.removeListener('finish', end);
			socket.removeListener('close', end);
			resolve();
		};

		response.once('finish', end);
		socket.once('close', end);
		if (socket.destroyed) {
			end();
		}
	});
}
