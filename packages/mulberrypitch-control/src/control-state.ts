/** The replicated state: sessions, back ends, requests, configuration and the chain head of the account. */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {createRecord, emptyHead} from '@mulberrypitch/account/chain';
import type {AccountRecord, ChainHead, RecordFacts} from '@mulberrypitch/account/types';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {
	assertInvariant, codes, ConflictError, NotFoundError, StaleEpochError,
} from '@mulberrypitch/errors/catalogue';
import type {LogEntry} from '@mulberrypitch/storage/types';
import type {Acceptance} from './command-value.js';
import type {Command, CommandOf} from './commands.js';
import type {
	Applied, BackendServer, CommandResult, ConfigurationRevision, RequestRecord, Session, StateMachine,
} from './types.js';

const retentionMs = 60_000;
const keyedRetentionMs = 24 * 60 * 60_000;

/** The JSON form of the whole state. */
type CapturedState = {
	readonly sessions: readonly Session[];
	readonly backends: readonly BackendServer[];
	readonly requests: readonly RequestRecord[];
	readonly configuration?: ConfigurationRevision;
	readonly changes: ReadonlyArray<readonly [string, ConfigurationRevision]>;
	readonly epochs: number;
	readonly membershipVersion: number;
	readonly head: ChainHead;
};

/** Applies commands in log order. The same entries give the same state on every replica. */
export class ControlState implements StateMachine {
	readonly #sessions = new Map<string, Session>();
	readonly #backends = new Map<string, BackendServer>();
	readonly #requests = new Map<string, RequestRecord>();
	readonly #keys = new Map<string, string>();
	readonly #heldBy = new Map<string, Set<string>>();
	readonly #finished: RequestRecord[] = [];
	readonly #finishedKeyed: RequestRecord[] = [];
	readonly #changes = new Map<string, ConfigurationRevision>();
	#configuration: ConfigurationRevision | undefined;
	#epochs = 0;
	#membershipVersion = 0;
	#head: ChainHead = emptyHead;
	#pending: AccountRecord[] = [];

	/** Version of sessions and back ends together; grows with each change of either. */
	get membershipVersion(): number {
		return this.#membershipVersion;
	}

	get configuration(): ConfigurationRevision | undefined {
		return this.#configuration;
	}

	/** Sequence and hash of the last account record. */
	get head(): ChainHead {
		return this.#head;
	}

