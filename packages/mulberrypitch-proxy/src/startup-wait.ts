/** Lets requests that arrive just after the start of an entry wait for the first configuration. */
import {Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {RouteTable} from '@mulberrypitch/serving/route-table';

/** Time after the start, in milliseconds, during which requests wait for the first configuration. */
const maxStartupWaitMs = 800;

/** Gives out the routing table, and waits for the first one. */
export class StartupWait {
	readonly #clock: Clock;
	readonly #getTable: () => RouteTable | undefined;
	readonly #configured = new Deferred<void>();
	readonly #startedAt: number;

	constructor(clock: Clock, getTable: () => RouteTable | undefined) {
		this.#clock = clock;
		this.#getTable = getTable;
		this.#startedAt = clock.now();
	}

	/** Ends the waits if there is a configuration by now. */
	refresh(): void {
		if (this.#getTable() !== undefined) {
			this.#configured.resolve();
		}
	}

	/**
	Returns the configuration in force. Waits briefly for the first one, since callers reconnect to a restarted entry before the
	entry has received it.
	*/
	async waitForTable(): Promise<RouteTable | undefined> {
		const leftMs = this.#startedAt + maxStartupWaitMs - this.#clock.now();
		if (this.#getTable() === undefined && leftMs > 0) {
			const timerAbort = new AbortController();
			await Promise.race([this.#configured.promise, this.#clock.sleep(leftMs, timerAbort.signal)]);
			timerAbort.abort();
		}

		return this.#getTable();
	}
}
