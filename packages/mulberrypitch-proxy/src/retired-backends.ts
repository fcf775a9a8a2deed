/** The back ends that an entry has retired lately, so that one that left doesn't return to service when it is listed again. */
import type {AnnouncedBackend} from '@mulberrypitch/serving/types';
import type {KnownBackend} from './known-backend.js';

/** Time in milliseconds for which a retired back end is remembered. It exceeds the time for which a roster lists those that are gone. */
const retentionMs = 300_000;
/** Maximum number of retired back ends that are remembered. */
const maxRetired = 256;

/** Remembers the latest retired incarnation of each back end, for a limited time and up to a maximum number. */
export class RetiredBackends {
	/** By identifier, in the order of retirement. */
	readonly #backends = new Map<string, KnownBackend>();

	/** Adds a back end that was just retired. Forgets the earliest ones beyond the maximum number. */
	add(backend: KnownBackend): void {
		this.#backends.delete(backend.id);
		this.#backends.set(backend.id, backend);
		for (const [id, {retiredForMs}] of this.#backends) {
			if (this.#backends.size <= maxRetired && retiredForMs <= retentionMs) {
				return;
			}

			this.#backends.delete(id);
		}
	}

	/** Returns the retired back ends that are remembered. */
	list(): readonly KnownBackend[] {
		return [...this.#backends.values()];
	}

	/** Reports whether the announced incarnation left before it was retired, or stated it in a response that came later. */
	hasLeft({id, startedAt}: AnnouncedBackend): boolean {
		const retired = this.#backends.get(id);
		return retired !== undefined
			&& retired.isLeaving
			&& retired.announced.startedAt === startedAt
			&& retired.retiredForMs <= retentionMs;
	}
}
