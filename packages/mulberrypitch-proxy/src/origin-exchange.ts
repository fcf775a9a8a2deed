/**
 * The exchange of the origins of streams with the coordinators. An entry reports where its own streams began, is told where others began, and tells a
 * coordinator that may have just started all that it knows.
 */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {groupOrigins, type OriginTable} from '@mulberrypitch/serving/origin-table';
import type {
	KnownOrigins, OriginChanges, OriginReport, StreamOrigin,
} from '@mulberrypitch/serving/view-messages';

/** Time in milliseconds for which an origin is reported even though a coordinator has it, since that one may end before it passes it on. */
const reportMs = 1000;
/** Number of starts of coordinators of which the entry remembers what it exchanged with them. */
const maxEpochs = 16;

/** The origin of a stream that this entry began. */
type OwnOrigin = {
	readonly attemptId: string;
	readonly origin: StreamOrigin;
	/** Monotonic time in milliseconds. */
	readonly begunAt: number;
	isAcknowledged: boolean;
};

/** Remembers what each coordinator was told, and what it has told. A coordinator is known by its epoch, which is another one after its restart. */
export class OriginExchange {
	readonly #clock: Clock;
	/** All origins that the entry knows. */
	readonly #table: OriginTable;
	/** Origins of this entry that are to be reported. */
	#own: readonly OwnOrigin[] = [];
	/** Origins of this entry in the last report. */
	#reported: readonly OwnOrigin[] = [];
	/** What the entry knows of the origins of each coordinator, by epoch, the one of the last reply last. */
	readonly #known = new Map<string, KnownOrigins>();
	/** Position in the table before which a coordinator has not been told the origins, by epoch; zero once it was told all. */
	readonly #untoldBefore = new Map<string, number>();
	/** Epoch of the coordinator that replied last. */
	#lastEpoch = '';
	/** Position before which that coordinator has not been told the origins once it has the last report. */
	#reportedBefore = 0;

	constructor(clock: Clock, table: OriginTable) {
		this.#clock = clock;
		this.#table = table;
	}

	/** Adds the origin of a stream that this entry began, so that it is reported. */
	addOwn(attemptId: string, origin: StreamOrigin): void {
		this.#own = [...this.#own, {
			attemptId, origin, begunAt: this.#clock.now(), isAcknowledged: false,
		}];
	}

	/** Returns what the next request to a coordinator carries: the origins of this entry, and a part of those that the last coordinator has not been told. */
	createReport(): OriginReport {
		const since = this.#clock.now() - reportMs;
		this.#own = this.#own.filter(({begunAt, isAcknowledged}) => !isAcknowledged || begunAt >= since);
		this.#reported = this.#own;
		const missingBefore = this.#untoldBefore.get(this.#lastEpoch) ?? 0;
		const part = this.#table.getPart({position: this.#table.position, missingBefore});
		this.#reportedBefore = part.missingBefore;
		const inPart = new Set(part.records.map(({attemptId}) => attemptId));
		return {
			known: [...this.#known].map(([epoch, known]) => ({epoch, ...known})),
			begun: groupOrigins([...part.records, ...this.#own.filter(({attemptId}) => !inPart.has(attemptId))]),
		};
	}

	/** Applies the reply of a coordinator to the last report. Returns whether any origin is new. */
	apply({epoch, position, missingBefore, groups}: OriginChanges, isInTouch: boolean): boolean {
		for (const own of this.#reported) {
			own.isAcknowledged ||= isInTouch;
		}

		this.#recordTold(epoch);
		this.#remember(epoch, {position, ...(missingBefore !== undefined && {missingBefore})});
		return this.#table.merge(groups);
	}

	/** Records that a coordinator got the last report. Its part was for the coordinator that had replied before; another one is told from now on. */
	#recordTold(epoch: string): void {
		const untoldBefore = epoch === this.#lastEpoch ? this.#reportedBefore : this.#untoldBefore.get(epoch) ?? this.#table.position;
		this.#untoldBefore.set(epoch, untoldBefore);
		this.#lastEpoch = epoch;
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
}
