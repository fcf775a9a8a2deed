/**
 * Knows where streams began, at this entry or at others. The coordinators pass on to all entries what each one reports, so that a
 * caller can take its stream up again at any of them.
 */
import {Notification} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {OriginTable} from '@mulberrypitch/serving/origin-table';
import type {OriginChanges, OriginReport, StreamOrigin} from '@mulberrypitch/serving/view-messages';
import {OriginExchange} from './origin-exchange.js';

/** Keeps the origins of streams, and lets requests wait for one that is not known yet. */
export class StreamOrigins {
	readonly #clock: Clock;
	readonly #onUrgent: () => void;
	readonly #table: OriginTable;
	readonly #changes = new Notification();
	readonly #exchange: OriginExchange;
	/** Number of reports so far, and the last one to which a coordinator in contact with a leader has replied. */
	#reports = 0;
	#answeredReport = 0;
	/** Number of requests that wait for a reply. */
	#awaitedReplies = 0;

	/** `onUrgent` is called when the next exchange with a coordinator should not wait: an origin is to be told, or a request waits for one. */
	constructor(clock: Clock, onUrgent: () => void) {
		this.#clock = clock;
		this.#onUrgent = onUrgent;
		this.#table = new OriginTable(clock);
		this.#exchange = new OriginExchange(clock, this.#table);
	}

	/** Whether a request waits to be told where its stream began. */
	get isAwaited(): boolean {
		return this.#changes.waiting > 0;
	}

	/** Whether a request waits for any reply, so that a coordinator should not wait for changes first. */
	get isReplyAwaited(): boolean {
		return this.#awaitedReplies > 0;
	}

	/** Number of streams of which the entry was told where they began. */
	get count(): number {
		return this.#table.size;
	}

	/** Records where a stream of this entry began. */
	record(attemptId: string, origin: StreamOrigin): void {
		this.#table.add(attemptId, origin);
		this.#exchange.addOwn(attemptId, origin);
		this.#onUrgent();
	}

	/** Returns the origin of the stream that an attempt began, or `undefined` if it is not known. */
	getOrigin(attemptId: string | undefined): StreamOrigin | undefined {
		return attemptId === undefined ? undefined : this.#table.getOrigin(attemptId);
	}

	/** Resolves with the origin of the stream that an attempt began, for which it waits, or with `undefined` if it does not become known. */
	async waitForOrigin(attemptId: string, maxWaitMs: number): Promise<StreamOrigin | undefined> {
		await this.#waitUntil(() => this.getOrigin(attemptId) !== undefined, maxWaitMs);
		return this.getOrigin(attemptId);
	}

	/**
	Waits until a coordinator has replied to a report that is made after the call, or until it is known where the attempt began its stream. Resolves
	with whether such a reply came: without it, what the entry knows may be of any age, since its process may have been suspended.
	*/
	async waitForReply(attemptId: string | undefined, maxWaitMs: number): Promise<boolean> {
		const neededReport = this.#reports + 1;
		const isAnswered = () => this.#answeredReport >= neededReport;
		this.#awaitedReplies += 1;
		await this.#waitUntil(() => isAnswered() || this.getOrigin(attemptId) !== undefined, maxWaitMs);
		this.#awaitedReplies -= 1;
		return isAnswered();
	}

	/** Returns what the next request to a coordinator carries. */
	createReport(): OriginReport {
		this.#reports += 1;
		return this.#exchange.createReport();
	}

	/**
	Applies the reply to the last report. `undefined` came from a coordinator of an earlier version, which passes nothing on. One that has
	no contact with a leader may not reach the others, so what it was told is reported again.
	*/
	apply(changes: OriginChanges | undefined, isInTouch: boolean): void {
		if (isInTouch) {
			this.#answeredReport = this.#reports;
		}

		const hasLearned = changes !== undefined && this.#exchange.apply(changes, isInTouch);
		if (hasLearned || this.isReplyAwaited) {
			this.#changes.notify();
		}
	}

	/** Waits for replies until a condition is met or the time is over. */
	async #waitUntil(isReached: () => boolean, maxWaitMs: number): Promise<void> {
		if (isReached() || maxWaitMs <= 0) {
			return;
		}

		const timeout = new AbortController();
		const abortAfterWait = async () => {
			await this.#clock.sleep(maxWaitMs, timeout.signal);
			timeout.abort();
		};

		void abortAfterWait();
		while (!isReached() && !timeout.signal.aborted) {
			const change = this.#changes.wait(timeout.signal);
			this.#onUrgent();
			await change;
		}

		timeout.abort();
	}
}
