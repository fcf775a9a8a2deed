/** The incarnations of back ends that ended, as an entry was told, so that an older roster doesn't bring one of them back. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Incarnation} from '@mulberrypitch/serving/view-messages';

/** Time in milliseconds for which an end is remembered. It exceeds the time for which a roster lists those that are gone. */
const retentionMs = 300_000;
/** Maximum number of ends that are remembered. */
const maxEnded = 1024;

/** The latest incarnation of a back end that ended. */
type End = {
	readonly startedAt: number;
	/** Monotonic time in milliseconds at which the entry was told of it. */
	readonly toldAt: number;
};

/** Remembers the latest incarnation of each back end that ended, for a limited time and up to a maximum number. */
export class EndedIncarnations {
	readonly #clock: Clock;
	/** By identifier of the back end, in the order in which the entry was told. */
	readonly #ends = new Map<string, End>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Adds an incarnation that ended. Forgets the earliest ones beyond the maximum number or the retention time. */
	add({backend, startedAt}: Incarnation): void {
		const known = this.#ends.get(backend);
		if (known !== undefined && known.startedAt > startedAt) {
			return;
		}

		this.#ends.delete(backend);
		this.#ends.set(backend, {startedAt, toldAt: this.#clock.now()});
		for (const [id, end] of this.#ends) {
			if (this.#ends.size <= maxEnded && !this.#isOld(end)) {
				return;
			}

			this.#ends.delete(id);
		}
	}

	/** Reports whether an incarnation ended, or a later one of the same back end did. */
	has({backend, startedAt}: Incarnation): boolean {
		const end = this.#ends.get(backend);
		return end !== undefined && startedAt <= end.startedAt && !this.#isOld(end);
	}

	#isOld({toldAt}: End): boolean {
		return this.#clock.now() - toldAt > retentionMs;
	}
}
