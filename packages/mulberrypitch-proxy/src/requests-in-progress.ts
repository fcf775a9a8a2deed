/** The callers' requests that an entry is working on. */
import type {ServerResponse} from 'node:http';
import {breakOff} from '@mulberrypitch/lifecycle/break-off';

/** A request that has arrived and has not ended. */
export type RequestInProgress = {
	/** Identifier that the caller gave the request; absent if it sent none. */
	readonly attemptId: string | undefined;
	/** Monotonic time in milliseconds at which the request arrived. */
	readonly arrivedAt: number;
	/** Name of its route; absent until the request has been read and admitted. */
	readonly route?: string;
};

/** Holds the requests in progress by their responses. */
export class RequestsInProgress {
	readonly #requests = new Map<ServerResponse, RequestInProgress>();

	/** Number of requests in progress. */
	get size(): number {
		return this.#requests.size;
	}

	/** Adds a request that has arrived. */
	add(response: ServerResponse, request: RequestInProgress): void {
		this.#requests.set(response, request);
	}

	/** Records the route of a request that has been read and admitted. */
	setRoute(response: ServerResponse, route: string): void {
		const request = this.#requests.get(response);
		if (request !== undefined) {
			this.#requests.set(response, {...request, route});
		}
	}

	/** Returns the arrival times of the requests of a route. */
	listArrivals(route: string): readonly number[] {
		return this.list().filter(request => request.route === route).map(({arrivedAt}) => arrivedAt);
	}

	/** Removes a request that has ended. */
	remove(response: ServerResponse): void {
		this.#requests.delete(response);
	}

	/** Returns the requests in progress. */
	list(): readonly RequestInProgress[] {
		return [...this.#requests.values()];
	}

	/** Closes the connections of all requests whose responses are not complete. */
	breakOff(): void {
		for (const response of this.#requests.keys()) {
			if (!response.writableEnded) {
				breakOff(response);
			}
		}
	}
}
