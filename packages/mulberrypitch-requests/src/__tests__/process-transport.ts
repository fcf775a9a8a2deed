/** The transport of a simulated process that can crash between any two steps. */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {MemoryTransport} from '@mulberrypitch/fakes/memory-transport';
import type {
	Address, CallOptions, Method, Schema, Transport,
} from '@mulberrypitch/transport/types';

/** A point in the run of a process: before or after a call to a peer or to a back end. */
export type Step = {
	readonly when: 'before' | 'after';
	/** Names of the methods that are called. A proposal has the kinds of its commands in place of the method. */
	readonly names: readonly string[];
};

/**
Forwards calls until the process is killed. After that, pending and new calls never resolve.

@example
```
const transport = new ProcessTransport(network.join('host-1'), step => {});
transport.kill();
```
*/
export class ProcessTransport implements Transport {
	readonly #inner: MemoryTransport;
	readonly #onStep: (step: Step) => void;
	readonly #death = new AbortController();

	constructor(inner: MemoryTransport, onStep: (step: Step) => void) {
		this.#inner = inner;
		this.#onStep = onStep;
	}

	/** Aborts when the process is killed. */
	get death(): AbortSignal {
		return this.#death.signal;
	}

	get address(): Address {
		return this.#inner.address;
	}

	handle<Parameters>(method: string, schema: Schema<Parameters>, answer: Method<Parameters>): void {
		this.#inner.handle(method, schema, answer);
	}

	async call<Reply>(address: Address, method: string, parameters: unknown, options: CallOptions): Promise<Reply> {
		const names = getNames(method, parameters);
		await this.pass('before', ...names);
		const reply = await this.#inner.call<Reply>(address, method, parameters, options);
		await this.pass('after', ...names);
		return reply;
	}

	/** Reports a step to the test, which may kill the process there. Never resolves when the process is dead. */
	async pass(when: Step['when'], ...names: string[]): Promise<void> {
		if (!this.death.aborted) {
			this.#onStep({when, names});
		}

		if (this.death.aborted) {
			await new Promise(() => {
				// The code of a dead process never continues.
			});
		}
	}

	/** Kills the process: pending and new calls never resolve. */
	kill(): void {
		this.#death.abort();
		this.#inner.dispose();
	}

	dispose(): void {
		this.#inner.dispose();
	}
}

function getNames(method: string, parameters: unknown): string[] {
	if (!method.endsWith('.propose')) {
		return [method];
	}

	const {commands} = assumeType<{commands: Array<{kind: string}>}>(parameters);
	return commands.map(({kind}) => kind);
}
