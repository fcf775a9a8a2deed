/** A back end as one entry knows it: what coordinators say, the requests of this entry, and its connections. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {AnnouncedBackend} from '@mulberrypitch/serving/types';
import type {BackendLoad} from '@mulberrypitch/serving/view-messages';
import {BackendConnection} from './backend-connection.js';
import {BackendPermit} from './backend-place.js';

export type KnownBackendOptions = {
	readonly clock: Clock;
	readonly attemptHeader: string;
	readonly connectTimeoutMs: number;
	/** Gives the most connections that this entry may hold to the back end. */
	readonly getMaxConnections: () => number;
};

/** Results of which the share of failures is judged. */
const maxResults = 12;
/** Share of failures from which a back end is set aside. */
const ejectionFailureShare = 0.6;
const minResultsToEject = 6;
const firstEjectionMs = 500;
const maxEjectionMs = 4000;
/** Failures in a row after which a back end is set aside, whatever came before. */
const ejectionFailuresInRow = 3;
/** Time for which a back end that is full gets nothing. */
const fullBackoffMs = 60;
/** Time for which an address is left alone at which another process answers, unless a new life is announced. */
const misdirectedBackoffMs = 3000;
/** Share of the others' waiting prompts that still waits when it becomes known here. */
const unreadOthersShare = 0.5;

/** Holds the connections to one life of a back end and judges it by its answers. */
export class KnownBackend {
	readonly #options: KnownBackendOptions;
	readonly #idle: BackendConnection[] = [];
	readonly #connections = new Set<BackendConnection>();
	#opening = 0;
	#announced: AnnouncedBackend;
	#inFlight = 0;
	#pendingTokens = 0;
	/** Work of other entries, as the coordinators last said. */
	#otherLoad: BackendLoad = {requests: 0, pendingTokens: 0};
	#results: boolean[] = [];
	#ejectedUntil = Number.NEGATIVE_INFINITY;
	#ejectionMs = firstEjectionMs;
	#fullUntil = Number.NEGATIVE_INFINITY;
	#isRetired = false;

	constructor(announced: AnnouncedBackend, options: KnownBackendOptions) {
		this.#announced = announced;
		this.#options = options;
	}

	get id(): string {
		return this.#announced.id;
	}

	get announced(): AnnouncedBackend {
		return this.#announced;
	}

	get zone(): string {
		return this.#announced.zone;
	}

	get slots(): number {
		return this.#announced.slots;
	}

	get inFlight(): number {
		return this.#inFlight;
	}

	/** Requests here, of this entry and, as far as known, of all others. */
	get load(): number {
		return this.#inFlight + this.#otherLoad.requests;
	}

	/** Tokens of prompts that wait here to be read. What the others sent a while ago is half read by now. */
	get pendingTokens(): number {
		return this.#pendingTokens + (unreadOthersShare * this.#otherLoad.pendingTokens);
	}

	get connectionCount(): number {
		return this.#connections.size;
	}

	get ownLoad(): BackendLoad {
		return {requests: this.#inFlight, pendingTokens: Math.round(this.#pendingTokens)};
	}

	/** May be given requests. */
	get isServing(): boolean {
		return !this.#isRetired && !this.#announced.isLeaving;
	}

	get isEjected(): boolean {
		return this.#options.clock.now() < this.#ejectedUntil;
	}

	/** Has a connection for another request, and did not just say that it is full. */
	get isAvailable(): boolean {
		return this.#options.clock.now() >= this.#fullUntil && this.#hasConnection;
	}

	get #hasConnection(): boolean {
		return this.#idle.some(connection => connection.isReusable) || this.#connections.size + this.#opening < this.#options.getMaxConnections();
	}

	/** Takes a newer announcement of the same life. */
	update(announced: AnnouncedBackend): void {
		this.#announced = announced;
	}

	setOtherLoad(load: BackendLoad): void {
		this.#otherLoad = load;
	}

	/** Takes a place for a request that will have a number of tokens read. */
	acquirePermit(pendingTokens: number): BackendPermit {
		this.#inFlight += 1;
		this.#pendingTokens += pendingTokens;
		return new BackendPermit(this, {
			onPromptRead: () => {
				this.#pendingTokens -= pendingTokens;
			},
			onReleased: () => {
				this.#inFlight -= 1;
			},
		});
	}

	/** Gives an idle connection, or opens one. Throws `PeerUnreachableError` when it can't be opened. */
	async connect(): Promise<BackendConnection> {
		for (let idle = this.#idle.pop(); idle !== undefined; idle = this.#idle.pop()) {
			if (idle.isReusable) {
				return idle;
			}

			idle.destroy();
		}

		this.#opening += 1;
		try {
			const connection = await this.#openConnection();
			this.#connections.add(connection);
			return connection;
		} finally {
			this.#opening -= 1;
		}
	}

	/** Notes how a request ended; tells whether the back end was set aside for it. */
	record(isGood: boolean): boolean {
		this.#results = [...this.#results, isGood].slice(-maxResults);
		if (isGood || !this.#shouldEject()) {
			this.#ejectionMs = isGood ? firstEjectionMs : this.#ejectionMs;
			return false;
		}

		this.eject();
		return true;
	}

	/** Sets the back end aside, longer each time until it answers again. */
	eject(): void {
		this.#ejectedUntil = this.#options.clock.now() + this.#ejectionMs;
		this.#ejectionMs = Math.min(maxEjectionMs, this.#ejectionMs * 2);
		this.#results = [];
	}

	/** Notes that it rejected a request because it is full. */
	markFull(): void {
		this.#fullUntil = this.#options.clock.now() + fullBackoffMs;
	}

	/** Notes that another process answers at its address. */
	markMisdirected(): void {
		this.#ejectedUntil = this.#options.clock.now() + misdirectedBackoffMs;
	}

	/** Closes idle connections whose time is over. */
	closeIdle(): void {
		for (const connection of this.#idle.filter(idle => !idle.isReusable)) {
			connection.destroy();
		}
	}

	/** Ends the use of this life. Requests in progress go on. */
	retire(): void {
		this.#isRetired = true;
		for (const connection of this.#idle) {
			connection.destroy();
		}
	}

	#shouldEject(): boolean {
		const bad = this.#results.filter(result => !result).length;
		const isMostlyBad = this.#results.length >= minResultsToEject && bad >= ejectionFailureShare * this.#results.length;
		const last = this.#results.slice(-ejectionFailuresInRow);
		return isMostlyBad || (last.length === ejectionFailuresInRow && last.every(result => !result));
	}

	async #openConnection(): Promise<BackendConnection> {
		const {clock, attemptHeader, connectTimeoutMs} = this.#options;
		return BackendConnection.open({
			address: this.#announced.address,
			connectTimeoutMs,
			attemptHeader,
			now: () => clock.now(),
			onClosed: connection => {
				this.#connections.delete(connection);
				const position = this.#idle.indexOf(connection);
				if (position !== -1) {
					this.#idle.splice(position, 1);
				}
			},
			onIdle: connection => {
				if (this.#isRetired) {
					connection.destroy();
				} else {
					this.#idle.push(connection);
				}
			},
		});
	}
}
