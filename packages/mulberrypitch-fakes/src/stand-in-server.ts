/** What all stand-in back ends share: they listen, read bodies, and die at once. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {listenOn} from '@mulberrypitch/lifecycle/listen';

/** Where a stand-in listens. */
export type StandInAddress = {
	readonly host: string;
	/** Zero takes any free port. */
	readonly port: number;
};

/** Serves until it is disposed of. */
export class StandInServer implements Resource {
	readonly #address: StandInAddress;
	readonly #server: http.Server;

	constructor(address: StandInAddress, answer: (request: IncomingMessage, response: ServerResponse) => Promise<void>) {
		this.#address = address;
		this.#server = http.createServer((request, response) => {
			void answer(request, response);
		});
	}

	/** Starts to listen. Resolves with the base address. */
	async listen(): Promise<string> {
		const {host, port} = this.#address;
		return `http://${host}:${await listenOn(this.#server, host, port)}`;
	}

	/** Dies at once, as a reclaimed machine does. */
	dispose(): void {
		this.#server.closeAllConnections();
		this.#server.close();
	}
}

/**
Reads the body of a request.

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
