/** The replicated state: sessions, back ends, requests, configuration and the head of the audit log's hash chain. */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {ChainHead} from '@mulberrypitch/account/types';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {codes} from '@mulberrypitch/errors/catalogue';
import type {LogEntry} from '@mulberrypitch/storage/types';
import {AccountRecorder} from './account-recorder.js';
import {BackendTable} from './backend-table.js';
import type {Command, CommandOf} from './commands.js';
import {ConfigurationTable, type CapturedConfiguration} from './configuration-table.js';
import {DesiredTable} from './desired-table.js';
import {MembershipFeed} from './membership-feed.js';
import {QuarantineTable, type CapturedQuarantine} from './quarantine-table.js';
import {RequestCommands} from './request-commands.js';
import {RequestTable} from './request-table.js';
import {SessionTable, type CapturedSessions} from './session-table.js';
import type {
	Applied, BackendServer, CommandResult, ConfigurationChange, ConfigurationRevision, DesiredState, MembershipChanges, RequestRecord, Session, StateMachine,
} from './types.js';

/** The whole state as JSON. */
type CapturedState = {
	readonly sessions: CapturedSessions;
	readonly backends: readonly BackendServer[];
	readonly requests: readonly RequestRecord[];
	readonly configuration: CapturedConfiguration;
	readonly desired: ReadonlyArray<readonly [string, DesiredState]>;
	readonly quarantine: CapturedQuarantine;
	readonly membershipVersion: number;
	readonly head: ChainHead;
	readonly accountTime: number;
};

type Handlers = {readonly [Kind in Command['kind']]: (command: CommandOf<Kind>) => unknown};