	apply(entry: LogEntry): Applied {
		this.#pending = [];
		const result = this.#applyCommand(entry);
		this.#dropExpired(entry.time);
		return {result, records: this.#pending};
	}

	getSession(node: string): Session | undefined {
		return this.#sessions.get(node);
	}

	listSessions(): readonly Session[] {
		return [...this.#sessions.values()];
	}

	listBackends(): readonly BackendServer[] {
		return [...this.#backends.values()];
	}

	getBackend(id: string): BackendServer | undefined {
		return this.#backends.get(id);
	}

	getRequest(requestId: string): RequestRecord | undefined {
		return this.#requests.get(requestId);
	}

	/** Finds the request of an idempotency key. */
	findByKey(customer: string, service: string, key: string): RequestRecord | undefined {
		const requestId = this.#keys.get(getKeyName(customer, service, key));
		return requestId === undefined ? undefined : this.#requests.get(requestId);
	}

	/** Lists the unfinished requests of a node. */
	listHeld(node: string): readonly RequestRecord[] {
		return [...this.#heldBy.get(node) ?? []].map(requestId => this.#requests.get(requestId)!);
	}

	capture(): CapturedState {
		return {
			sessions: this.listSessions(),
			backends: this.listBackends(),
			requests: [...this.#requests.values()],
			...(this.#configuration !== undefined && {configuration: this.#configuration}),
			changes: [...this.#changes],
			epochs: this.#epochs,
			membershipVersion: this.#membershipVersion,
			head: this.#head,
		};
	}

	restore(state: unknown): void {
		const captured = assumeType<CapturedState>(state);
		this.#clear();
		for (const session of captured.sessions) {
			this.#sessions.set(session.node, session);
		}

		for (const backend of captured.backends) {
			this.#backends.set(backend.id, backend);
		}

		for (const request of captured.requests) {
			this.#restoreRequest(request);
		}

		this.#finished.sort(compareFinish);
		this.#finishedKeyed.sort(compareFinish);
		for (const [changeId, revision] of captured.changes) {
			this.#changes.set(changeId, revision);
		}

		this.#configuration = captured.configuration;
		this.#epochs = captured.epochs;
		this.#membershipVersion = captured.membershipVersion;
		this.#head = captured.head;
	}

	#clear(): void {
		for (const map of [this.#sessions, this.#backends, this.#requests, this.#keys, this.#heldBy, this.#changes]) {
			map.clear();
		}

		this.#finished.length = 0;
		this.#finishedKeyed.length = 0;
	}

	#restoreRequest(request: RequestRecord): void {
		this.#requests.set(request.requestId, request);
		if (request.idempotencyKey !== undefined) {
			this.#keys.set(getKeyName(request.customer, request.service, request.idempotencyKey), request.requestId);
		}

		if (request.outcome === undefined) {
			this.#getHeldBy(request.holder).add(request.requestId);
			return;
		}

		this.#getFinishedQueue(request).push(request);
	}

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
		const handlers: {readonly [Kind in Command['kind']]: (command: CommandOf<Kind>) => unknown} = this.#createHandlers(entry);
		return assumeType<(command: Command) => unknown>(handlers[command.kind])(command);
	}

	#createHandlers(entry: LogEntry): {readonly [Kind in Command['kind']]: (command: CommandOf<Kind>) => unknown} {
		return {
			leaderStarted: () => undefined,
			openSession: command => this.#openSession(command, entry),
			drainSession: command => {
				this.#drainSession(command);
			},
			closeSession: command => {
				this.#closeSession(command, entry);
			},
			registerBackend: command => this.#registerBackend(command),
			leaveBackend: command => {
				this.#leaveBackend(command);
			},
			removeBackend: command => {
				this.#removeBackend(command);
			},
			acceptRequest: command => this.#acceptRequest(command, entry),
			recordIntent: command => {
				this.#recordIntent(command, entry);
			},
			recordNotSent: command => {
				this.#recordNotSent(command);
			},
			changeStandby: command => {
				this.#changeStandby(command);
			},
			transferRequest: command => this.#transferOne(command, entry),
			finishRequest: command => this.#finishRequest(command, entry),
			applyConfiguration: command => this.#applyConfiguration(command),
		};
	}

	#openSession(command: CommandOf<'openSession'>, entry: LogEntry): Session {
		const known = this.#sessions.get(command.node);
		if (known?.incarnation === command.incarnation) {
			return known;
		}

		if (known !== undefined) {
			this.#transferAll(command.node, entry);
		}

		const {kind, ...facts} = command;
		this.#epochs += 1;
		const session: Session = {...facts, epoch: this.#epochs, isDraining: false};
		this.#sessions.set(session.node, session);
		this.#membershipVersion += 1;
		this.#adoptOrphans(session.node, entry);
		return session;
	}

	#drainSession(command: CommandOf<'drainSession'>): void {
		const session = this.#requireSession(command.node, command.epoch);
		this.#sessions.set(session.node, {...session, isDraining: true});
		this.#membershipVersion += 1;
	}

	#closeSession(command: CommandOf<'closeSession'>, entry: LogEntry): void {
		const session = this.#sessions.get(command.node);
		if (session?.epoch !== command.epoch) {
			return;
		}

		this.#sessions.delete(command.node);
		this.#membershipVersion += 1;
		this.#transferAll(command.node, entry);
	}

	#transferAll(node: string, entry: LogEntry): void {
		for (const request of this.listHeld(node)) {
			const holder = this.#findNextHolder(request);
			if (holder !== undefined) {
				this.#moveRequest(request, holder, entry);
			}
		}
	}

	/** Chooses the standby, or any other host when holder and standby are both lost, so that the request still ends. */
	#findNextHolder({holder, standby}: RequestRecord): string | undefined {
		if (standby !== undefined && standby !== holder && this.#sessions.has(standby)) {
			return standby;
		}

		const others = this.listSessions().filter(({node}) => node !== holder);
		return (others.find(({isDraining}) => !isDraining) ?? others[0])?.node;
	}

	/** Gives a new host the requests that no host with a session holds. */
	#adoptOrphans(node: string, entry: LogEntry): void {
		const lost = [...this.#heldBy.keys()].filter(holder => holder === node || !this.#sessions.has(holder));
		for (const request of lost.flatMap(holder => this.listHeld(holder))) {
			this.#moveRequest(request, node, entry);
		}
	}

	#transferOne(command: CommandOf<'transferRequest'>, entry: LogEntry): RequestRecord {
		const request = this.#requireRequest(command.requestId);
		if (request.holder === command.holder && request.epoch === command.epoch + 1) {
			return request;
		}

		this.#requireUnfinished(request, command.epoch);
		if (!this.#sessions.has(command.holder)) {
			throw new NotFoundError(`Host ${command.holder} has no session.`);
		}

