/** How an entry host speaks to the control group: batched proposals and the session with its view. */
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
	BackendServer, CommandResult, ConfigurationRevision, Peer, RequestLookup, RequestRecord, Session, View,
} from './types.js';

/** Age up to which an entry may act on its view. Shorter than the session lease by more than any clock drift. */
export const freshnessMs = 2000;
const renewIntervalMs = 500;
const callTimeoutMs = 1000;
const proposeCallTimeoutMs = 4000;
const proposeDeadlineMs = 10_000;
const retryDelayMs = 100;
const maxBatch = 256;
const maxBatchesInFlight = 4;

/** What a client is made of. */
export type ControlClientOptions = {
	readonly group: string;
	readonly replicas: readonly Peer[];
	readonly transport: Transport;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly session: Omit<Session, 'epoch' | 'isDraining'>;
	/** Tells the back ends heard since the last call. */
	readonly takeHeardBackends: () => ReadonlyArray<{id: string; incarnation: string}>;
	/** Digest of the effective configuration in force here. */
	readonly getEffectiveDigest: () => string;
	readonly onConfiguration: (revision: ConfigurationRevision) => void;
	readonly onAssigned: (requests: readonly RequestRecord[]) => void;
	/** Called when the leader has ended the session: what this host still holds may belong to others by now. */
	readonly onSessionLost?: (epoch: number) => void;
};

type Waiting = {
	readonly command: Command;
	readonly done: Deferred<CommandResult>;
};

/** Keeps the session of one entry host. */
export class ControlClient implements Resource {
	readonly #options: ControlClientOptions;
	readonly #resources = new DisposableStore();
	readonly #waiting: Waiting[] = [];
	#sending = 0;
	#leader: string | undefined;
	#session: Session | undefined;
	#freshUntil = Number.NEGATIVE_INFINITY;
	readonly #membership = new MembershipView();
	/** Back ends that the leader was not yet told of. */
	#heard = new Map<string, string>();
	#revision = 0;
	#term = 0;
	/** Log index of the latest request taken over. */
	#assignment = 0;
	#wasFresh = false;

	constructor(options: ControlClientOptions) {
		this.#options = options;
	}

	get sessions(): readonly Session[] {
		return this.#membership.sessions;
	}

	get backends(): readonly BackendServer[] {
		return this.#membership.backends;
	}

	get revision(): number {
		return this.#revision;
	}

	get session(): Session | undefined {
		return this.#session;
	}

