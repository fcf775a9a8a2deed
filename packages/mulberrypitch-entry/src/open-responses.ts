/** Tracks the answers that callers have not received whole, so that a planned stop can wait for them. */
import type {ServerResponse} from 'node:http';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Time in milliseconds after which a caller who receives none of the data that waits for it is no longer waited for. */
const maxStallMs = 10_000;

/** Progress of a response: the data that the operating system has taken, and since when. */
type Progress = {
	/** Number of bytes of the connection that the operating system has taken. */
	readonly sentBytes: number;
	/** Monotonic time in milliseconds at which that number last grew, or at which no data waited. */
	readonly progressAt: number;
};

/**
Tracks responses from when their request was accepted until all their data was sent or their connection closed.

@example
```
const responses = new OpenResponses(clock);
responses.add(response);
```
*/
export class OpenResponses {
	readonly #clock: Clock;
	readonly #responses = new Map<ServerResponse, Progress>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of tracked responses, whether their callers receive or not. */
	get size(): number {
		return this.#responses.size;
	}

	/** Tracks a response until it closes, unless its connection has closed already. */
	add(response: ServerResponse): void {
		if (response.req.socket.destroyed) {
			return;
		}

		this.#responses.set(response, {sentBytes: 0, progressAt: this.#clock.now()});
		response.once('close', () => {
			this.#responses.delete(response);
		});
	}

	/** Returns the number of open responses, without those whose callers have stopped receiving. Has to be called repeatedly to notice these. */
	countReceiving(): number {
		for (const [response, progress] of this.#responses) {
			this.#responses.set(response, this.#measure(response, progress));
		}

		const stalledBefore = this.#clock.now() - maxStallMs;
		return [...this.#responses].filter(([response, {progressAt}]) => !response.req.socket.destroyed && progressAt > stalledBefore).length;
	}

	#measure({req}: ServerResponse, progress: Progress): Progress {
		const {bytesWritten, writableLength} = req.socket;
		const sentBytes = bytesWritten - writableLength;
		const isStalled = writableLength > 0 && sentBytes === progress.sentBytes;
		return isStalled ? progress : {sentBytes, progressAt: this.#clock.now()};
	}
}