/** Applies commands in log order. The same entries produce the same state on every replica. */
export class ControlState implements StateMachine {
	readonly #feed = new MembershipFeed();
	readonly #sessions = new SessionTable(this.#feed);
	readonly #backends = new BackendTable(this.#feed);
	readonly #requests = new RequestTable();
	readonly #configuration = new ConfigurationTable();
	readonly #desired = new DesiredTable();
	readonly #quarantine = new QuarantineTable(this.#backends);
	readonly #recorder = new AccountRecorder();
	readonly #requestCommands = new RequestCommands({
		requests: this.#requests, sessions: this.#sessions, recorder: this.#recorder, quarantine: this.#quarantine,
	});

	/** Combined version of sessions and back ends. It increases with each change of either. */
	get membershipVersion(): number {
		return this.#feed.version;
	}

	/** The current configuration, or undefined before the first accepted change. */
	get configuration(): ConfigurationRevision | undefined {
		return this.#configuration.current;
	}

	/** Sites of all hosts that have ever had a session. */
	get sites(): ReadonlySet<string> {
		return this.#sessions.sites;
	}

	/** Sequence number and hash of the last audit record. */
	get head(): ChainHead {
		return this.#recorder.head;
	}

	/** Applies an entry and returns its result with the audit records that it produced. */
	apply(entry: LogEntry): Applied {
		const result = this.#applyCommand(entry);
		this.#requests.removePastRetention(entry.time);
		return {result, records: this.#recorder.takeRecords()};
	}

	/** Returns the open session of a host, or undefined. */
	getSession(node: string): Session | undefined {
		return this.#sessions.get(node);
	}

	listSessions(): readonly Session[] {
		return this.#sessions.list();
	}

	listBackends(): readonly BackendServer[] {
		return this.#backends.list();
	}

	/** Returns a back end, or undefined if it is not known. */
	getBackend(id: string): BackendServer | undefined {
		return this.#backends.get(id);
	}

	/** Returns a request, or undefined if it is not known. */
	getRequest(requestId: string): RequestRecord | undefined {
		return this.#requests.get(requestId);
	}

	/** Returns the request accepted with an idempotency key, or undefined. */
	findByKey(customer: string, service: string, key: string): RequestRecord | undefined {
		return this.#requests.findByKey(customer, service, key);
	}

	/** Returns the unfinished requests whose holder is a host. */
	listHeld(node: string): readonly RequestRecord[] {
		return this.#requests.listHeld(node);
	}

	/** Returns the desired state of a back end, or undefined if it has none. */
	getDesired(backend: string): DesiredState | undefined {
		return this.#desired.get(backend);
	}

	/** Returns the identifiers of the back ends that have a desired state. */
	listDesired(): readonly string[] {
		return this.#desired.list().map(([backend]) => backend);
	}

	/** Returns an accepted change of the configuration by its identifier, or undefined. */
	findChange(changeId: string): ConfigurationChange | undefined {
		return this.#configuration.findChange(changeId);
	}

	/** Returns the changes after a version, or all sessions and back ends if the version is too old. */
	getMembershipSince(version: number): MembershipChanges {
		const changed = this.#feed.getChangesSince(version);
		if (changed === undefined) {
			return {
				isWhole: true, sessions: this.listSessions(), backends: this.listBackends(), endedSessions: [], removedBackends: [],
			};
		}

		const sessions = [...changed.sessions];
		const backends = [...changed.backends];
		return {
			isWhole: false,
			sessions: sessions.flatMap(node => this.#sessions.get(node) ?? []),
			backends: backends.flatMap(id => this.#backends.get(id) ?? []),
			endedSessions: sessions.filter(node => !this.#sessions.has(node)),
			removedBackends: backends.filter(id => this.#backends.get(id) === undefined),
		};
	}

	/** Returns the whole state as JSON that `restore` accepts. */
	capture(): CapturedState {
		return {
			sessions: this.#sessions.capture(),
			backends: this.listBackends(),
			requests: this.#requests.list(),
			configuration: this.#configuration.capture(),
			desired: this.#desired.list(),
			quarantine: this.#quarantine.capture(),
			membershipVersion: this.#feed.version,
			head: this.#recorder.head,
			accountTime: this.#recorder.time,
		};
	}

	/** Replaces the whole state by that of a snapshot. */
	restore(state: unknown): void {
		const captured = assumeType<CapturedState>(state);
		this.#sessions.restore(captured.sessions);
		this.#backends.restore(captured.backends);
		this.#requests.restore(captured.requests);
		this.#configuration.restore(captured.configuration);
		this.#desired.restore(captured.desired);
		this.#quarantine.restore(captured.quarantine);
		this.#feed.restore(captured.membershipVersion);
		this.#recorder.restore(captured.head, captured.accountTime);
	}

	/** Returns the failure of a rejected command. Throws `InvariantError` and unexpected errors. */
	#applyCommand(entry: LogEntry): CommandResult {
		try {
			return {value: this.#dispatch(assumeType<Command>(entry.command), entry)};
		} catch (error) {
			if (error instanceof CodedError && error.code !== codes.invariant) {
				return {failure: error.toWire()};
			}

			throw error;
		}
	}

	#dispatch(command: Command, entry: LogEntry): unknown {
		const handlers = this.#createHandlers(entry);
		return assumeType<(command: Command) => unknown>(handlers[command.kind])(command);
	}

	#createHandlers(entry: LogEntry): Handlers {
		const requests = this.#requestCommands;
		return {
			leaderStarted: () => undefined,
			openSession: command => this.#openSession(command, entry),
			drainSession: ({node, epoch}) => {
				this.#sessions.drain(node, epoch);
			},
			closeSession: ({node, epoch}) => {
				if (this.#sessions.close(node, epoch)) {
					requests.transferAll(node, entry);
				}
			},
			registerBackend: command => {
				const known = this.#backends.get(command.id);
				if (known?.incarnation !== command.incarnation) {
					this.#quarantine.confirmCharges(known, entry.time);
				}

				return this.#backends.register(command);
			},
			leaveBackend: command => {
				this.#backends.markLeaving(command);
			},
			removeBackend: command => {
				const known = this.#backends.get(command.id);
				if (known?.incarnation === command.incarnation && command.cause !== 'left') {
					this.#quarantine.confirmCharges(known, entry.time);
				}

				this.#backends.remove(command);
			},
			acceptRequest: command => requests.accept(command, entry),
			recordIntent(command) {
				requests.recordIntent(command, entry);
			},
			recordNotSent(command) {
				requests.recordNotSent(command);
			},
			changeStandby(command) {
				requests.changeStandby(command);
			},
			transferRequest: command => requests.transfer(command, entry),
			finishRequest: command => requests.finish(command, entry),
			applyConfiguration: command => this.#configuration.apply(command),
			setDesired: command => {
				this.#desired.set(command);
			},
			chargeFingerprint: command => {
				this.#quarantine.charge(command, entry.time);
			},
		};
	}

	#openSession(command: CommandOf<'openSession'>, entry: LogEntry): Session {
		const {session, isNew, isRestart} = this.#sessions.open(command);
		if (isRestart) {
			this.#requestCommands.transferAll(command.node, entry);
		}

		if (isNew) {
			this.#requestCommands.assignOrphans(command.node, entry);
		}

		return session;
	}
}
