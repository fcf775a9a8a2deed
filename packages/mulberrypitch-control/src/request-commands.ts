/** Applies the commands that change requests. */
import type {RecordFacts} from '@mulberrypitch/account/types';
import {
	ConflictError, NotFoundError, StaleEpochError,
} from '@mulberrypitch/errors/catalogue';
import type {LogEntry} from '@mulberrypitch/storage/types';
import type {AccountRecorder} from './account-recorder.js';
import type {Acceptance} from './command-value.js';
import type {CommandOf} from './commands.js';
import type {QuarantineTable} from './quarantine-table.js';
import type {RequestTable} from './request-table.js';
import type {SessionTable} from './session-table.js';
import {ends, type RequestRecord} from './types.js';

/** The parts of the state that request commands read or change. */
export type RequestContext = {
	readonly requests: RequestTable;
	readonly sessions: SessionTable;
	readonly recorder: AccountRecorder;
	readonly quarantine: QuarantineTable;
};

/** Changes requests as commands demand and records each step of a request in the audit log. */
export class RequestCommands {
	readonly #context: RequestContext;

	constructor(context: RequestContext) {
		this.#context = context;
	}

	/**
	Transfers the requests of a host whose session ended to their standbys, or to any other host if there is no standby,
	so that each request still gets an outcome.
	*/
	transferAll(node: string, entry: LogEntry): void {
		for (const request of this.#listInOrder(candidate => candidate.holder === node)) {
			const holder = this.#findNextHolder(request);
			if (holder !== undefined) {
				this.#moveRequest(request, holder, entry);
			}
		}
	}

	/** Assigns to a host with a new session all requests whose holder has no session, and the host's own earlier requests. */
	assignOrphans(node: string, entry: LogEntry): void {
		const {sessions} = this.#context;
		for (const request of this.#listInOrder(({holder}) => holder === node || !sessions.has(holder))) {
			this.#moveRequest(request, node, entry);
		}
	}

	/** Transfers an unfinished request to a host with a session. Returns the request if it was already transferred so. */
	transfer(command: CommandOf<'transferRequest'>, entry: LogEntry): RequestRecord {
		const request = this.#context.requests.require(command.requestId);
		if (request.holder === command.holder && request.epoch === command.epoch + 1) {
			return request;
		}

		this.#requireUnfinished(request, command.epoch);
		if (!this.#context.sessions.has(command.holder)) {
			throw new NotFoundError(`Host ${command.holder} has no session.`);
		}

		return this.#moveRequest(request, command.holder, entry);
	}

	/** Accepts a request. Returns the known request if its id or its idempotency key was accepted before. */
	accept(command: CommandOf<'acceptRequest'>, entry: LogEntry): Acceptance {
		const duplicate = this.#findDuplicate(command);
		if (duplicate !== undefined) {
			return {isDuplicate: duplicate.requestId !== command.requestId, request: duplicate, isSuspect: this.#isSuspect(duplicate, entry)};
		}

		this.#context.quarantine.throwIfQuarantined(command, entry.time);
		this.#context.sessions.require(command.holder, command.holderEpoch);
		const {kind, holderEpoch, entryTime, ...facts} = command;
		const request: RequestRecord = {
			...facts, epoch: 1, copyEpoch: 1, acceptedAt: entry.time, attempts: [],
		};
		this.#context.requests.put(request);
		this.#context.recorder.record({
			...getRequestFacts(request), kind: 'accepted', entryTime, host: request.holder, digest: request.digest,
		}, entry);
		return {isDuplicate: false, request, isSuspect: this.#isSuspect(request, entry)};
	}

