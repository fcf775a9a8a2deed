/** The state that each back end should be in. */
import {ConflictError} from '@mulberrypitch/errors/catalogue';
import type {CommandOf} from './commands.js';
import type {DesiredState} from './types.js';

const maxBackends = 4096;

/** Desired states by back end. They outlive the process of a back end, so that its next one gets the same. */
export class DesiredTable {
	readonly #desired = new Map<string, DesiredState>();

	get(backend: string): DesiredState | undefined {
		return this.#desired.get(backend);
	}

	list(): ReadonlyArray<readonly [string, DesiredState]> {
		return [...this.#desired];
	}

	/** Sets the state of one back end; without a state the back end is left as it is. */
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

	restore(captured: ReadonlyArray<readonly [string, DesiredState]>): void {
		this.#desired.clear();
		for (const [backend, desired] of captured) {
			this.#desired.set(backend, desired);
		}
	}
}
