/** The change feed of sessions and back ends. With it, a reply to a renewal has only the changes that the host does not know. */

/** Number of changes that remain when the feed is trimmed. It is trimmed when it exceeds twice this number. */
const maxChanges = 4096;

/** Kinds of members. */
export const memberKinds = {
	session: 'session',
	backend: 'backend',
} as const;

/** One of the kinds of members. */
export type MemberKind = typeof memberKinds[keyof typeof memberKinds];

/** Names of the members that changed. */
export type ChangedMembers = {
	readonly sessions: ReadonlySet<string>;
	readonly backends: ReadonlySet<string>;
};

type Change = {
	readonly kind: MemberKind;
	readonly name: string;
};

/** Counts all changes and stores the latest of them. */
export class MembershipFeed {
	#version = 0;
	#changes: Change[] = [];

	/** Number of changes so far. */
	get version(): number {
		return this.#version;
	}

	/** Records that a member was added, changed or removed. */
	add(kind: MemberKind, name: string): void {
		this.#version += 1;
		this.#changes.push({kind, name});
		if (this.#changes.length > 2 * maxChanges) {
			this.#changes = this.#changes.slice(-maxChanges);
		}
	}

	/** Returns the members that changed after a version, or undefined if the feed no longer holds all changes since then. */
	getChangesSince(version: number): ChangedMembers | undefined {
		const count = this.#version - version;
		if (count < 0 || count > this.#changes.length) {
			return undefined;
		}

		const changes = count === 0 ? [] : this.#changes.slice(-count);
		return {
			sessions: getNames(changes, memberKinds.session),
			backends: getNames(changes, memberKinds.backend),
		};
	}

	/** Continues from the version of a snapshot, without the changes before it. */
	restore(version: number): void {
		this.#version = version;
		this.#changes = [];
	}
}

function getNames(changes: readonly Change[], kind: MemberKind): Set<string> {
	return new Set(changes.filter(change => change.kind === kind).map(({name}) => name));
}
