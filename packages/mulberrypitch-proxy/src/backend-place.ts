/** The permission of one request to use a connection to a back end. */
import type {KnownBackend} from './known-backend.js';

type BackendPermitEvents = {
	/** Called once, when the prompt has been prefilled or the request ended before that. */
	readonly onPrefilled: () => void;
	/** Called once, when the permit is released. */
	readonly onReleased: () => void;
};

/** A permit for one back end. It counts toward the back end's load until it is released. */
export class BackendPermit {
	readonly backend: KnownBackend;
	readonly #events: BackendPermitEvents;
	#isPrefilled = false;
	#isReleased = false;

	constructor(backend: KnownBackend, events: BackendPermitEvents) {
		this.backend = backend;
		this.#events = events;
	}

	/** Marks the prompt as prefilled. The first part of the response's body shows this. */
	markPrefilled(): void {
		if (!this.#isPrefilled) {
			this.#isPrefilled = true;
			this.#events.onPrefilled();
		}
	}

	/** Releases the permit. Further calls have no effect. */
	release(): void {
		if (!this.#isReleased) {
			this.#isReleased = true;
			this.markPrefilled();
			this.#events.onReleased();
		}
	}
}
