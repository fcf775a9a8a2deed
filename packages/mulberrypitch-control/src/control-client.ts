/**
 * The entry host's client of the control group. The client opens a session, which is the host's lease with the group, and
 * proposes commands in batches. Its view is the copy of the configuration and the membership (sessions and back ends) that the
 * leader sends in reply to a renewal of the session.
 */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {
	createErrorFromWire, hasCode, CodedError, getMessage,
} from '@mulberrypitch/errors/coded-error';
import {
	assertInvariant, codes, StaleViewError, TimeoutError,
} from '@mulberrypitch/errors/catalogue';
import {BackgroundTask, Deferred} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {Transport} from '@mulberrypitch/transport/types';
import type {Command, CommandOf} from './commands.js';
import type {CommandValue} from './command-value.js';
import {MembershipView} from './membership-view.js';
import type {
	BackendServer, CommandResult, ConfigurationRevision, Peer, FindRequestReply, RequestRecord, Session, View,
} from './types.js';

/**
Age in milliseconds below which a host may act on its view, counted from the sending of the renewal. The session
lease is longer by more than clocks can drift, so a host stops acting before the leader ends its session.
*/
export const maxViewAgeMs = 2000;
const renewIntervalMs = 500;
const callTimeoutMs = 1000;
const proposeCallTimeoutMs = 4000;
/** Time in milliseconds, counted from the start of a call to the leader, after which the call is no longer retried. */
const callDeadlineMs = 10_000;
const retryDelayMs = 100;
const maxBatchCommands = 256;
const maxBatchesInFlight = 4;

/** Dependencies and settings of a client. */
export type ControlClientOptions = {
	readonly group: string;
	/** Replicas of the control group, among which the client looks for the leader. */
	readonly replicas: readonly Peer[];
	readonly transport: Transport;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly session: Omit<Session, 'epoch' | 'isDraining'>;
	/** Returns the back ends that announced themselves to this host since the last call. */
	readonly takeAnnouncedBackends: () => ReadonlyArray<{id: string; incarnation: string}>;
	/** Returns the digest of the effective configuration that this host uses. */
	readonly getEffectiveDigest: () => string;
	/** Called when a renewal brings a new revision of the configuration. */
	readonly onConfiguration: (revision: ConfigurationRevision) => void;
	/** Called with unfinished requests that were transferred to this host, which is now their holder. */
	readonly onAssigned: (requests: readonly RequestRecord[]) => void;
	/** Called when the leader has ended the session. Other hosts may now be the holders of this host's requests. */
	readonly onSessionLost?: (epoch: number) => void;
};

type QueuedCommand = {
	readonly command: Command;
	readonly done: Deferred<CommandResult>;
};

/** Opens and renews the session of one entry host and proposes the host's commands. */
export class ControlClient implements Resource {
	readonly #options: ControlClientOptions;
	readonly #resources = new DisposableStore();
	readonly #queue: QueuedCommand[] = [];
	/** Number of running calls of `#flush`. Each has at most one batch in flight. */
	#batchesInFlight = 0;
	#leader: string | undefined;
	#session: Session | undefined;
	/** Time up to which the host may act on its view. */
	#freshUntil = Number.NEGATIVE_INFINITY;
	readonly #membership = new MembershipView();
	/** Incarnations of back ends that announced themselves to this host and that the leader has not acknowledged yet, by identifier. */
	#announcedBackends = new Map<string, string>();
	#revision = 0;
	/** Term of the leader that sent the last view. */
	#term = 0;
	/** Log index of the latest transfer of a request to this host that a view has brought. */
	#lastAssignment = 0;
	#wasFresh = false;
	/** Whether this host stops and each session that it opens is to be marked so. */
	#isDraining = false;
	/** Whether calls to the leader are given up. */
	#isDisposed = false;

	constructor(options: ControlClientOptions) {
		this.#options = options;
	}

	/** Sessions of all entry hosts, from the last view. */
	get sessions(): readonly Session[] {
		return this.#membership.sessions;
	}

	/** Back ends that are registered with the group, from the last view. */
	get backends(): readonly BackendServer[] {
		return this.#membership.backends;
	}

	/** Revision of the configuration in the last view, or 0 before the first. */
	get revision(): number {
		return this.#revision;
	}

	/** The open session of this host, or undefined while there is none. */
	get session(): Session | undefined {
		return this.#session;
	}

