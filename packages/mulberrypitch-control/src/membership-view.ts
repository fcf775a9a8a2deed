/** An entry host's copy of the sessions and back ends. */
import type {BackendServer, MembershipChanges, Session} from './types.js';

/** Applies membership changes in the order of their versions. */
export class MembershipView {
	readonly #sessions = new Map<string, Session>();
	readonly #backends = new Map<string, BackendServer>();
	#sessionList: readonly Session[] = [];
	#backendList: readonly BackendServer[] = [];
	#version = -1;

	/** Version of the last applied changes, or -1 before the first. */
	get version(): number {
		return this.#version;
	}

	/** All sessions. The array is replaced, not changed, when changes are applied. */
	get sessions(): readonly Session[] {
		return this.#sessionList;
	}

	/** All back ends. The array is replaced, not changed, when changes are applied. */
	get backends(): readonly BackendServer[] {
		return this.#backendList;
	}

	/** Applies the changes since the version of this view and adopts their version. */
	applyChanges(changes: MembershipChanges, version: number): void {
		if (changes.isWhole) {
			this.#sessions.clear();
			this.#backends.clear();
		}

		for (const node of changes.endedSessions) {
			this.#sessions.delete(node);
		}

		for (const id of changes.removedBackends) {
			this.#backends.delete(id);
		}

		for (const session of changes.sessions) {
			this.#sessions.set(session.node, session);
		}

		for (const backend of changes.backends) {
			this.#backends.set(backend.id, backend);
		}

		this.#sessionList = [...this.#sessions.values()];
		this.#backendList = [...this.#backends.values()];
		this.#version = version;
	}
}
