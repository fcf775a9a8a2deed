/** A back end as one entry knows it: its announcement, the entry's requests and connections to it, and its outlier detection. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {AnnouncedBackend} from '@mulberrypitch/serving/types';
import type {BackendLoad, LimitShare, StatedLimit} from '@mulberrypitch/serving/view-messages';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {BackendConnection} from './backend-connection.js';
import {BackendPermit} from './backend-place.js';
import type {StatementDecoder} from './backend-statement.js';
import {BrittleRoom} from './brittle-room.js';
import type {ResponseHead} from './response-head.js';
import {StatedConditions} from './stated-conditions.js';
import {misdirectedStatus} from './types.js';

/** Dependencies and settings of a back end as an entry knows it. */
export type KnownBackendOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly decodeStatement: StatementDecoder;
	/** Called when the back end states something that can't be read. */
	readonly onUnreadable: () => void;
	/** Called at each response of the back end, with the monotonic time in milliseconds at which its request was sent. */
	readonly onResponse: (sentAt: number) => void;
	/** Called when bytes arrive from the back end. */
	readonly onData: () => void;
	/** Called when a connection to the back end is opened. */
	readonly onConnected: () => void;
	/** Called when a connection to the back end can't be opened. */
	readonly onUnreachable: () => void;
	/** Name of the header that identifies an attempt, in lower case. */
	readonly attemptHeader: string;
	readonly connectTimeoutMs: number;
	/** Returns the number of entries in the deployment. */
	readonly getEntryCount: () => number;
	/** Returns the maximum number of connections that this entry may hold to the back end. */
	readonly getMaxConnections: () => number;
};

/** Number of the latest results from which the share of failures is computed. */
const maxResults = 12;
/** Share of failures at which a back end is ejected. */
const ejectionFailureShare = 0.6;
/** Minimum number of results before that share is used. */
const minResultsToEject = 6;
/** Durations of the first and of the longest ejection, in milliseconds. */
const firstEjectionMs = 500;
const maxEjectionMs = 4000;
/** Consecutive failures after which a back end is ejected, whatever the results before them. */
const ejectionFailuresInRow = 3;
/** Time in milliseconds for which a back end that reported itself full gets no requests. */
const fullBackoffMs = 60;
/** Duration in milliseconds of the ejection of a back end when another process replies at its address. A new incarnation is not affected. */
const misdirectedBackoffMs = 3000;
/** Length in milliseconds of the window in which sends are counted for the log, and the maximum count. */
const recentSendsMs = 4000;
const maxRecentSends = 100;
/** Share of the other entries' pending prompt tokens that is still pending when their report arrives here. */
const pendingOthersShare = 0.5;

/** Holds the connections to one incarnation of a back end, and ejects it after repeated failures. */
export class KnownBackend {
	readonly #options: KnownBackendOptions;
	readonly #idle: BackendConnection[] = [];
	readonly #connections = new Set<BackendConnection>();
	/** Number of connections that are being opened. */
	#opening = 0;
	#announced: AnnouncedBackend;
	#inFlight = 0;
	#pendingTokens = 0;
	/** Load from other entries, as last reported by the coordinators. */
	#otherLoad: BackendLoad = {requests: 0, pendingTokens: 0};
	/** Whether each of the latest requests succeeded, oldest first. */
	#results: boolean[] = [];
	#ejectedUntil = Number.NEGATIVE_INFINITY;
	#ejectionMs = firstEjectionMs;
	#fullUntil = Number.NEGATIVE_INFINITY;
	readonly #conditions: StatedConditions;
	readonly #brittleRoom: BrittleRoom;
	/** Monotonic times in milliseconds of the latest permits, oldest first. */
	#permitTimes: number[] = [];
	/** Monotonic time in milliseconds at which the incarnation was retired. */
	#retiredAt: number | undefined;

	constructor(announced: AnnouncedBackend, options: KnownBackendOptions) {
		this.#announced = announced;
		this.#options = options;
		this.#conditions = new StatedConditions(options);
		this.#brittleRoom = new BrittleRoom(options);
	}

	/** Identifier of the back end. */
	get id(): string {
		return this.#announced.id;
	}

	/** Newest announcement of the incarnation. */
	get announced(): AnnouncedBackend {
		return this.#announced;
	}

	/** Availability zone of the back end. */
	get zone(): string {
		return this.#announced.zone;
	}

	/** Number of requests that the back end runs concurrently. */
	get slots(): number {
		return this.#announced.slots;
	}

