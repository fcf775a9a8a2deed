/** The methods that a control host serves: proposals, session renewals, look-ups of requests, status and the audit log. */
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {
	assertInvariant, BadRequestError, codes, NotLeaderError, ProtocolError, StaleEpochError,
} from '@mulberrypitch/errors/catalogue';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {Transport} from '@mulberrypitch/transport/types';
import type {AccountStore} from '@mulberrypitch/account/account-store';
import {getMessage, hasCode} from '@mulberrypitch/errors/coded-error';
import {validateConfigurationFiles} from '@mulberrypitch/config/shared-configuration';
import {commandSchema, type Command, type CommandOf} from './commands.js';
import type {ControlState} from './control-state.js';
import {EffectiveDigests} from './effective-digests.js';
import type {Replica} from './replica.js';
import type {
	AccountPart, CommandResult, ControlOverview, NodeConfiguration, ReplicaStatus, FindRequestReply, View,
} from './types.js';
import {
	accountReadSchema, emptySchema, proposalSchema, renewalSchema, findRequestSchema, type Renewal,
} from './messages.js';

/** Time without a renewal after which the leader ends a session, in milliseconds. */
export const sessionLeaseMs = 4000;
/** Time without an announcement after which the leader removes a back end, in milliseconds. */
const backendLeaseMs = 5000;
const leaseCheckIntervalMs = 250;
/** Longest normal interval between two checks of the leases. A longer one means that the process was suspended or overloaded. */
const maxLeaseCheckGapMs = 1500;
const maxRecordsPerCall = 1000;

