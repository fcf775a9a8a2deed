/** Tracks which back ends are believed to have a prompt prefix in their cache. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Time in milliseconds for which a hint is valid. */
const maxHintAgeMs = 60_000;
/** Maximum number of hints; the least recently recorded one is dropped first. */
const maxHints = 10_000;

/** Holds hints, each of which states that a back end has a prefix in its cache, until they expire. A late or lost cache event only makes a hint less accurate. */
export class PrefixHints {
	readonly #clock: Clock;
	readonly #hints = new Map<string, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records that a back end cached or evicted a prefix at a time. Ignores the event if the stored hint is newer. */
	record(fingerprint: number, backend: string, isCached: boolean, at = this.#clock.now()): void {
		const key = getKey(fingerprint, backend);
		const known = this.#hints.get(key) ?? Number.NEGATIVE_INFINITY;
		if (at < known) {
			return;
		}

		this.#hints.delete(key);
		if (isCached) {
			this.#hints.set(key, at);
		}

		if (this.#hints.size > maxHints) {
			this.#hints.delete(this.#hints.keys().next().value!);
		}
	}

	/** Reports whether a back end is believed to have a prefix in its cache. */
	has(fingerprint: number, backend: string): boolean {
		const at = this.#hints.get(getKey(fingerprint, backend));
		return at !== undefined && this.#clock.now() - at < maxHintAgeMs;
	}
}

function getKey(fingerprint: number, backend: string): string {
	return `${fingerprint}/${backend}`;
}
