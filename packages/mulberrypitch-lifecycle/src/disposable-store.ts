/** Collects the resources that an owner must dispose of. */

import {InvariantError} from '@mulberrypitch/errors/catalogue';

/** A resource that its owner must dispose of once. */
export type Resource = {
	/** Releases the resource, and resolves when this is done. */
	dispose(): void | Promise<void>;
};

/**
Disposes of its members in reverse order of their addition, each once. A member that fails does not stop the others.

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

	/** Adds a member and returns it. A member added after disposal is disposed of at once. */
	add<Member extends Resource>(member: Member): Member {
		if (this.#isDisposed) {
			void member.dispose();
			return member;
		}

		this.#members.push(member);
		return member;
	}

	/** Adds a function that is called on disposal. */
	defer(release: () => void | Promise<void>): void {
		this.add({dispose: release});
	}

	/** Disposes of all members, then throws the first error that occurred. A second call does nothing. */
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
	return failure instanceof Error ? failure : new InvariantError('A resource threw a value that is not an Error from dispose().');
}
