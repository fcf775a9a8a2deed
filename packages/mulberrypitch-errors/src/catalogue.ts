/** The failure types of the system. Codes are part of the public interface and don't change. */
import {CodedError, type FailureDetails, type FailureOptions} from './coded-error.js';

/** Stable codes of all failures. */
export const codes = {
	badRequest: 'bad_request',
	unauthorized: 'unauthorized',
	notFound: 'not_found',
	conflict: 'conflict',
	tooLarge: 'too_large',
	overloaded: 'overloaded',
	draining: 'draining',
	staleView: 'stale_view',
	noBackend: 'no_backend',
	notRun: 'not_run',
	outcomeUnknown: 'outcome_unknown',
	quarantined: 'quarantined',
	deadlineExceeded: 'deadline_exceeded',
	notLeader: 'not_leader',
	staleEpoch: 'stale_epoch',
	timeout: 'timeout',
	peerUnreachable: 'peer_unreachable',
	protocol: 'protocol',
	settings: 'settings',
	listen: 'listen',
	storage: 'storage',
	corruptLog: 'corrupt_log',
	invariant: 'invariant',
	backendFailed: 'backend_failed',
	internal: 'internal',
} as const;

/** A request that can't be understood or is out of bounds. */
export class BadRequestError extends CodedError {
	override readonly name = 'BadRequestError';

	constructor(message: string, nextStep = 'Correct the request and send it again.') {
		super(codes.badRequest, message, nextStep);
	}
}

/** A caller, operator or process that did not prove who it is. */
export class UnauthorizedError extends CodedError {
	override readonly name = 'UnauthorizedError';

	constructor(message: string) {
		super(codes.unauthorized, message, 'Send a valid key in the Authorization header.');
	}
}

/** A thing that is not known here. */
export class NotFoundError extends CodedError {
	override readonly name = 'NotFoundError';

	constructor(message: string, nextStep = 'Check the name or identifier.') {
		super(codes.notFound, message, nextStep);
	}
}

/** A change that lost against another one. */
export class ConflictError extends CodedError {
	override readonly name = 'ConflictError';

	constructor(message: string, nextStep: string, details: FailureDetails) {
		super(codes.conflict, message, nextStep, {details});
	}
}

/** A body, header or frame over its bound, in bytes. */
export class TooLargeError extends CodedError {
	override readonly name = 'TooLargeError';

	constructor(what: string, limitBytes: number) {
		super(codes.tooLarge, `${what} is larger than ${limitBytes} bytes.`, 'Send less at a time.', {details: {limitBytes}});
	}
}

/** A request refused before it was accepted, with the time to come back. */
export class OverloadedError extends CodedError {
	override readonly name = 'OverloadedError';

	constructor(message: string, retryAfterSeconds: number) {
		super(codes.overloaded, message, `Try again in ${retryAfterSeconds} s.`, {details: {retryAfterSeconds}});
	}
}

/** A host that takes no new requests because it stops. */
export class DrainingError extends CodedError {
	override readonly name = 'DrainingError';

	constructor() {
		super(codes.draining, 'This host is stopping.', 'Ask GET /v1/entries for another address.', {details: {retryAfterSeconds: 1}});
	}
}

/** A host whose view of the system is too old to act on. */
export class StaleViewError extends CodedError {
	override readonly name = 'StaleViewError';

	constructor(ageMs: number) {
		super(codes.staleView, `This host's view is ${Math.round(ageMs)} ms old.`, 'Ask another host, or try again.', {details: {retryAfterSeconds: 1}});
	}
}

/** A service without a back end that can take a request now. */
export class NoBackendError extends CodedError {
	override readonly name = 'NoBackendError';

	constructor(service: string) {
		super(codes.noBackend, `Service ${service} has no back end that can take the request.`, 'Try again in 1 s.', {details: {retryAfterSeconds: 1}});
	}
}

/** A request that certainly did not run and will not run. */
export class NotRunError extends CodedError {
	override readonly name = 'NotRunError';

	constructor(message: string, retryAfterSeconds = 1) {
		super(codes.notRun, message, `The request did not run. Try again in ${retryAfterSeconds} s.`, {details: {retryAfterSeconds}});
	}
}

/** A request that may have run, whose outcome could not be learned. */
export class OutcomeUnknownError extends CodedError {
	override readonly name = 'OutcomeUnknownError';

