/**
 * Knows where streams began, at this entry or at others. The coordinators pass on to all entries what each one reports, so that a
 * caller can take its stream up again at any of them.
 */
import {Notification} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {groupOrigins, OriginTable} from '@mulberrypitch/serving/origin-table';
import type {OriginChanges, OriginReport, StreamOrigin} from '@mulberrypitch/serving/view-messages';

/** Time in milliseconds for which an origin is reported even though a coordinator has it, since that one may end before it passes it on. */
const reportMs = 1000;

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
	readonly #table: OriginTable;
	readonly #changes = new Notification();
	/** Origins of this entry that are to be reported. */
	#own: readonly OwnOrigin[] = [];
	/** Origins in the report that the last request carried. */
	#reported: readonly OwnOrigin[] = [];
	/** Epoch and position of the last changes; the epoch is empty before the first ones. */
	#epoch = '';
	#position = 0;
	/** Whether the next report holds everything, since the coordinator may have just started. */
	#mustReportAll = false;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#table = new OriginTable(clock);
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
	}

	/** Resolves with the origin of the stream that an attempt began, for which it waits, or with `undefined` if it does not become known. */
	async waitForOrigin(attemptId: string, maxWaitMs: number): Promise<StreamOrigin | undefined> {
		if (this.#table.getOrigin(attemptId) === undefined && maxWaitMs > 0) {
			await this.#waitFor(attemptId, maxWaitMs);
		}

		return this.#table.getOrigin(attemptId);
	}

	/** Returns what the next request to a coordinator carries. */
	createReport(): OriginReport {
		const since = this.#clock.now() - reportMs;
		this.#own = this.#own.filter(({begunAt, isAcknowledged}) => !isAcknowledged || begunAt >= since);
		this.#reported = this.#own;
		return {
			epoch: this.#epoch,
			position: this.#position,
			begun: this.#mustReportAll ? this.#table.getSince(0) : groupOrigins(this.#own),
		};
	}

	/** Applies the reply to the last report. `undefined` came from a coordinator of an earlier version, which passes nothing on. */
	apply(changes: OriginChanges | undefined): void {
		if (changes === undefined) {
			return;
		}

		for (const own of this.#reported) {
			own.isAcknowledged = true;
		}

		const {epoch, position, groups} = changes;
		this.#mustReportAll = epoch !== this.#epoch;
		this.#epoch = epoch;
		this.#position = position;
		if (this.#table.merge(groups)) {
			this.#changes.notify();
		}
	}

	async #waitFor(attemptId: string, maxWaitMs: number): Promise<void> {
		const timeout = new AbortController();
		const abortAfterWait = async () => {
			await this.#clock.sleep(maxWaitMs, timeout.signal);
			timeout.abort();
		};

		void abortAfterWait();
		while (this.#table.getOrigin(attemptId) === undefined && !timeout.signal.aborted) {
			await this.#changes.wait(timeout.signal);
		}

		timeout.abort();
	}
}
