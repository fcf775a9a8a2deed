/** The changes of sessions and back ends in order, so that a renewal carries only what its host has not seen. */

const maxChanges = 4096;

/** What a change is about. */
export const memberKinds = {
	session: 'session',
	backend: 'backend',
} as const;

/** One of the member kinds. */
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

/** Counts the changes and keeps the latest of them. */
export class MembershipFeed {
	#version = 0;
	#changes: Change[] = [];

	/** Grows by one with each change. */
	get version(): number {
		return this.#version;
	}

	/** Notes that one member was added, changed or removed. */
	add(kind: MemberKind, name: string): void {
		this.#version += 1;
		this.#changes.push({kind, name});
		if (this.#changes.length > 2 * maxChanges) {
			this.#changes = this.#changes.slice(-maxChanges);
		}
	}

	/** Lists what changed after a version. Gives nothing when the feed does not reach back that far. */
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

	/** Goes on from the version of a snapshot, without the changes before it. */
	restore(version: number): void {
		this.#version = version;
		this.#changes = [];
	}
}

function getNames(changes: readonly Change[], kind: MemberKind): Set<string> {
	return new Set(changes.filter(change => change.kind === kind).map(({name}) => name));
}
