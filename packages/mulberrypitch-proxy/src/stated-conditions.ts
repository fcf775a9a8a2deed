/** The conditions under which one incarnation of a back end accepts requests, as it states them in its responses. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {BackendStatement} from './backend-statement.js';

/** A limit that a back end stated, or that it stated none any more. */
export type LimitStatement = {
	/** Requests a second from all entries together; absent if the back end stated no limit. */
	readonly requestsPerSecond?: number;
	/** Monotonic time in milliseconds at which the statement held. */
	readonly statedAt: number;
};

/** Keeps the newest statements of one incarnation of a back end. */
export class StatedConditions {
	readonly #clock: Clock;
	#limit: LimitStatement | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** The newest statement of a limit; absent if the back end never stated one. */
	get limit(): LimitStatement | undefined {
		return this.#limit;
	}

	/** Records the statements of a response to a request that was sent at `sentAt`. Returns whether they change the limit. */
	record({requestsPerSecond, unreadableLimit}: BackendStatement, sentAt: number): boolean {
		if (unreadableLimit !== undefined) {
			return false;
		}

		const before = this.#limit?.requestsPerSecond;
		if (requestsPerSecond !== undefined) {
			this.#limit = {requestsPerSecond, statedAt: this.#clock.now()};
		} else if (this.#limit !== undefined && sentAt > this.#limit.statedAt) {
			// A response to an earlier request may have been made before the limit was stated.
			this.#limit = {statedAt: sentAt};
		}

		return this.#limit?.requestsPerSecond !== before;
	}
}