	/** Records that an attempt is about to be sent. Throws `ConflictError` if the request may have run and is not idempotent. */
	recordIntent(command: CommandOf<'recordIntent'>, entry: LogEntry): void {
		const request = this.#context.requests.require(command.requestId);
		const recorded = request.attempts.find(attempt => attempt.number === command.attempt);
		if (recorded?.backend === command.backend && request.epoch === command.epoch) {
			return;
		}

		this.#requireUnfinished(request, command.epoch);
		if (command.attempt !== request.attempts.length + 1) {
			throw new ConflictError(`Attempt ${command.attempt} is not the next one.`, 'Read the request again.', {attempts: request.attempts.length});
		}

		if (!request.isIdempotent && request.attempts.some(attempt => !attempt.isNotSent)) {
			throw new ConflictError('The request may have run and may not be repeated.', 'Record its outcome as unknown.', {attempts: request.attempts.length});
		}

		if (command.isSuspect === true) {
			this.#requireIsolation(request, command.backend, entry);
		}

		const attempt = {number: command.attempt, backend: command.backend, isNotSent: false};
		this.#context.requests.put({...request, attempts: [...request.attempts, attempt]});
		this.#context.recorder.record({
			...getRequestFacts(request), kind: 'dispatched', entryTime: command.entryTime, host: request.holder, backend: command.backend, attempt: command.attempt,
		}, entry);
	}

	/** Records that an attempt never reached its back end. */
	recordNotSent(command: CommandOf<'recordNotSent'>): void {
		const request = this.#context.requests.require(command.requestId);
		this.#requireUnfinished(request, command.epoch);
		const attempts = request.attempts.map(attempt => attempt.number === command.attempt ? {...attempt, isNotSent: true} : attempt);
		this.#context.requests.put({...request, attempts});
	}

	/** Changes the standby of a request. */
	changeStandby(command: CommandOf<'changeStandby'>): void {
		const request = this.#context.requests.require(command.requestId);
		this.#requireUnfinished(request, command.epoch);
		this.#context.requests.put({...request, standby: command.standby, copyEpoch: command.epoch});
	}

	/** Records the outcome of a request. Returns the finished request if its holder already recorded an outcome. */
	finish(command: CommandOf<'finishRequest'>, entry: LogEntry): RequestRecord {
		const request = this.#context.requests.require(command.requestId);
		if (request.outcome !== undefined && request.epoch === command.epoch) {
			return request;
		}

		this.#requireUnfinished(request, command.epoch);
		const {outcome} = command;
		const mayHaveRun = request.attempts.some(attempt => !attempt.isNotSent);
		if (outcome.end === ends.notRun && mayHaveRun && !request.isIdempotent) {
			// Reject the command instead of asserting: a faulty holder must not stop the replicas that apply its command.
			throw new ConflictError(`Request ${request.requestId} may have run.`, 'Record its outcome as unknown.', {attempts: request.attempts.length});
		}

		const finished: RequestRecord = {...request, outcome, finishedAt: entry.time};
		this.#context.requests.put(finished);
		if (outcome.end === 'answered') {
			this.#context.quarantine.clear(finished);
		}

		this.#context.recorder.record({
			...getRequestFacts(finished), kind: 'finished', entryTime: command.entryTime, host: finished.holder, end: outcome.end, digest: outcome.digest, lengthBytes: outcome.lengthBytes,
		}, entry);
		return finished;
	}

	/** Returns the standby if it has a session, or another host, preferably one that is not draining. */
	#findNextHolder({holder, standby}: RequestRecord): string | undefined {
		const {sessions} = this.#context;
		if (standby !== undefined && standby !== holder && sessions.has(standby)) {
			return standby;
		}

		const others = sessions.list().filter(({node}) => node !== holder);
		return (others.find(({isDraining}) => !isDraining) ?? others[0])?.node;
	}

	/** Returns matching unfinished requests. The order must not depend on whether this replica was restored from a snapshot. */
	#listInOrder(isIncluded: (request: RequestRecord) => boolean): RequestRecord[] {
		return this.#context.requests.listUnfinished()
			.filter(request => isIncluded(request))
			.toSorted(compareAcceptance);
	}

	/** Reports whether the content of a request may have crashed a back end. */
	#isSuspect({fingerprint}: RequestRecord, entry: LogEntry): boolean {
		return this.#context.quarantine.getCharges(fingerprint, entry.time).length > 0;
	}

	/**
	Throws unless a request that may have crashed a back end can run isolated on another back end. No other such request may be
	running on it, and no request with the same content on any back end. At most one charge may count, and it must be for another
	back end. So the next crash can be attributed to one request.
	*/
	#requireIsolation(request: RequestRecord, backend: string, entry: LogEntry): void {
		const {quarantine, requests} = this.#context;
		quarantine.throwIfQuarantined(request, entry.time);
		const charges = quarantine.getCharges(request.fingerprint, entry.time);
		if (charges.length === 0) {
			return;
		}

		const isAttributionUnclear = charges.length > 1 || charges.some(charge => charge.backend === backend);
		const hasConflictingRequest = requests.listUnfinished().some(other => {
			const attempt = other.attempts.at(-1);
			const isRunning = other.requestId !== request.requestId && attempt?.isNotSent === false;
			return isRunning && (other.fingerprint === request.fingerprint || (attempt.backend === backend && this.#isSuspect(other, entry)));
		});
		if (isAttributionUnclear || hasConflictingRequest) {
			throw new ConflictError('The request may have crashed a back end and must run isolated.', 'Try another back end.', {charges: charges.length});
		}
	}

	/** Makes a host the holder of a request and increases the epoch of the request. */
	#moveRequest(request: RequestRecord, holder: string, entry: LogEntry): RequestRecord {
		const moved: RequestRecord = {
			...request, holder, epoch: request.epoch + 1, assignedAt: entry.index,
		};
		this.#context.requests.put(moved);
		this.#context.recorder.record({
			...getRequestFacts(moved), kind: 'transferred', entryTime: entry.time, host: holder,
		}, entry);
		return moved;
	}

	/** Returns the known request with the same id or idempotency key. Throws `ConflictError` if the key was used for another request. */
	#findDuplicate(command: CommandOf<'acceptRequest'>): RequestRecord | undefined {
		const same = this.#context.requests.get(command.requestId);
		if (same !== undefined || command.idempotencyKey === undefined) {
			return same;
		}

		const earlier = this.#context.requests.findByKey(command.customer, command.service, command.idempotencyKey);
		if (earlier !== undefined && earlier.digest !== command.digest) {
			throw new ConflictError('The idempotency key was used for another request.', 'Use a new key for a new request.', {requestId: earlier.requestId});
		}

		return earlier;
	}

	/** Throws `StaleEpochError` if the request has another holder, and `ConflictError` if it has ended. */
	#requireUnfinished(request: RequestRecord, epoch: number): void {
		if (request.epoch !== epoch) {
			throw new StaleEpochError(`Request ${request.requestId} has another holder.`);
		}

		if (request.outcome !== undefined) {
			throw new ConflictError(`Request ${request.requestId} has ended.`, 'Read its outcome.', {end: request.outcome.end});
		}
	}
}

function getRequestFacts(request: RequestRecord): Pick<RecordFacts, 'requestId' | 'customer' | 'service'> {
	return {requestId: request.requestId, customer: request.customer, service: request.service};
}

function compareAcceptance(left: RequestRecord, right: RequestRecord): number {
	return left.acceptedAt - right.acceptedAt || (left.requestId < right.requestId ? -1 : 1);
}