	/** Requests in flight from this entry. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Requests in flight from this entry and, as last reported, from all other entries. */
	get load(): number {
		return this.#inFlight + this.#otherLoad.requests;
	}

	/** Prompt tokens whose prefill is pending: this entry's, and a share of those that the other entries reported. */
	get pendingTokens(): number {
		return this.#pendingTokens + (pendingOthersShare * this.#otherLoad.pendingTokens);
	}

	/** Number of this entry's open connections to the back end. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	/** Load from this entry alone, as reported to the coordinators. */
	get ownLoad(): BackendLoad {
		return {requests: this.#inFlight, pendingTokens: Math.round(this.#pendingTokens)};
	}

	/** Requests a second that the back end accepts from all entries together; absent if it states no limit. */
	get requestsPerSecond(): number | undefined {
		return this.#conditions.requestsPerSecond;
	}

	/** The limit that the back end stated to this entry, as reported to the coordinators; absent if it never stated one. */
	get ownLimit(): StatedLimit | undefined {
		const {ownLimit} = this.#conditions;
		if (ownLimit === undefined) {
			return undefined;
		}

		const {statedAt, ...stated} = ownLimit;
		return {
			...stated, backend: this.id, startedAt: this.#announced.startedAt, ageMs: this.#options.clock.now() - statedAt,
		};
	}

	/** Whether the back end has asked this entry to send nothing for now. */
	get isPaused(): boolean {
		return this.#conditions.pauseMs > 0;
	}

	/** Time in milliseconds until the back end accepts a request of this entry, by what it has stated; zero if it does now. */
	get statedWaitMs(): number {
		return this.#conditions.waitMs;
	}

	/** Number of requests that got a permit within the last seconds, up to a maximum. */
	get recentSends(): number {
		const since = this.#options.clock.now() - recentSendsMs;
		return this.#permitTimes.filter(at => at >= since).length;
	}

	/** Whether the back end may be sent requests. */
	get isServing(): boolean {
		return !this.#isRetired && !this.isLeaving;
	}

	/** Time in milliseconds since the incarnation was retired; zero if it is in use. */
	get retiredForMs(): number {
		return this.#retiredAt === undefined ? 0 : this.#options.clock.now() - this.#retiredAt;
	}

	/** Whether the back end leaves, by its announcements or by what it stated to this entry. */
	get isLeaving(): boolean {
		return this.#announced.isLeaving || this.#conditions.isLeaving;
	}

	/** Whether outlier detection has ejected the back end for now. */
	get isEjected(): boolean {
		return this.#options.clock.now() < this.#ejectedUntil;
	}

	/** Whether a connection is available for another request, and the back end accepts one by what it has reported. */
	get isAvailable(): boolean {
		const hasRoom = this.#conditions.rejectionsPerSecond === undefined || this.#brittleRoom.hasRoom(this);
		return this.statedWaitMs === 0 && this.#options.clock.now() >= this.#fullUntil && hasRoom && this.#hasConnection;
	}

	get #isRetired(): boolean {
		return this.#retiredAt !== undefined;
	}

