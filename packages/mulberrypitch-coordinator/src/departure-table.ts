/** The replicated table of the incarnations of back ends whose leave was acknowledged or was about to be. */
import type {Incarnation} from '@mulberrypitch/serving/view-messages';

/** Maximum number of departures that are kept; a late announcement of an earlier one no longer counts as late. */
const maxDepartures = 1024;

/** Keeps the latest departed incarnation of each back end, up to a maximum number. */
export class DepartureTable {
	readonly #onDeparture: (incarnation: Incarnation) => void;
	/** Start of the latest departed incarnation by identifier of the back end, in the order in which they were recorded. */
	readonly #starts = new Map<string, number>();

	constructor(onDeparture: (incarnation: Incarnation) => void) {
		this.#onDeparture = onDeparture;
	}

	/** Reports whether an incarnation departed, or a later one of the same back end did. */
	has({backend, startedAt}: Incarnation): boolean {
		return startedAt <= (this.#starts.get(backend) ?? Number.NEGATIVE_INFINITY);
	}

	/** Records the departure of an incarnation. */
	add({backend, startedAt}: Incarnation): void {
		if (this.has({backend, startedAt})) {
			return;
		}

		this.#starts.delete(backend);
		this.#starts.set(backend, startedAt);
		const [earliest] = this.#starts.keys();
		if (this.#starts.size > maxDepartures) {
			this.#starts.delete(earliest!);
		}

		this.#onDeparture({backend, startedAt});
	}

	/** Returns the departures, for a snapshot. */
	list(): readonly Incarnation[] {
		return [...this.#starts].map(([backend, startedAt]) => ({backend, startedAt}));
	}

	/** Replaces the table by the departures of a snapshot. */
	restore(departures: readonly Incarnation[]): void {
		this.#starts.clear();
		for (const departure of departures) {
			this.add(departure);
		}
	}
}
