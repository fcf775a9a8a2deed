/**
 * The conditions under which one incarnation of a back end accepts requests, as it states them in its responses. Every send to a
 * back end depends on them, whatever it is for.
 */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {LimitShare} from '@mulberrypitch/serving/view-messages';
import type {BackendStatement} from './backend-statement.js';
import {SendPacer} from './send-pacer.js';

/** A limit that a back end stated, or that it stated none any more. */
export type LimitStatement = {
	/** Requests a second from all entries together; absent if the back end stated no limit. */
	readonly requestsPerSecond?: number;
	/** Monotonic time in milliseconds at which the statement held. */
	readonly statedAt: number;
};

/** Dependencies of the conditions. */
export type StatedConditionsOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Returns the number of entries in the deployment. */
	readonly getEntryCount: () => number;
};

/** Lowest limit in requests a second that is applied. Only responses to requests can tell that a limit has ended. */
const minRequestsPerSecond = 0.1;
/** Longest random time by which a pause is extended, so that entries don't return at one moment: as a share of the pause, and in milliseconds. */
const pauseSpreadShare = 0.2;
const maxPauseSpreadMs = 1000;

/** Keeps the newest statements of one incarnation of a back end, and this entry's part of what they allow. */
export class StatedConditions {
	readonly #options: StatedConditionsOptions;
	readonly #pacer: SendPacer;
	/** The newest statement in a response to this entry; absent if there was no limit in any. */
	#ownLimit: LimitStatement | undefined;
	/** The newest statement in a response to any entry, as last reported by the coordinators. */
	#sharedLimit: LimitStatement | undefined;
	/** This entry's part of the limit, as last reported by the coordinators. */
	#part: number | undefined;
	/** The newest statement of how many rejections the back end bears; absent if it states none now. */
	#bearable: {readonly rejectionsPerSecond: number; readonly statedAt: number} | undefined;
	#isLeaving = false;
	/** Monotonic time in milliseconds at which the pause that the back end asked for ends. */
	#pausedUntil = Number.NEGATIVE_INFINITY;

	constructor(options: StatedConditionsOptions) {
		this.#options = options;
		this.#pacer = new SendPacer(options.clock, options.random);
	}

	/** The newest statement in a response to this entry; absent if the back end never stated a limit to it. */
	get ownLimit(): LimitStatement | undefined {
		return this.#ownLimit;
	}

	/** Whether the back end has stated that it leaves, which no later statement takes back. */
	get isLeaving(): boolean {
		return this.#isLeaving;
	}

	/** Requests a second that the back end accepts from all entries together; absent if it states no limit now. */
	get requestsPerSecond(): number | undefined {
		return getNewer(this.#ownLimit, this.#sharedLimit)?.requestsPerSecond;
	}

	/** Rejections a second, of all entries together, that the back end bears; absent if it states none now. */
	get rejectionsPerSecond(): number | undefined {
		return this.#bearable?.rejectionsPerSecond;
	}

	/** Time in milliseconds until the pause that the back end asked for ends; zero if there is none. */
	get pauseMs(): number {
		return Math.max(0, this.#pausedUntil - this.#options.clock.now());
	}

	/** Time in milliseconds until this entry may send a request; zero if it may now, infinite if it has no part of the limit. */
	get waitMs(): number {
		return Math.max(this.pauseMs, this.#pacer.waitMs);
	}

	/** Records a send, which uses up a part of the limit. */
	recordSend(): void {
		this.#pacer.recordSend();
	}

	/** Records the statements of a response to a request that was sent at `sentAt`. Returns whether they change the limit. */
	record({isLeaving, pauseMs, requestsPerSecond, rejectionsPerSecond, unreadableLimit}: BackendStatement, sentAt: number): boolean {
		this.#isLeaving ||= isLeaving;
		if (rejectionsPerSecond !== undefined) {
			this.#bearable = {rejectionsPerSecond, statedAt: this.#options.clock.now()};
		} else if (this.#bearable !== undefined && sentAt > this.#bearable.statedAt) {
			this.#bearable = undefined;
		}

		if (pauseMs !== undefined) {
			this.#pause(pauseMs);
		}

		if (unreadableLimit !== undefined) {
			return false;
		}

		const before = this.requestsPerSecond;
		if (requestsPerSecond !== undefined) {
			this.#ownLimit = {requestsPerSecond, statedAt: this.#options.clock.now()};
		} else if (before !== undefined) {
			// A response to an earlier request may have been made before the limit was stated.
			this.#ownLimit = getNewer(this.#ownLimit, {statedAt: sentAt});
		}

		this.#updateRate();
		return this.requestsPerSecond !== before;
	}

	/** Applies what the coordinators know of the limit, and this entry's part of it; `undefined` if they know of none. */
	applyShare(share: LimitShare | undefined): void {
		this.#part = share?.part;
		this.#sharedLimit = share && {
			...(share.requestsPerSecond !== undefined && {requestsPerSecond: share.requestsPerSecond}),
			statedAt: this.#options.clock.now() - share.ageMs,
		};
		this.#updateRate();
	}

	#pause(durationMs: number): void {
		const {clock, random} = this.#options;
		const spreadMs = random.next() * Math.min(maxPauseSpreadMs, durationMs * pauseSpreadShare);
		this.#pausedUntil = Math.max(this.#pausedUntil, clock.now() + durationMs + spreadMs);
	}

	#updateRate(): void {
		const limit = this.requestsPerSecond;
		const part = this.#part ?? 1 / this.#options.getEntryCount();
		this.#pacer.setRate(limit === undefined ? Number.POSITIVE_INFINITY : Math.max(minRequestsPerSecond, limit) * part);
	}
}

/** Returns the statement that held later, and of two at the same time the one with a limit. */
function getNewer(first: LimitStatement | undefined, second: LimitStatement | undefined): LimitStatement | undefined {
	if (first === undefined || second === undefined) {
		return first ?? second;
	}

	if (first.statedAt === second.statedAt) {
		return first.requestsPerSecond === undefined ? second : first;
	}

	return first.statedAt > second.statedAt ? first : second;
}