	/** Starts to open and renew the session. */
	start(): void {
		this.#resources.add(new BackgroundTask(async signal => this.#runSession(signal), error => {
			this.#options.logger.log(events.taskFailed, {reason: getMessage(error)});
		}));
	}

	/** Reports whether this host has a session and less than `maxViewAgeMs` has passed since it sent the renewal that brought its view. */
	isFresh(): boolean {
		return this.#session !== undefined && this.#options.clock.now() < this.#freshUntil;
	}

	/** Returns the session. Throws `StaleViewError` if this host may not act on its view. */
	requireFresh(): Session {
		if (this.#session === undefined || !this.isFresh()) {
			throw new StaleViewError(this.#options.clock.now() - this.#freshUntil + maxViewAgeMs);
		}

		return this.#session;
	}

	/**
	Commits a command and returns its value. Throws the failure of the command. A command whose reply is lost is proposed
	again, so commands have to be idempotent.
	*/
	async propose<Kind extends Command['kind']>(command: CommandOf<Kind>): Promise<CommandValue<Kind>> {
		const done = new Deferred<CommandResult>();
		this.#queue.push({command: assumeType<Command>(command), done});
		void this.#flush();
		const result = await done.promise;
		if (result.failure !== undefined) {
			throw createErrorFromWire(result.failure);
		}

		return assumeType<CommandValue<Kind>>(result.value);
	}

	/** Returns a request as the leader knows it, or undefined if the leader does not know it. */
	async lookupRequest(requestId: string): Promise<RequestRecord | undefined> {
		const {request} = await this.callLeader<FindRequestReply>('findRequest', {requestId}, callTimeoutMs);
		return request;
	}

	/**
	Calls a method of the group's leader. Throws a failure that can't be retried at once. Otherwise retries on the same or other
	replicas. No attempt starts later than `callDeadlineMs` after the call, but each, the last one included, may take
	`attemptTimeoutMs`. After `dispose` no further attempt starts. Then throws the failure of the last attempt, or `TimeoutError` if no leader was found.
	*/
	async callLeader<Reply>(method: string, parameters: unknown, attemptTimeoutMs: number): Promise<Reply> {
		const {clock, group, transport} = this.#options;
		const startedAt = clock.now();
		let failure: unknown;
		for (let attempt = 0; clock.now() - startedAt < callDeadlineMs && !this.#isDisposed; attempt += 1) {
			const peer = this.#getTarget(attempt);
			try {
				const reply = await transport.call<Reply>(peer.address, `${group}.${method}`, parameters, {timeoutMs: attemptTimeoutMs});
				this.#leader = peer.name;
				return reply;
			} catch (error) {
				if (!isRetryable(error)) {
					throw error;
				}

				failure = error;
				this.#leader = getLeaderHint(error);
			}

			if (this.#leader === undefined) {
				await clock.sleep(retryDelayMs);
			}
		}

		throw failure instanceof CodedError && failure.code !== codes.notLeader ? failure : new TimeoutError('The control group', callDeadlineMs);
	}

	/**
	Marks the session, and each that this host opens from now on, as draining, so that no other host chooses this one as a
	standby.
	*/
	async drain(): Promise<void> {
		this.#isDraining = true;
		if (this.#session !== undefined) {
			await this.#drainSession(this.#session);
		}
	}

	/** Stops renewing the session and ends it, so that its requests are transferred at once. */
	async close(): Promise<void> {
		await this.#resources.dispose();
		const session = this.#session;
		this.#session = undefined;
		if (session !== undefined) {
			await this.propose({
				kind: 'closeSession', node: session.node, epoch: session.epoch, cause: 'left',
			});
		}
	}

	/** Stops renewing the session without ending it. The leader ends it when its lease expires. */
	async dispose(): Promise<void> {
		this.#isDisposed = true;
		await this.#resources.dispose();
	}

	/**
	Sends the queued commands. Returns at once if `maxBatchesInFlight` calls of this method are running, since they also send these
	commands.
	Batches may be committed out of order. A caller that needs an order awaits each command before it proposes the next.
	*/
	async #flush(): Promise<void> {
		if (this.#batchesInFlight >= maxBatchesInFlight) {
			return;
		}

		this.#batchesInFlight += 1;
		while (this.#queue.length > 0) {
			const batch = this.#queue.splice(0, maxBatchCommands);
			await this.#sendBatch(batch);
		}

		this.#batchesInFlight -= 1;
	}

	async #sendBatch(batch: readonly QueuedCommand[]): Promise<void> {
		try {
			const commands = batch.map(({command}) => command);
			const results = await this.callLeader<CommandResult[]>('propose', {commands}, proposeCallTimeoutMs);
			assertInvariant(results.length === batch.length, 'The number of results differs from the number of commands.');
			for (const [position, {done}] of batch.entries()) {
				done.resolve(results[position]!);
			}
		} catch (error) {
			for (const {done} of batch) {
				done.reject(error);
			}
		}
	}

	#getTarget(attempt: number): Peer {
		const {replicas} = this.#options;
		return replicas.find(peer => peer.name === this.#leader) ?? replicas[attempt % replicas.length]!;
	}

	async #runSession(signal: AbortSignal): Promise<void> {
		const {clock, logger} = this.#options;
		while (!signal.aborted) {
			try {
				await this.#renew();
			} catch (error) {
				this.#onRenewalFailure(error);
			}

			if (this.#wasFresh && !this.isFresh()) {
				logger.log(events.viewStale);
			}

			this.#wasFresh = this.isFresh();
			await clock.sleep(this.#session === undefined ? retryDelayMs : renewIntervalMs, signal);
		}
	}

	/** Handles a failure to open or renew the session. */
	#onRenewalFailure(error: unknown): void {
		const {logger, onSessionLost} = this.#options;
		if (!(error instanceof CodedError)) {
			// The view is malformed or can't be applied. The next one may be sound.
			logger.log(events.viewRejected, {code: codes.internal, reason: getMessage(error)});
			return;
		}

		const session = this.#session;
		if (error.code === codes.staleEpoch && session !== undefined) {
			logger.log(events.sessionLost, {epoch: session.epoch});
			this.#session = undefined;
			this.#freshUntil = Number.NEGATIVE_INFINITY;
			onSessionLost?.(session.epoch);
		} else if (!isRetryable(error)) {
			logger.log(events.viewRejected, {code: error.code, reason: error.message});
		}
	}

	async #renew(): Promise<void> {
		const {clock, group, takeAnnouncedBackends, getEffectiveDigest} = this.#options;
		for (const {id, incarnation} of takeAnnouncedBackends()) {
			this.#announcedBackends.set(id, incarnation);
		}

		const session = this.#session ?? await this.#openSession();
		const announced = this.#announcedBackends;
		const sentAt = clock.now();
		const view = await this.callLeader<View>('renew', {
			group,
			node: session.node,
			epoch: session.epoch,
			knownRevision: this.#revision,
			knownMembership: this.#membership.version,
			knownAssignment: this.#lastAssignment,
			heardBackends: [...announced].map(([id, incarnation]) => ({id, incarnation})),
			effectiveDigest: getEffectiveDigest(),
		}, callTimeoutMs);
		this.#applyView(view);
		this.#announcedBackends = new Map();
		this.#freshUntil = sentAt + maxViewAgeMs;
	}

	async #openSession(): Promise<Session> {
		const session = await this.propose({kind: 'openSession', ...this.#options.session});
		if (this.#isDraining) {
			await this.#drainSession(session);
		}

		this.#session = session;
		this.#options.logger.log(events.sessionOpened, {epoch: session.epoch});
		return session;
	}

	async #drainSession({node, epoch}: Session): Promise<void> {
		await this.propose({kind: 'drainSession', node, epoch});
	}

	#applyView(view: View): void {
		assertInvariant(view.term >= this.#term, `The view of term ${view.term} arrived after one of term ${this.#term}.`);
		assertInvariant(view.revision >= this.#revision, `The configuration revision would decrease from ${this.#revision} to ${view.revision}.`);
		if (view.revision > this.#revision) {
			assertInvariant(view.configuration?.revision === view.revision, `Revision ${view.revision} arrived without its configuration.`);
			this.#options.onConfiguration(view.configuration);
		}

		this.#term = view.term;
		this.#revision = view.revision;
		if (view.membership !== undefined) {
			this.#membership.applyChanges(view.membership, view.membershipVersion);
		}

		if (view.assigned.length > 0) {
			this.#options.onAssigned(view.assigned);
			this.#lastAssignment = Math.max(this.#lastAssignment, ...view.assigned.map(({assignedAt = 0}) => assignedAt));
		}
	}
}

function isRetryable(error: unknown): boolean {
	return [codes.notLeader, codes.timeout, codes.peerUnreachable].some(code => hasCode(error, code));
}

function getLeaderHint(error: unknown): string | undefined {
	return hasCode(error, codes.notLeader) && typeof error.details.leader === 'string' ? error.details.leader : undefined;
}
