/** The permission of one request to use a connection to a back end. */
import type {SendObservation} from './backend-speeds.js';
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
	/** Times the response; absent if the request is not observed. */
	observation: SendObservation | undefined;
	readonly #events: BackendPermitEvents;
	#isPrefilled = false;
	#isReleased = false;

	constructor(backend: KnownBackend, events: BackendPermitEvents) {
		this.backend = backend;
		this.#events = events;
	}

	/** Records a part of the response's body. The first one shows that the prompt has been prefilled. */
	recordPart(): void {
		this.observation?.recordPart();
		this.markPrefilled();
	}

	/** Marks the prompt as prefilled. */
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