		return this.#moveRequest(request, command.holder, entry);
	}

	#moveRequest(request: RequestRecord, holder: string, entry: LogEntry): RequestRecord {
		this.#heldBy.get(request.holder)?.delete(request.requestId);
		const moved: RequestRecord = {...request, holder, epoch: request.epoch + 1};
		this.#requests.set(moved.requestId, moved);
		this.#getHeldBy(holder).add(moved.requestId);
		this.#record({
			...getRequestFacts(moved), kind: 'transferred', entryTime: entry.time, host: holder,
		}, entry);
		return moved;
	}

	#registerBackend(command: CommandOf<'registerBackend'>): BackendServer {
		const known = this.#backends.get(command.id);
		if (known?.incarnation === command.incarnation) {
			return known;
		}

		const {kind, backendKind, ...facts} = command;
		const backend: BackendServer = {...facts, kind: backendKind, isLeaving: false};
		this.#backends.set(backend.id, backend);
		this.#membershipVersion += 1;
		return backend;
	}

	#leaveBackend(command: CommandOf<'leaveBackend'>): void {
		const known = this.#backends.get(command.id);
		if (known?.incarnation !== command.incarnation || known.isLeaving) {
			return;
		}

		this.#backends.set(known.id, {...known, isLeaving: true, leavesAt: command.leavesAt});
		this.#membershipVersion += 1;
	}

	#removeBackend(command: CommandOf<'removeBackend'>): void {
		if (this.#backends.get(command.id)?.incarnation === command.incarnation) {
			this.#backends.delete(command.id);
			this.#membershipVersion += 1;
		}
	}

	#acceptRequest(command: CommandOf<'acceptRequest'>, entry: LogEntry): Acceptance {
		const duplicate = this.#findDuplicate(command);
		if (duplicate !== undefined) {
			return {isDuplicate: duplicate.requestId !== command.requestId, request: duplicate};
		}

		this.#requireSession(command.holder, command.holderEpoch);
		const {kind, holderEpoch, entryTime, ...facts} = command;
		const request: RequestRecord = {
			...facts, epoch: 1, copyEpoch: 1, acceptedAt: entry.time, attempts: [],
		};
		this.#requests.set(request.requestId, request);
		this.#getHeldBy(request.holder).add(request.requestId);
		if (request.idempotencyKey !== undefined) {
			this.#keys.set(getKeyName(request.customer, request.service, request.idempotencyKey), request.requestId);
		}

		this.#record({
			...getRequestFacts(request), kind: 'accepted', entryTime, host: request.holder, digest: request.digest,
		}, entry);
		return {isDuplicate: false, request};
	}

	#findDuplicate(command: CommandOf<'acceptRequest'>): RequestRecord | undefined {
		const same = this.#requests.get(command.requestId);
		if (same !== undefined || command.idempotencyKey === undefined) {
			return same;
		}

		const earlier = this.findByKey(command.customer, command.service, command.idempotencyKey);
		if (earlier !== undefined && earlier.digest !== command.digest) {
			throw new ConflictError('The idempotency key was used for another request.', 'Use a new key for a new request.', {requestId: earlier.requestId});
		}

		return earlier;
	}

	#recordIntent(command: CommandOf<'recordIntent'>, entry: LogEntry): void {
		const request = this.#requireRequest(command.requestId);
		const known = request.attempts.find(attempt => attempt.number === command.attempt);
		if (known?.backend === command.backend && request.epoch === command.epoch) {
			return;
		}

		this.#requireUnfinished(request, command.epoch);
		if (command.attempt !== request.attempts.length + 1) {
			throw new ConflictError(`Attempt ${command.attempt} is not the next one.`, 'Read the request again.', {attempts: request.attempts.length});
		}

		if (!request.isIdempotent && request.attempts.some(attempt => !attempt.isNotSent)) {
			throw new ConflictError('The request may have run and may not be repeated.', 'Record its outcome as unknown.', {attempts: request.attempts.length});
		}

		const attempt = {number: command.attempt, backend: command.backend, isNotSent: false};
		this.#requests.set(request.requestId, {...request, attempts: [...request.attempts, attempt]});
		this.#record({
			...getRequestFacts(request), kind: 'dispatched', entryTime: command.entryTime, host: request.holder, backend: command.backend, attempt: command.attempt,
		}, entry);
	}

	#recordNotSent(command: CommandOf<'recordNotSent'>): void {
		const request = this.#requireRequest(command.requestId);
		this.#requireUnfinished(request, command.epoch);
		const attempts = request.attempts.map(attempt => attempt.number === command.attempt ? {...attempt, isNotSent: true} : attempt);
		this.#requests.set(request.requestId, {...request, attempts});
	}

	#changeStandby(command: CommandOf<'changeStandby'>): void {
		const request = this.#requireRequest(command.requestId);
		this.#requireUnfinished(request, command.epoch);
		this.#requests.set(request.requestId, {...request, standby: command.standby, copyEpoch: command.epoch});
	}

	#finishRequest(command: CommandOf<'finishRequest'>, entry: LogEntry): RequestRecord {
		const request = this.#requireRequest(command.requestId);
		if (request.outcome !== undefined && request.epoch === command.epoch) {
			return request;
		}

		this.#requireUnfinished(request, command.epoch);
		const {outcome} = command;
		const mayHaveRun = request.attempts.some(attempt => !attempt.isNotSent);
		assertInvariant(outcome.end !== 'notRun' || !mayHaveRun || request.isIdempotent, `Request ${request.requestId} may have run.`);
		const finished: RequestRecord = {...request, outcome, finishedAt: entry.time};
		this.#requests.set(finished.requestId, finished);
		this.#heldBy.get(finished.holder)?.delete(finished.requestId);
		this.#getFinishedQueue(finished).push(finished);
		this.#record({
			...getRequestFacts(finished), kind: 'finished', entryTime: command.entryTime, host: finished.holder, end: outcome.end, digest: outcome.digest, lengthBytes: outcome.lengthBytes,
		}, entry);
		return finished;
	}

	#applyConfiguration(command: CommandOf<'applyConfiguration'>): ConfigurationRevision {
		const known = this.#changes.get(command.changeId);
		if (known !== undefined) {
			return known;
		}

		const current = this.#configuration;
		const revision = current?.revision ?? 0;
		if (command.expectedRevision !== revision) {
			throw new ConflictError(`Revision ${revision} is in force, not ${command.expectedRevision}.`, 'Read the configuration in force, merge, and apply again.', {
				revision, winner: current?.operator ?? '', changeId: current?.changeId ?? '',
			});
		}

		const accepted: ConfigurationRevision = {
			revision: revision + 1, changeId: command.changeId, operator: command.operator, digest: command.digest, files: command.files,
		};
		this.#configuration = accepted;
		this.#changes.set(command.changeId, accepted);
		return accepted;
	}

	#requireSession(node: string, epoch: number): Session {
		const session = this.#sessions.get(node);
		if (session?.epoch !== epoch) {
			throw new StaleEpochError(`The session ${epoch} of host ${node} has ended.`);
		}

		return session;
	}

	#requireRequest(requestId: string): RequestRecord {
		const request = this.#requests.get(requestId);
		if (request === undefined) {
			throw new NotFoundError(`Request ${requestId} is not known.`);
		}

		return request;
	}

	#requireUnfinished(request: RequestRecord, epoch: number): void {
		if (request.epoch !== epoch) {
			throw new StaleEpochError(`Request ${request.requestId} has another holder.`);
		}

		if (request.outcome !== undefined) {
			throw new ConflictError(`Request ${request.requestId} has ended.`, 'Read its outcome.', {end: request.outcome.end});
		}
	}

	#record(facts: Omit<RecordFacts, 'position' | 'controlTime'>, entry: LogEntry): void {
		const record = createRecord(this.#head, {...facts, position: entry.index, controlTime: entry.time});
		this.#head = {sequence: record.sequence, hash: record.hash};
		this.#pending.push(record);
	}

	#dropExpired(now: number): void {
		this.#dropOlder(this.#finished, now - retentionMs);
		this.#dropOlder(this.#finishedKeyed, now - keyedRetentionMs);
	}

	#dropOlder(queue: RequestRecord[], before: number): void {
		let count = 0;
		while (count < queue.length && queue[count]!.finishedAt! < before) {
			this.#dropRequest(queue[count]!);
			count += 1;
		}

		if (count > 0) {
			queue.splice(0, count);
		}
	}

	#dropRequest(request: RequestRecord): void {
		this.#requests.delete(request.requestId);
		if (request.idempotencyKey !== undefined) {
			this.#keys.delete(getKeyName(request.customer, request.service, request.idempotencyKey));
		}
	}

	#getFinishedQueue(request: RequestRecord): RequestRecord[] {
		return request.idempotencyKey === undefined ? this.#finished : this.#finishedKeyed;
	}

	#getHeldBy(node: string): Set<string> {
		let held = this.#heldBy.get(node);
		if (held === undefined) {
			held = new Set();
			this.#heldBy.set(node, held);
		}

		return held;
	}
}

function getRequestFacts(request: RequestRecord): Pick<RecordFacts, 'requestId' | 'customer' | 'service'> {
	return {requestId: request.requestId, customer: request.customer, service: request.service};
}

function getKeyName(customer: string, service: string, key: string): string {
	return JSON.stringify([customer, service, key]);
}

function compareFinish(left: RequestRecord, right: RequestRecord): number {
	return left.finishedAt! - right.finishedAt!;
}