	get #hasConnection(): boolean {
		return this.#idle.some(connection => connection.isReusable) || this.#connections.size + this.#opening < this.#options.getMaxConnections();
	}

	/** Applies a newer announcement of the same incarnation. */
	update(announced: AnnouncedBackend): void {
		this.#announced = announced;
	}

	/** Sets the load from other entries, as last reported by the coordinators. */
	setOtherLoad(load: BackendLoad): void {
		this.#otherLoad = load;
	}

	/** Applies what the coordinators know of the back end's limit; `undefined` if they know of none. */
	applyLimitShare(share: LimitShare | undefined): void {
		const isOfIncarnation = share?.startedAt === this.#announced.startedAt;
		this.#conditions.applyShare(isOfIncarnation ? share : undefined);
	}

	/** Takes a permit for a request whose prefill is expected to process a number of prompt tokens. */
	acquirePermit(pendingTokens: number): BackendPermit {
		this.#inFlight += 1;
		this.#pendingTokens += pendingTokens;
		this.#conditions.recordSend();
		this.#permitTimes = [...this.#permitTimes, this.#options.clock.now()].slice(-maxRecentSends);
		return new BackendPermit(this, {
			onPrefilled: () => {
				this.#pendingTokens -= pendingTokens;
			},
			onReleased: () => {
				this.#inFlight -= 1;
			},
		});
	}

	/**
	Returns an idle connection that is not among the used ones, or opens one. Throws `PeerUnreachableError` when it can't be opened. When all
	connections that may be open are used ones, one of them is closed.
	*/
	async connect(used: ReadonlySet<BackendConnection> = new Set()): Promise<BackendConnection> {
		this.closeIdle();
		const unused = this.#idle.findLastIndex(idle => !used.has(idle));
		if (unused !== -1) {
			return this.#idle.splice(unused, 1)[0]!;
		}

		if (this.#connections.size + this.#opening >= this.#options.getMaxConnections()) {
			this.#idle.at(-1)?.destroy();
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

	/** Opens a connection and keeps it for a request. Throws `PeerUnreachableError` when it can't be opened. */
	async probe(): Promise<void> {
		const connection = await this.#openConnection();
		this.#connections.add(connection);
		if (this.#isRetired) {
			connection.destroy();
		} else {
			this.#idle.push(connection);
		}
	}

	/** Records whether a request succeeded. Returns whether the back end was ejected because of this result. */
	recordResult(isGood: boolean): boolean {
		this.#results = [...this.#results, isGood].slice(-maxResults);
		if (isGood || !this.#shouldEject()) {
			this.#ejectionMs = isGood ? firstEjectionMs : this.#ejectionMs;
			return false;
		}

		this.eject();
		return true;
	}

	/** Ejects the back end for a time that doubles with each ejection, up to a limit, until a request succeeds. */
	eject(): void {
		this.#ejectedUntil = this.#options.clock.now() + this.#ejectionMs;
		this.#ejectionMs = Math.min(maxEjectionMs, this.#ejectionMs * 2);
		this.#results = [];
	}

	/** Records that the back end rejected a request because it is full. */
	markFull(): void {
		const {rejectionsPerSecond} = this.#conditions;
		const backoffMs = rejectionsPerSecond === undefined ? fullBackoffMs : this.#brittleRoom.getBackoffMs(rejectionsPerSecond);
		this.#fullUntil = this.#options.clock.now() + backoffMs;
	}

	/** Ejects the back end because another process replies at its address. */
	markMisdirected(): void {
		this.#ejectedUntil = this.#options.clock.now() + misdirectedBackoffMs;
	}

	/** Closes idle connections that have exceeded their idle time. */
	closeIdle(): void {
		for (const connection of this.#idle.filter(idle => !idle.isReusable)) {
			connection.destroy();
		}
	}

	/** Stops the use of this incarnation. Requests in progress continue. */
	retire(): void {
		this.#retiredAt ??= this.#options.clock.now();
		for (const connection of this.#idle) {
			connection.destroy();
		}
	}

	#shouldEject(): boolean {
		const failures = this.#results.filter(result => !result).length;
		const isMostlyFailing = this.#results.length >= minResultsToEject && failures >= ejectionFailureShare * this.#results.length;
		const last = this.#results.slice(-ejectionFailuresInRow);
		return isMostlyFailing || (last.length === ejectionFailuresInRow && last.every(result => !result));
	}

	#recordStatement(head: ResponseHead, sentAt: number): void {
		const {logger, decodeStatement, onUnreadable, onResponse} = this.#options;
		if (head.status === misdirectedStatus) {
			// Another process responds at the address.
			return;
		}

		onResponse(sentAt);

		const statement = decodeStatement(head);
		if (statement.isLeaving && this.isServing) {
			logger.log(events.backendLeaving, {backend: this.id, service: this.#announced.service, isStated: true});
		}

		const {unreadableLimit: limit, unreadablePause: pause, pauseMs} = statement;
		if (limit !== undefined || pause !== undefined) {
			onUnreadable();
			logger.log(events.statementUnreadable, {backend: this.id, limit, pause});
		}

		if (pauseMs !== undefined) {
			logger.log(events.pauseStated, {backend: this.id, pauseMs, recentSends: this.recentSends});
		}

		if (this.#conditions.record(statement, sentAt)) {
			logger.log(events.limitStated, {backend: this.id, requestsPerSecond: this.requestsPerSecond, recentSends: this.recentSends});
		}
	}

	async #openConnection(): Promise<BackendConnection> {
		const {clock, logger, attemptHeader, connectTimeoutMs, onData, onConnected, onUnreachable} = this.#options;
		const opening = BackendConnection.open({
			address: this.#announced.address,
			connectTimeoutMs,
			attemptHeader,
			now: () => clock.now(),
			onData,
			onNeedlessBytes: when => {
				logger.log(events.needlessBytes, {backend: this.id, when});
			},
			onHead: (head, sentAt) => {
				this.#recordStatement(head, sentAt);
			},
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
		try {
			const connection = await opening;
			onConnected();
			return connection;
		} catch (error) {
			onUnreachable();
			throw error;
		}
	}
}
