/** The back ends that announced themselves. */
import type {CommandOf} from './commands.js';
import {memberKinds, type MembershipFeed} from './membership-feed.js';
import type {BackendServer} from './types.js';

/** Back ends by identifier. */
export class BackendTable {
	readonly #feed: MembershipFeed;
	readonly #backends = new Map<string, BackendServer>();

	constructor(feed: MembershipFeed) {
		this.#feed = feed;
	}

	/** Returns a back end, or undefined if it is not known. */
	get(id: string): BackendServer | undefined {
		return this.#backends.get(id);
	}

	list(): readonly BackendServer[] {
		return [...this.#backends.values()];
	}

	/** Adds a back end, or replaces an earlier incarnation of it. Returns the known back end if the incarnation is the same. */
	register(command: CommandOf<'registerBackend'>): BackendServer {
		const current = this.#backends.get(command.id);
		if (current?.incarnation === command.incarnation) {
			return current;
		}

		const {kind, backendKind, ...facts} = command;
		const backend: BackendServer = {...facts, kind: backendKind, isLeaving: false};
		this.#put(backend);
		return backend;
	}

	/** Records that a back end will stop. Ignores an incarnation that is not the current one. */
	markLeaving(command: CommandOf<'leaveBackend'>): void {
		const current = this.#backends.get(command.id);
		if (current?.incarnation === command.incarnation && !current.isLeaving) {
			this.#put({...current, isLeaving: true, leavesAt: command.leavesAt});
		}
	}

	/** Removes a back end. Ignores an incarnation that is not the current one. */
	remove(command: CommandOf<'removeBackend'>): void {
		if (this.#backends.get(command.id)?.incarnation === command.incarnation) {
			this.#backends.delete(command.id);
			this.#feed.add(memberKinds.backend, command.id);
		}
	}

	/** Replaces all back ends by those of a snapshot. */
	restore(backends: readonly BackendServer[]): void {
		this.#backends.clear();
		for (const backend of backends) {
			this.#backends.set(backend.id, backend);
		}
	}

	#put(backend: BackendServer): void {
		this.#backends.set(backend.id, backend);
		this.#feed.add(memberKinds.backend, backend.id);
	}
}