/** Dependencies of the service. */
export type ControlServiceOptions = {
	readonly group: string;
	readonly name: string;
	readonly replica: Replica;
	readonly state: ControlState;
	readonly account: AccountStore;
	readonly transport: Transport;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Report of a host in its last renewal. */
type NodeStatus = {
	renewedAt: number;
	revision: number;
	digest: string;
};

/** Serves the state of one replica. Calls that need current state are answered only by a leader with a valid lease. */
export class ControlService implements Resource {
	readonly #options: ControlServiceOptions;
	readonly #resources = new DisposableStore();
	readonly #nodeStatuses = new Map<string, NodeStatus>();
	/** Time of the last announcement of a back end, by identifier and incarnation. */
	readonly #lastAnnouncedAt = new Map<string, number>();
	readonly #digests = new EffectiveDigests();
	/** Term in which this replica last restarted the leases, or 0 while it has no valid leader lease. */
	#leadingTerm = 0;
	#lastCheckAt = Number.NEGATIVE_INFINITY;

	constructor(options: ControlServiceOptions) {
		this.#options = options;
	}

	/** Registers the methods and starts to check the leases of sessions and back ends. */
	start(): void {
		const {transport, group} = this.#options;
		transport.handle(`${group}.propose`, proposalSchema, async ({commands}) => this.#onPropose(commands));
		transport.handle(`${group}.renew`, renewalSchema, async renewal => this.#onRenew(renewal));
		transport.handle(`${group}.findRequest`, findRequestSchema, async ({requestId}) => this.#onFindRequest(requestId));
		transport.handle(`${group}.overview`, emptySchema, async () => this.#onOverview());
		transport.handle(`${group}.status`, emptySchema, async () => this.getStatus());
		transport.handle(`${group}.account`, accountReadSchema, async ({from}) => this.#onAccount(from));
		this.#resources.add(new BackgroundTask(async signal => this.#checkLeases(signal), error => {
			this.#options.logger.log(events.taskFailed, {reason: getMessage(error)});
		}));
	}

	/** Returns the status of this replica, for operators. */
	getStatus(): ReplicaStatus {
		const {replica, name, clock} = this.#options;
		const now = clock.now();
		return {
			name,
			role: replica.role,
			term: replica.term,
			...(replica.leader !== undefined && {leader: replica.leader}),
			commitIndex: replica.commitIndex,
			lastIndex: replica.lastIndex,
			appliedIndex: replica.appliedIndex,
			nodes: [...this.#nodeStatuses].map(([node, status]) => this.#describeNode(node, status, now)),
		};
	}

	async dispose(): Promise<void> {
		await this.#resources.dispose();
	}

	#describeNode(node: string, status: NodeStatus, now: number): NodeConfiguration {
		const {state} = this.#options;
		const site = state.getSession(node)?.site ?? '';
		return {
			node,
			site,
			revision: status.revision,
			digest: status.digest,
			expectedDigest: this.#digests.get(state.configuration, site),
			ageMs: Math.round(now - status.renewedAt),
		};
	}

	async #onPropose(proposed: readonly unknown[]): Promise<CommandResult[]> {
		const commands = parseCommands(proposed);
		return Promise.all(commands.map(async command => this.#proposeChecked(command)));
	}

	async #proposeChecked(command: Command): Promise<CommandResult> {
		if (command.kind !== 'applyConfiguration') {
			return this.#options.replica.propose(command);
		}

		this.#requireLease();
		try {
			return await this.#options.replica.propose(this.#checkConfiguration(command));
		} catch (error) {
			if (hasCode(error, codes.settings)) {
				return {failure: error.toWire()};
			}

			throw error;
		}
	}

	/**
	Returns the command with the digest of the effective configurations. Throws `SettingsError` if any overlay is invalid. Returns
	a change that was accepted before as it is, so that it gets its first result again.
	*/
	#checkConfiguration(command: CommandOf<'applyConfiguration'>): CommandOf<'applyConfiguration'> {
		const {state} = this.#options;
		if (state.findChange(command.changeId) !== undefined) {
			return command;
		}

		return {...command, digest: validateConfigurationFiles(command.files, state.sites)};
	}

	async #onRenew(renewal: Renewal): Promise<View> {
		this.#requireLease();
		const {state, clock, group} = this.#options;
		if (renewal.group !== group) {
			throw new ProtocolError(`Group ${renewal.group} is not served here.`);
		}

		if (state.getSession(renewal.node)?.epoch !== renewal.epoch) {
			throw new StaleEpochError(`The session ${renewal.epoch} of host ${renewal.node} has ended.`);
		}

		const now = clock.now();
		this.#nodeStatuses.set(renewal.node, {renewedAt: now, revision: renewal.knownRevision, digest: renewal.effectiveDigest});
		for (const announced of renewal.heardBackends) {
			this.#lastAnnouncedAt.set(getIncarnationKey(announced), now);
		}

		return this.#createView(renewal);
	}

	#createView(renewal: Renewal): View {
		const {state, replica} = this.#options;
		const revision = state.configuration?.revision ?? 0;
		assertInvariant(revision >= renewal.knownRevision, `Host ${renewal.node} reports revision ${renewal.knownRevision}, but the current one is ${revision}.`);
		const isConfigurationNew = revision > renewal.knownRevision;
		const isMembershipNew = state.membershipVersion !== renewal.knownMembership;
		return {
			term: replica.term,
			revision,
			...(isConfigurationNew && {configuration: state.configuration!}),
			membershipVersion: state.membershipVersion,
			...(isMembershipNew && {membership: state.getMembershipSince(renewal.knownMembership)}),
			assigned: state.listHeld(renewal.node).filter(({assignedAt = 0}) => assignedAt > renewal.knownAssignment),
		};
	}

	async #onFindRequest(requestId: string): Promise<FindRequestReply> {
		this.#requireLease();
		const request = this.#options.state.getRequest(requestId);
		return request === undefined ? {} : {request};
	}

	async #onOverview(): Promise<ControlOverview> {
		this.#requireLease();
		const {configuration, head} = this.#options.state;
		return {...(configuration !== undefined && {configuration}), head};
	}

	/** Returns records of the audit log after all of them are synced to the disk. */
	async #onAccount(from: number): Promise<AccountPart> {
		const {account} = this.#options;
		await account.sync();
		return {records: account.read(from, maxRecordsPerCall), head: account.getHead()};
	}

	/** Throws `NotLeaderError` unless this replica leads with a valid lease. */
	#requireLease(): void {
		const {replica} = this.#options;
		if (!replica.hasLease()) {
			throw new NotLeaderError(replica.leader);
		}
	}

	async #checkLeases(signal: AbortSignal): Promise<void> {
		const {replica, clock} = this.#options;
		while (!signal.aborted) {
			await clock.sleep(leaseCheckIntervalMs, signal);
			if (!replica.hasLease()) {
				this.#leadingTerm = 0;
				continue;
			}

			const isLate = clock.now() - this.#lastCheckAt > maxLeaseCheckGapMs;
			this.#lastCheckAt = clock.now();
			if (this.#leadingTerm !== replica.term || isLate) {
				this.#restartLeases(replica.term);
			}

			this.#expireLeases();
		}
	}

	/**
	Restarts the leases of all sessions and back ends. A new leader does not know earlier renewals, and a leader that was suspended or
	partitioned may have missed some.
	*/
	#restartLeases(term: number): void {
		const {state, clock} = this.#options;
		this.#leadingTerm = term;
		this.#nodeStatuses.clear();
		this.#lastAnnouncedAt.clear();
		const now = clock.now();
		for (const session of state.listSessions()) {
			this.#nodeStatuses.set(session.node, {renewedAt: now, revision: 0, digest: ''});
		}
	}

	#expireLeases(): void {
		this.#removeStaleLeases();
		const commands = [...this.#findExpiredSessions(), ...this.#findSilentBackends()];
		// The checks continue while these commit. Proposing a command again is harmless.
		void Promise.allSettled(commands.map(async command => this.#options.replica.propose(command)));
	}

	#removeStaleLeases(): void {
		const {state} = this.#options;
		for (const node of this.#nodeStatuses.keys()) {
			if (state.getSession(node) === undefined) {
				this.#nodeStatuses.delete(node);
			}
		}

		const present = new Set(state.listBackends().map(backend => getIncarnationKey(backend)));
		for (const key of this.#lastAnnouncedAt.keys()) {
			if (!present.has(key)) {
				this.#lastAnnouncedAt.delete(key);
			}
		}
	}

	#findExpiredSessions(): Command[] {
		const {state, clock, logger} = this.#options;
		const now = clock.now();
		const commands: Command[] = [];
		for (const session of state.listSessions()) {
			const status = this.#nodeStatuses.get(session.node) ?? this.#startSessionLease(session.node);
			if (now - status.renewedAt > sessionLeaseMs) {
				logger.log(events.sessionExpired, {node: session.node, epoch: session.epoch});
				commands.push({
					kind: 'closeSession', node: session.node, epoch: session.epoch, cause: 'expired',
				});
			}
		}

		return commands;
	}

	#findSilentBackends(): Command[] {
		const {state, clock, logger} = this.#options;
		const now = clock.now();
		const commands: Command[] = [];
		for (const backend of state.listBackends()) {
			const key = getIncarnationKey(backend);
			const announcedAt = this.#lastAnnouncedAt.get(key) ?? now;
			this.#lastAnnouncedAt.set(key, announcedAt);
			if (now - announcedAt > backendLeaseMs) {
				logger.log(events.backendRemoved, {backend: backend.id, cause: 'silent'});
				commands.push({
					kind: 'removeBackend', id: backend.id, incarnation: backend.incarnation, cause: 'silent',
				});
			}
		}

		return commands;
	}

	#startSessionLease(node: string): NodeStatus {
		const status = {renewedAt: this.#options.clock.now(), revision: 0, digest: ''};
		this.#nodeStatuses.set(node, status);
		return status;
	}
}

function getIncarnationKey({id, incarnation}: {readonly id: string; readonly incarnation: string}): string {
	return `${id}/${incarnation}`;
}

function parseCommands(commands: readonly unknown[]): Command[] {
	return commands.map(command => {
		const parsed = commandSchema.safeParse(command);
		if (!parsed.success) {
			const issue = parsed.error.issues[0]!;
			throw new BadRequestError(`A command is not valid: ${issue.path.join('.')} ${issue.message}.`);
		}

		return parsed.data;
	});
}
