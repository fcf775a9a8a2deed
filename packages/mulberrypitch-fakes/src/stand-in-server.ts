/** The HTTP server that all stand-in back ends are built on. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {listenOn} from '@mulberrypitch/lifecycle/listen';

/** The address on which a stand-in listens. */
export type StandInAddress = {
	readonly host: string;
	/** Zero selects a free port. */
	readonly port: number;
};

/** An HTTP server that passes each request to a handler until it is disposed of. */
export class StandInServer implements Resource {
	readonly #address: StandInAddress;
	readonly #server: http.Server;

	constructor(address: StandInAddress, handleRequest: (request: IncomingMessage, response: ServerResponse) => Promise<void>) {
		this.#address = address;
		this.#server = http.createServer((request, response) => {
			void handleRequest(request, response);
		});
	}

	/** Starts to listen and returns the base address. */
	async listen(): Promise<string> {
		const {host, port} = this.#address;
		return `http://${host}:${await listenOn(this.#server, host, port)}`;
	}

	/** Closes all connections immediately, like a reclaimed machine. */
	dispose(): void {
		this.#server.closeAllConnections();
		this.#server.close();
	}
}

/**
Returns the body of a request as text.

@example
```
const text = await readText(request);
```
*/
export async function readText(request: IncomingMessage): Promise<string> {
	let text = '';
	for await (const part of request) {
		text += String(part);
	}

	return text;
}
