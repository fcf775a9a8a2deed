/** The desired state of each back end. */
import {ConflictError} from '@mulberrypitch/errors/catalogue';
import type {CommandOf} from './commands.js';
import type {DesiredState} from './types.js';

const maxBackends = 4096;

/** Stores desired states by back end, also while the back end restarts, so that the new process gets the same state. */
export class DesiredTable {
	readonly #desired = new Map<string, DesiredState>();

	get(backend: string): DesiredState | undefined {
		return this.#desired.get(backend);
	}

	list(): ReadonlyArray<readonly [string, DesiredState]> {
		return [...this.#desired];
	}

	/** Sets the desired state of a back end. Without a desired state, removes the entry; the back end then keeps its current state. */
	set({backend, desired}: CommandOf<'setDesired'>): void {
		if (desired === undefined) {
			this.#desired.delete(backend);
			return;
		}

		if (!this.#desired.has(backend) && this.#desired.size >= maxBackends) {
			throw new ConflictError(`${maxBackends} back ends have a desired state.`, 'Remove those that are gone.', {limit: maxBackends});
		}

		this.#desired.set(backend, desired);
	}

	/** Replaces all desired states by those of a snapshot. */
	restore(captured: ReadonlyArray<readonly [string, DesiredState]>): void {
		this.#desired.clear();
		for (const [backend, desired] of captured) {
			this.#desired.set(backend, desired);
		}
	}
}
