/** A stand-in plain service that takes bookings and answers look-ups, and counts what it ran. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {readText, StandInServer, type StandInAddress} from './stand-in-server.js';

/** How a stand-in service behaves. */
export type PlainServerOptions = StandInAddress & {
	/** Time that each call takes, in milliseconds. */
	readonly answerMs: number;
	readonly clock: Clock;
};

/** One call that the service ran. */
export type ServedCall = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
};

/** Serves plain calls. */
export class PlainServer implements Resource {
	readonly #options: PlainServerOptions;
	readonly #server: StandInServer;
	readonly #calls: ServedCall[] = [];

	constructor(options: PlainServerOptions) {
		this.#options = options;
		this.#server = new StandInServer(options, async (request, response) => this.#answer(request, response));
	}

	/** All calls run so far, in order. */
	get calls(): readonly ServedCall[] {
		return this.#calls;
	}

	/** Starts to listen. Resolves with the base address. */
	async listen(): Promise<string> {
		return this.#server.listen();
	}

	/** Dies at once. */
	dispose(): void {
		this.#server.dispose();
	}

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
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
