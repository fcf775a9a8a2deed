/** Which back ends are believed to hold a prompt prefix. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

const hintAgeMs = 60_000;
const maxHints = 10_000;

/** Hints with an age; late or lost events only make them less useful. */
export class PrefixHints {
	readonly #clock: Clock;
	readonly #hints = new Map<string, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Notes that a back end held or dropped a prefix at a time. */
	note(fingerprint: number, backend: string, isCached: boolean, at = this.#clock.now()): void {
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

	/** Tells whether a back end is believed to hold a prefix. */
	has(fingerprint: number, backend: string): boolean {
		const at = this.#hints.get(getKey(fingerprint, backend));
		return at !== undefined && this.#clock.now() - at < hintAgeMs;
	}
}

function getKey(fingerprint: number, backend: string): string {
	return `${fingerprint}/${backend}`;
}
