/** How long an entry waits for the reply to a poll: longer where replies have taken longer, up to a limit. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {RecentMaximum} from './recent-maximum.js';

/** Shortest and longest timeout in milliseconds of a poll with the default wait. */
const minTimeoutMs = 400;
const maxTimeoutMs = 1600;
/** Timeout as a multiple of the longest time that a reply has taken lately. */
const timeoutFactor = 2;
/** Time in milliseconds for which the time that a reply took counts. */
const windowMs = 5000;

/** Adapts the timeout to the replies. Each timeout in a row doubles it, whichever coordinator it was, since a slow entry or a slow link delays the replies of all. */
export class PollTimeout {
	readonly #replyTimes: RecentMaximum;
	/** Number of timeouts since the last reply. */
	#timeouts = 0;

	constructor(clock: Clock) {
		this.#replyTimes = new RecentMaximum(clock, windowMs);
	}

	/** Timeout of the next poll in milliseconds, without the time for which the coordinator waits for changes. */
	get currentMs(): number {
		const learnedMs = timeoutFactor * (this.#replyTimes.read() ?? 0);
		const doubledMs = minTimeoutMs * (2 ** this.#timeouts);
		return Math.min(maxTimeoutMs, Math.max(learnedMs, doubledMs));
	}

	/** Records a reply, and the time in milliseconds that it took. */
	recordReply(tookMs: number): void {
		this.#timeouts = 0;
		this.#replyTimes.add(tookMs);
	}

	/** Records that no reply came in time. */
	recordTimeout(): void {
		this.#timeouts += 1;
	}
}
