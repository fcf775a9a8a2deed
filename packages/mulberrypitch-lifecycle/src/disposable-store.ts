/** Gathers everything that one owner must release. */

import {InvariantError} from '@mulberrypitch/errors/catalogue';

/** A thing that must be released once. */
export type Resource = {
	dispose(): void | Promise<void>;
};

/**
Releases its members in reverse order, each once, also when one of them fails.

@example
```
const store = new DisposableStore();
store.add(server);
await store.dispose();
```
*/
export class DisposableStore implements Resource {
	readonly #members: Resource[] = [];
	#isDisposed = false;

	/** Adds a member and returns it. A member added after disposal is released at once. */
	add<Member extends Resource>(member: Member): Member {
		if (this.#isDisposed) {
			void member.dispose();
			return member;
		}

		this.#members.push(member);
		return member;
	}

	/** Adds a function to call on disposal. */
	defer(release: () => void | Promise<void>): void {
		this.add({dispose: release});
	}

	/** Releases all members. The first failure is thrown after the last release. */
	async dispose(): Promise<void> {
		if (this.#isDisposed) {
			return;
		}

		this.#isDisposed = true;
		let failure: unknown;
		for (const member of this.#members.toReversed()) {
			try {
				await member.dispose();
			} catch (error) {
				failure ??= error;
			}
		}

		if (failure !== undefined) {
			throw toError(failure);
		}
	}
}

function toError(failure: unknown): Error {
	return failure instanceof Error ? failure : new InvariantError('A resource could not be released.');
}
