/** Background tasks, a condition variable, and a promise that is settled from outside. */
import type {Resource} from './disposable-store.js';

/**
Starts an async function in the background when constructed. `dispose()` aborts the signal that the function got and waits until the
function has ended. `onFailure` receives an error that the function throws before the signal is aborted; an error after that is ignored.

@example
```
store.add(new BackgroundTask(async signal => { while (!signal.aborted) { await step(); } }, onFailure));
```
*/
export class BackgroundTask implements Resource {
	readonly #controller = new AbortController();
	readonly #done: Promise<void>;

	constructor(run: (signal: AbortSignal) => Promise<void>, onFailure: (error: unknown) => void) {
		this.#done = this.#run(run, onFailure);
	}

	/** Aborts the task's signal without waiting for the task to end. */
	abort(): void {
		this.#controller.abort();
	}

	/** Resolves when the task has ended. */
	async wait(): Promise<void> {
		await this.#done;
	}

	async dispose(): Promise<void> {
		this.abort();
		await this.#done;
	}

	async #run(run: (signal: AbortSignal) => Promise<void>, onFailure: (error: unknown) => void): Promise<void> {
		try {
			await run(this.#controller.signal);
		} catch (error) {
			if (!this.#controller.signal.aborted) {
				onFailure(error);
			}
		}
	}
}

/**
Lets tasks wait until another task notifies them, like a condition variable. It can be notified any number of times. A notification without waiters has no effect, so
check the condition before each wait.

@example
```
while (queue.length === 0) { await changed.wait(); }
```
*/
export class Notification {
	#waiters = new Set<() => void>();

	/** Number of tasks that are waiting. */
	get waiting(): number {
		return this.#waiters.size;
	}

	/** Wakes all tasks that are waiting now. */
	notify(): void {
		const waiters = this.#waiters;
		this.#waiters = new Set();
		for (const wake of waiters) {
			wake();
		}
	}

	/** Resolves at the next notification, or when the signal aborts. */
	async wait(signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		return new Promise(resolve => {
			const wake = () => {
				signal?.removeEventListener('abort', wake);
				this.#waiters.delete(wake);
				resolve();
			};

			this.#waiters.add(wake);
			signal?.addEventListener('abort', wake, {once: true});
		});
	}
}

/** A promise that is resolved or rejected from outside. */
export class Deferred<Value> {
	readonly promise: Promise<Value>;
	resolve!: (value: Value) => void;
	reject!: (error: unknown) => void;

	constructor() {
		this.promise = new Promise((resolve, reject) => {
			this.resolve = resolve;
			this.reject = reject;
		});
	}
}
