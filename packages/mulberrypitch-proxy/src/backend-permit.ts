/** The permit that one request holds at a back end. */
import type {KnownBackend} from './known-backend.js';

type BackendPermitEvents = {
	/** Called once, when the prompt has been prefilled or the request ended before that. */
	readonly onPrefilled: () => void;
	/** Called once, when the permit is released. */
	readonly onReleased: () => void;
};

/** Counts toward the load of its back end until it is released. */
export class BackendPermit {
	readonly backend: KnownBackend;
	readonly #events: BackendPermitEvents;
	#isPrefilled = false;
	#isReleased = false;

	constructor(backend: KnownBackend, events: BackendPermitEvents) {
		this.backend = backend;
		this.#events = events;
	}

	/** Marks the prompt as prefilled, which the first event of the response shows. */
	markPrefilled(): void {
		if (!this.#isPrefilled) {
			this.#isPrefilled = true;
			this.#events.onPrefilled();
		}
	}

	release(): void {
		if (!this.#isReleased) {
			this.#isReleased = true;
			this.markPrefilled();
			this.#events.onReleased();
		}
	}
}
