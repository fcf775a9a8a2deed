/** A stand-in plain service that answers every request, for example a booking or a look-up, and records it. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {readText, StandInServer, type StandInAddress} from './stand-in-server.js';

/** Address and timing of a stand-in service. */
export type PlainServerOptions = StandInAddress & {
	/** Time that each call takes, in milliseconds. */
	readonly answerMs: number;
	readonly clock: Clock;
};

/** A request that the service received. */
export type ServedCall = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
};

/** Serves plain requests over HTTP. */
export class PlainServer implements Resource {
	readonly #options: PlainServerOptions;
	readonly #server: StandInServer;
	readonly #calls: ServedCall[] = [];

	constructor(options: PlainServerOptions) {
		this.#options = options;
		this.#server = new StandInServer(options, async (request, response) => this.#handleRequest(request, response));
	}

	/** All requests received so far, oldest first. */
	get calls(): readonly ServedCall[] {
		return this.#calls;
	}

	/** Starts to listen and returns the base address. */
	async listen(): Promise<string> {
		return this.#server.listen();
	}

	/** Closes all connections immediately, like a reclaimed machine. */
	dispose(): void {
		this.#server.dispose();
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readText(request);
		const call = {
			requestId: String(request.headers['x-request-id']), method: request.method!, path: request.url!, body,
		};
		this.#calls.push(call);
		await this.#options.clock.sleep(this.#options.answerMs);
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify({number: this.#calls.indexOf(call) + 1, path: call.path}));
	}
}