	/** Begins to keep the session. */
	start(): void {
		this.#resources.add(new BackgroundTask(async signal => this.#keepSession(signal), error => {
			this.#options.logger.log(events.taskFailed, {reason: getMessage(error)});
		}));
	}

	/** Tells whether this host may act on its view. */
	isFresh(): boolean {
		return this.#session !== undefined && this.#options.clock.now() < this.#freshUntil;
	}

	/** Gives the session, or throws `StaleViewError` when this host may not act on its view. */
	requireFresh(): Session {
		if (this.#session === undefined || !this.isFresh()) {
			throw new StaleViewError(this.#options.clock.now() - this.#freshUntil + freshnessMs);
		}

		return this.#session;
	}

	/** Commits a command and gives its value. Failures of the command are thrown; a lost answer is asked for again. */
	async propose<Kind extends Command['kind']>(command: CommandOf<Kind>): Promise<CommandValue<Kind>> {
		const done = new Deferred<CommandResult>();
		this.#waiting.push({command: assumeType<Command>(command), done});
		void this.#flush();
		const result = await done.promise;
		if (result.failure !== undefined) {
			throw createErrorFromWire(result.failure);
		}

		return assumeType<CommandValue<Kind>>(result.value);
	}

	/** Reads a request from the leader. */
	async lookupRequest(requestId: string): Promise<RequestRecord | undefined> {
		const {request} = await this.callLeader<RequestLookup>('findRequest', {requestId}, callTimeoutMs);
		return request;
	}

	/** Calls a method of the group's leader, wherever it is. */
	async callLeader<Reply>(method: string, parameters: unknown, timeoutMs: number): Promise<Reply> {
		const {clock, group, transport} = this.#options;
		const startedAt = clock.now();
		let failure: unknown;
		for (let attempt = 0; clock.now() - startedAt < proposeDeadlineMs; attempt += 1) {
			const peer = this.#getTarget(attempt);
			try {
				const reply = await transport.call<Reply>(peer.address, `${group}.${method}`, parameters, {timeoutMs});
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

		throw failure instanceof CodedError && failure.code !== codes.notLeader ? failure : new TimeoutError('The control group', proposeDeadlineMs);
	}

	/** Leaves the group; the session ends at once and is not kept any more. */
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

	async dispose(): Promise<void> {
		await this.#resources.dispose();
	}

	/** Sends what waits. Each caller awaits its own commands in order, so batches may overtake each other. */
	async #flush(): Promise<void> {
		if (this.#sending >= maxBatchesInFlight) {
			return;
		}

		this.#sending += 1;
		while (this.#waiting.length > 0) {
			const batch = this.#waiting.splice(0, maxBatch);
			await this.#sendBatch(batch);
		}

		this.#sending -= 1;
	}

	async #sendBatch(batch: readonly Waiting[]): Promise<void> {
		try {
			const commands = batch.map(({command}) => command);
			const results = await this.callLeader<CommandResult[]>('propose', {commands}, proposeCallTimeoutMs);
			assertInvariant(results.length === batch.length, 'Each command has one result.');
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

	async #keepSession(signal: AbortSignal): Promise<void> {
		const {clock, logger} = this.#options;
		while (!signal.aborted) {
			try {
				await this.#renew();
			} catch (error) {
				if (!(error instanceof CodedError)) {
					throw error;
				}

				this.#onFailure(error);
			}

			if (this.#wasFresh && !this.isFresh()) {
				logger.log(events.viewStale);
			}

			this.#wasFresh = this.isFresh();
			await clock.sleep(this.#session === undefined ? retryDelayMs : renewIntervalMs, signal);
		}
	}

	#onFailure(error: CodedError): void {
		const {logger, onSessionLost} = this.#options;
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
		const {clock, group, takeHeardBackends, getEffectiveDigest} = this.#options;
		for (const {id, incarnation} of takeHeardBackends()) {
			this.#heard.set(id, incarnation);
		}

		const session = this.#session ?? await this.#open();
		const heard = this.#heard;
		const sentAt = clock.now();
		const view = await this.callLeader<View>('renew', {
			group,
			node: session.node,
			epoch: session.epoch,
			knownRevision: this.#revision,
			knownMembership: this.#membership.version,
			knownAssignment: this.#assignment,
			heardBackends: [...heard].map(([id, incarnation]) => ({id, incarnation})),
			effectiveDigest: getEffectiveDigest(),
		}, callTimeoutMs);
		this.#take(view);
		this.#heard = new Map();
		this.#freshUntil = sentAt + freshnessMs;
	}

	async #open(): Promise<Session> {
		const session = await this.propose({kind: 'openSession', ...this.#options.session});
		this.#session = session;
		this.#options.logger.log(events.sessionOpened, {epoch: session.epoch});
		return session;
	}

	#take(view: View): void {
		assertInvariant(view.term >= this.#term, `The view of term ${view.term} came after one of term ${this.#term}.`);
		assertInvariant(view.revision >= this.#revision, `Revision ${this.#revision} would go back to ${view.revision}.`);
		if (view.revision > this.#revision) {
			assertInvariant(view.configuration?.revision === view.revision, `Revision ${view.revision} came without its texts.`);
			this.#options.onConfiguration(view.configuration);
		}

		this.#term = view.term;
		this.#revision = view.revision;
		if (view.membership !== undefined) {
			this.#membership.take(view.membership, view.membershipVersion);
		}

		if (view.assigned.length > 0) {
			this.#options.onAssigned(view.assigned);
			this.#assignment = Math.max(this.#assignment, ...view.assigned.map(({assignedAt = 0}) => assignedAt));
		}
	}
}

function isRetryable(error: unknown): boolean {
	return [codes.notLeader, codes.timeout, codes.peerUnreachable].some(code => hasCode(error, code));
}

function getLeaderHint(error: unknown): string | undefined {
	return hasCode(error, codes.notLeader) && typeof error.details.leader === 'string' ? error.details.leader : undefined;
}
