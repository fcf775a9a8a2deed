/**
 * Sends the other coordinators the statuses of entries, the announcements of back ends and the origins of streams that this coordinator received,
 * and asks for the changes of their rosters.
 */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {getQuorum} from '@mulberrypitch/control/replica-elections';
import type {Peer} from '@mulberrypitch/control/types';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {BackendRoster, RosterPosition} from '@mulberrypitch/serving/backend-roster';
import type {OriginTable} from '@mulberrypitch/serving/origin-table';
import {
	methods, type GossipReply, type GossipRequest, type RolloutAge,
} from '@mulberrypitch/serving/view-messages';
import type {Transport} from '@mulberrypitch/transport/types';
import type {EntryDirectory} from './entry-directory.js';
import type {SpeedSums} from './speed-sums.js';

/** Interval between rounds in milliseconds. */
const intervalMs = 100;
/** Timeout of one call in milliseconds. */
const callTimeoutMs = 400;
/** Changes from this time, in milliseconds, before the last successful call are sent again with the next one. */
const overlapMs = 100;
/**
Age in milliseconds up to which an exchange with a quorum makes the roster of this coordinator recent. Since a leave is acknowledged by a quorum, a recent
roster has each leave that was acknowledged longer ago than this.
*/
const maxExchangeAgeMs = 600;

/** Last successful exchange with another coordinator. */
type Exchange = {
	/** Monotonic time in milliseconds before which the coordinator's roster was complete here. */
	readonly at: number;
	/** Position of its roster; absent from a coordinator of an earlier version. */
	readonly position: RosterPosition | undefined;
};

/** Dependencies of the gossip between coordinators. */
export type GossipOptions = {
	/** Name of this coordinator. */
	readonly name: string;
	/** Availability zone of this coordinator. */
	readonly zone: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly transport: Transport;
	readonly roster: BackendRoster;
	/** Where streams began. */
	readonly origins: OriginTable;
	readonly directory: EntryDirectory;
	readonly speeds: SpeedSums;
	/** Returns all other coordinators. */
	readonly getOthers: () => readonly Peer[];
	/** Returns the times since the orders of the running roll-outs. */
	readonly getRolloutAges?: () => readonly RolloutAge[];
	/** Called when a reply of another coordinator changed the roster. */
	readonly onRoster: () => void;
};

/** Calls every other coordinator at a fixed interval, and immediately on `flush()`. */
export class Gossip implements Resource {
	readonly #options: GossipOptions;
	readonly #resources = new DisposableStore();
	/** Monotonic time of the start of the last successful call, by coordinator. One that is not listed is sent the whole roster. */
	readonly #lastSentAt = new Map<string, number>();
	/** Position up to which each coordinator has the origins of streams. One that is not listed is sent all. */
	readonly #originPositions = new Map<string, number>();
	/** Last successful exchange with each coordinator. */
	readonly #exchanges = new Map<string, Exchange>();
	/** Names of coordinators with a call in progress. */
	readonly #pendingCalls = new Set<string>();

	constructor(options: GossipOptions) {
		this.#options = options;
	}

	/** Whether the roster of this coordinator has, from a recent exchange, all that a quorum knew. */
	get isRosterRecent(): boolean {
		return 1 + this.recentPeers.length >= getQuorum(this.#options.getOthers().length + 1);
	}

	/** Coordinators with which this one has exchanged lately. */
	get recentPeers(): readonly Peer[] {
		const since = this.#options.clock.now() - maxExchangeAgeMs;
		return this.#options.getOthers().filter(({name}) => (this.#exchanges.get(name)?.at ?? Number.NEGATIVE_INFINITY) >= since);
	}

	/** Starts the calls in the background. */
	start(): void {
		this.#resources.add(new BackgroundTask(async signal => this.#run(signal), error => {
			this.#options.logger.log(events.taskFailed, {task: 'gossip', reason: getMessage(error)});
		}));
	}

	/** Calls all other coordinators now and resolves with the number of successful calls. */
	async flush(): Promise<number> {
		const results = await Promise.all(this.#options.getOthers().map(async peer => this.#sendTo(peer)));
		return results.filter(Boolean).length;
	}

	async dispose(): Promise<void> {
		await this.#resources.dispose();
	}

	async #run(signal: AbortSignal): Promise<void> {
		const {clock, getOthers} = this.#options;
		while (!signal.aborted) {
			for (const peer of getOthers()) {
				if (!this.#pendingCalls.has(peer.name)) {
					void this.#sendTo(peer);
				}
			}

			await clock.sleep(intervalMs, signal);
		}
	}

	/** Exchanges entries and back ends with one coordinator; resolves with whether the call succeeded. */
	async #sendTo(peer: Peer): Promise<boolean> {
		const {name, zone, clock, transport, roster, origins, directory, speeds, onRoster} = this.#options;
		const {position} = origins;
		const startedAt = clock.now();
		const lastSentAt = this.#lastSentAt.get(peer.name);
		const shouldSendAll = lastSentAt === undefined;
		const since = shouldSendAll ? Number.NEGATIVE_INFINITY : lastSentAt - overlapMs;
		const known = this.#exchanges.get(peer.name)?.position;
		const rolloutAges = this.#options.getRolloutAges?.() ?? [];
		const speedSums = speeds.takeSums(peer.name);
		const request: GossipRequest = {
			from: name,
			zone,
			entries: directory.getLocalStatuses(since),
			backends: roster.getEntries(since),
			origins: origins.getSince(this.#originPositions.get(peer.name) ?? 0),
			wantsAll: shouldSendAll,
			...(known !== undefined && {known}),
			...(rolloutAges.length > 0 && {rolloutAges}),
			...(speedSums !== undefined && {speeds: speedSums}),
		};
		this.#pendingCalls.add(peer.name);
		try {
			const reply = await transport.call<GossipReply>(peer.address, methods.gossip, request, {timeoutMs: callTimeoutMs});
			this.#lastSentAt.set(peer.name, startedAt);
			this.#originPositions.set(peer.name, position);
			origins.merge(reply.origins ?? []);
			const changes = reply.backends.map(entry => roster.merge(entry));
			if (changes.includes(true)) {
				onRoster();
			}

			this.#recordExchange(peer, {at: startedAt, position: reply.position});

			return true;
		} catch (error) {
			this.#handleFailure(peer, error);
			return false;
		} finally {
			this.#pendingCalls.delete(peer.name);
		}
	}

	/** Records an exchange, unless a later one has ended before it. */
	#recordExchange({name}: Peer, exchange: Exchange): void {
		if (exchange.at >= (this.#exchanges.get(name)?.at ?? Number.NEGATIVE_INFINITY)) {
			this.#exchanges.set(name, exchange);
		}
	}

	/** Makes the next call send the whole roster and all origins, and logs the first failure after a success. */
	#handleFailure(peer: Peer, error: unknown): void {
		this.#originPositions.delete(peer.name);
		if (this.#lastSentAt.delete(peer.name)) {
			this.#options.logger.log(events.coordinatorLost, {peer: peer.name, reason: getMessage(error)});
		}
	}
}
