/** The other entries to which this one passes requests on while it reaches no back end, and the connections to them. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import {BackendConnection} from './backend-connection.js';

/** Dependencies and settings of the connections. */
export type PeerEntriesOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Name of the header that identifies an attempt, in lower case. */
	readonly attemptHeader: string;
};

/** Timeout of a connection attempt in milliseconds. */
const connectTimeoutMs = 300;
/** Number of idle connections that are kept to each entry. */
const maxIdle = 16;

/** Knows the addresses that the coordinators name, and keeps idle connections. */
export class PeerEntries {
	readonly #options: PeerEntriesOptions;
	readonly #idle = new Map<string, BackendConnection[]>();
	#addresses: readonly string[] = [];

	constructor(options: PeerEntriesOptions) {
		this.#options = options;
	}

	/** Replaces the addresses by those that the coordinators name now. */
	setAddresses(addresses: readonly string[]): void {
		this.#addresses = addresses;
	}

	/** Returns the address of an entry that has not been tried, drawn at random, or `undefined` if there is none. */
	choose(tried: ReadonlySet<string>): string | undefined {
		const untried = this.#addresses.filter(address => !tried.has(address));
		return untried[Math.floor(this.#options.random.next() * untried.length)];
	}

	/** Returns an idle connection to an entry or opens one. Throws `PeerUnreachableError` when it can't be opened. */
	async connect(address: string): Promise<BackendConnection> {
		const idle = this.#idle.get(address) ?? [];
		for (let connection = idle.pop(); connection !== undefined; connection = idle.pop()) {
			if (connection.isReusable) {
				return connection;
			}

			connection.destroy();
		}

		const {clock, attemptHeader} = this.#options;
		return BackendConnection.open({
			address,
			connectTimeoutMs,
			attemptHeader,
			now: () => clock.now(),
			onHead() {
				// Entries state nothing about themselves in their responses.
			},
			onClosed: connection => {
				this.#remove(address, connection);
			},
			onIdle: connection => {
				this.#keep(address, connection);
			},
		});
	}

	/** Closes connections that have exceeded their idle time. */
	closeIdle(): void {
		for (const connection of [...this.#idle.values()].flat().filter(({isReusable}) => !isReusable)) {
			connection.destroy();
		}
	}

	/** Closes all idle connections. */
	dispose(): void {
		for (const connection of [...this.#idle.values()].flat()) {
			connection.destroy();
		}
	}

	#keep(address: string, connection: BackendConnection): void {
		const idle = this.#idle.get(address) ?? [];
		if (idle.length >= maxIdle) {
			connection.destroy();
			return;
		}

		this.#idle.set(address, [...idle, connection]);
	}

	#remove(address: string, connection: BackendConnection): void {
		this.#idle.set(address, (this.#idle.get(address) ?? []).filter(other => other !== connection));
	}
}
