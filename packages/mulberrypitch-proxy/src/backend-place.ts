/** The place that one request holds at a back end. */
import type {KnownBackend} from './known-backend.js';

type BackendPermitEvents = {
	/** Called once when the prompt was read or the request left before that. */
	readonly onPromptRead: () => void;
	/** Called once when the request has left. */
	readonly onReleased: () => void;
};

/** Counts for the load of its back end until the request leaves. */
export class BackendPermit {
	readonly backend: KnownBackend;
	readonly #events: BackendPermitEvents;
	#isPromptRead = false;
	#isReleased = false;

	constructor(backend: KnownBackend, events: BackendPermitEvents) {
		this.backend = backend;
		this.#events = events;
	}

	/** Notes the first event of the answer: the prompt has been read. */
	markPromptRead(): void {
		if (!this.#isPromptRead) {
			this.#isPromptRead = true;
			this.#events.onPromptRead();
		}
	}

	release(): void {
		if (!this.#isReleased) {
			this.#isReleased = true;
			this.markPromptRead();
			this.#events.onReleased();
		}
	}
}
