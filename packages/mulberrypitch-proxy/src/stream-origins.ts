/**
 * Knows where streams began, at this entry or at others. The coordinators pass on to all entries what each one reports, so that a
 * caller can take its stream up again at any of them.
 */
import {Notification} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {groupOrigins, OriginTable} from '@mulberrypitch/serving/origin-table';
import type {
	KnownOrigins, OriginChanges, OriginReport, StreamOrigin,
} from '@mulberrypitch/serving/view-messages';

/** Time in milliseconds for which an origin is reported even though a coordinator has it, since that one may end before it passes it on. */
const reportMs = 1000;

/** Number of starts of coordinators whose positions are remembered. */
const maxEpochs = 16;

type OwnOrigin = {
	readonly attemptId: string;
	readonly origin: StreamOrigin;
	/** Monotonic time in milliseconds. */
	readonly begunAt: number;
	isAcknowledged: boolean;
};

/** Keeps the origins of streams, and exchanges them with a coordinator. */
export class StreamOrigins {
	readonly #clock: Clock;
	readonly #onUrgent: () => void;
	readonly #table: OriginTable;
	readonly #changes = new Notification();
	/** Origins of this entry that are to be reported. */
	#own: readonly OwnOrigin[] = [];
	/** Origins in the report that the last request carried. */
	#reported: readonly OwnOrigin[] = [];
	/** What this entry knows of the origins of each coordinator, by epoch, the one of the last reply last. */
	readonly #known = new Map<string, KnownOrigins>();
	/** Position in the own table before which a coordinator has not been told the origins, by epoch; zero once it was told all. It may have just started. */
	readonly #untoldBefore = new Map<string, number>();
	/** Epoch of the coordinator that replied last. */
	#lastEpoch = '';
	/** Position before which that coordinator has not been told the origins once it has the last report. */
	#reportedBefore = 0;
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
		this.#own = [...this.#own, {
			attemptId, origin, begunAt: this.#clock.now(), isAcknowledged: false,
		}];
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
		const since = this.#clock.now() - reportMs;
		this.#own = this.#own.filter(({begunAt, isAcknowledged}) => !isAcknowledged || begunAt >= since);
		this.#reported = this.#own;
		this.#reports += 1;
		const {records, missingBefore} = this.#table.getPart({position: this.#table.position, missingBefore: this.#untoldBefore.get(this.#lastEpoch) ?? 0});
		this.#reportedBefore = missingBefore;
		const told = new Set(records.map(({attemptId}) => attemptId));
		return {
			known: [...this.#known].map(([epoch, known]) => ({epoch, ...known})),
			begun: groupOrigins([...records, ...this.#own.filter(({attemptId}) => !told.has(attemptId))]),
		};
	}

	/**
	Applies the reply to the last report. `undefined` came from a coordinator of an earlier version, which passes nothing on. One that has
	no contact with a leader may not reach the others, so what it was told is reported again.
	*/
	apply(changes: OriginChanges | undefined, isInTouch: boolean): void {
		if (isInTouch) {
			this.#answeredReport = this.#reports;
		}

		const hasLearned = changes !== undefined && this.#learn(changes, isInTouch);
		if (hasLearned || this.isReplyAwaited) {
			this.#changes.notify();
		}
	}

	/** Applies what a coordinator tells. Returns whether any origin is new. */
	#learn({epoch, position, missingBefore, groups}: OriginChanges, isInTouch: boolean): boolean {
		for (const own of this.#reported) {
			own.isAcknowledged ||= isInTouch;
		}

		// Another coordinator than the one before got a part of what that one lacks, and is told all from the next report on.
		const isSame = epoch === this.#lastEpoch;
		this.#untoldBefore.set(epoch, isSame ? this.#reportedBefore : this.#untoldBefore.get(epoch) ?? this.#table.position);
		this.#lastEpoch = epoch;
		this.#remember(epoch, {position, ...(missingBefore !== undefined && {missingBefore})});
		return this.#table.merge(groups);
	}

	#remember(epoch: string, known: KnownOrigins): void {
		this.#known.delete(epoch);
		this.#known.set(epoch, known);
		if (this.#known.size > maxEpochs) {
			const [oldest] = this.#known.keys();
			this.#known.delete(oldest!);
			this.#untoldBefore.delete(oldest!);
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