	constructor(message: string) {
		super(codes.outcomeUnknown, message, 'Check with the service itself before ordering again.');
	}
}

/** A request whose content has killed back ends. */
export class QuarantinedError extends CodedError {
	override readonly name = 'QuarantinedError';

	constructor(retryAfterSeconds: number) {
		super(codes.quarantined, 'Back ends that ran this request died.', `Change the request, or try again in ${retryAfterSeconds} s.`, {details: {retryAfterSeconds}});
	}
}

/** A request that can't finish before its deadline. */
export class DeadlineExceededError extends CodedError {
	override readonly name = 'DeadlineExceededError';

	constructor(message: string, retryAfterSeconds = 1) {
		super(codes.deadlineExceeded, message, `Try again in ${retryAfterSeconds} s with a later deadline.`, {details: {retryAfterSeconds}});
	}
}

/** A replica that does not lead its group, with the leader it knows. */
export class NotLeaderError extends CodedError {
	override readonly name = 'NotLeaderError';

	constructor(leader?: string) {
		super(codes.notLeader, 'This replica is not the leader.', 'Ask the leader.', leader === undefined ? {} : {details: {leader}});
	}
}

/** A holder or session that another one has replaced. */
export class StaleEpochError extends CodedError {
	override readonly name = 'StaleEpochError';

	constructor(message: string) {
		super(codes.staleEpoch, message, 'Stop acting in this role.');
	}
}

/** A call without an answer in time; it may have taken effect. */
export class TimeoutError extends CodedError {
	override readonly name = 'TimeoutError';

	constructor(what: string, limitMs: number) {
		super(codes.timeout, `${what} gave no answer within ${limitMs} ms.`, 'Try again.', {details: {limitMs}});
	}
}

/** A peer that can't be reached. */
export class PeerUnreachableError extends CodedError {
	override readonly name = 'PeerUnreachableError';

	constructor(address: string, options?: FailureOptions) {
		super(codes.peerUnreachable, `Peer ${address} can't be reached.`, 'Check that the host runs and its address is right.', options);
	}
}

/** A message that breaks the protocol between processes. */
export class ProtocolError extends CodedError {
	override readonly name = 'ProtocolError';

	constructor(message: string) {
		super(codes.protocol, message, 'Check that both processes run the same version.');
	}
}

/** A setting that is unknown, missing or out of bounds. */
export class SettingsError extends CodedError {
	override readonly name = 'SettingsError';

	constructor(message: string, nextStep: string) {
		super(codes.settings, message, nextStep);
	}
}

/** An address that a process can't listen on. */
export class ListenError extends CodedError {
	override readonly name = 'ListenError';

	constructor(address: string, reason: string) {
		super(codes.listen, `Can't listen on ${address}: ${reason}.`, 'Check that the address belongs to this machine and that no other process uses it.');
	}
}

/** A disk operation that failed; nothing after it counts as stored. */
export class StorageError extends CodedError {
	override readonly name = 'StorageError';

	constructor(message: string, options?: FailureOptions) {
		super(codes.storage, message, 'Check the disk under the data folder, then restart the host.', options);
	}
}

/** A stored record that was changed after it was written. */
export class CorruptLogError extends CodedError {
	override readonly name = 'CorruptLogError';

	constructor(file: string, offsetBytes: number, reason: string) {
		super(codes.corruptLog, `${file} is damaged at byte ${offsetBytes}: ${reason}.`, 'Move the data folder away and let the host return as a new replica.', {details: {file, offsetBytes}});
	}
}

/** A broken invariant of the program itself. */
export class InvariantError extends CodedError {
	override readonly name = 'InvariantError';

	constructor(message: string) {
		super(codes.invariant, message, 'Report this with the log of the host.');
	}
}

/** A back end that answered with a failure or broke off. */
export class BackendFailedError extends CodedError {
	override readonly name = 'BackendFailedError';

	constructor(message: string, details: FailureDetails = {}, options?: FailureOptions) {
		super(codes.backendFailed, message, 'Try again.', {...options, details});
	}
}

/**
Throws when a condition that the program relies on does not hold.

@example
```
assertInvariant(next.revision > current.revision, 'A revision must grow.');
```
*/
export function assertInvariant(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new InvariantError(message);
	}
}
