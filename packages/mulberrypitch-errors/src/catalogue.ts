/** The error classes of the system, each with its code and the next step for the reader of the error. */
import {CodedError, type FailureDetails, type FailureOptions} from './coded-error.js';

/** Codes of all errors. They are part of the public interface and must not change. */
export const codes = {
	badRequest: 'bad_request',
	unauthorized: 'unauthorized',
	notFound: 'not_found',
	conflict: 'conflict',
	unknownService: 'unknown_service',
	tooLarge: 'too_large',
	overloaded: 'overloaded',
	draining: 'draining',
	staleView: 'stale_view',
	noBackend: 'no_backend',
	versionGone: 'version_gone',
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

/** The request is malformed or one of its values is out of range. */
export class BadRequestError extends CodedError {
	override readonly name = 'BadRequestError';

	constructor(message: string, nextStep = 'Correct the request and send it again.') {
		super(codes.badRequest, message, nextStep);
	}
}

/** The caller, operator or process did not authenticate, or is not allowed to do what it requested. */
export class UnauthorizedError extends CodedError {
	override readonly name = 'UnauthorizedError';

	constructor(message: string) {
		super(codes.unauthorized, message, 'Send a valid key in the Authorization header.');
	}
}

/** The path, service, request or other object that was asked for does not exist. */
export class NotFoundError extends CodedError {
	override readonly name = 'NotFoundError';

	constructor(message: string, nextStep = 'Check the name or identifier.') {
		super(codes.notFound, message, nextStep);
	}
}

/** The change conflicts with the current state or with another change, which `details` describes. */
export class ConflictError extends CodedError {
	override readonly name = 'ConflictError';

	constructor(message: string, nextStep: string, details: FailureDetails) {
		super(codes.conflict, message, nextStep, {details});
	}
}

/** The order names a service that the configuration in force does not define. */
export class UnknownServiceError extends CodedError {
	override readonly name = 'UnknownServiceError';

	constructor(service: string) {
		super(codes.unknownService, `Service ${service} is not defined.`, 'Name a service of the configuration in force.');
	}
}

/** A body, header or frame is larger than its limit, which is given in bytes. */
export class TooLargeError extends CodedError {
	override readonly name = 'TooLargeError';

	constructor(subject: string, limitBytes: number) {
		super(codes.tooLarge, `${subject} is larger than ${limitBytes} bytes.`, 'Send less at a time.', {details: {limitBytes}});
	}
}

/** The request was refused before it was accepted. `details` has the time after which to retry. */
export class OverloadedError extends CodedError {
	override readonly name = 'OverloadedError';

	constructor(message: string, retryAfterSeconds: number) {
		super(codes.overloaded, message, `Try again in ${retryAfterSeconds} s.`, {details: {retryAfterSeconds}});
	}
}

/** The host is draining and accepts no new requests. */
export class DrainingError extends CodedError {
	override readonly name = 'DrainingError';

	constructor() {
		super(codes.draining, 'This host is draining and accepts no new requests.', 'Get the address of another host from GET /v1/entries.', {details: {retryAfterSeconds: 1}});
	}
}

/** The host's view, which is its copy of the cluster state, is too old for the host to act on it. */
export class StaleViewError extends CodedError {
	override readonly name = 'StaleViewError';

	constructor(ageMs: number) {
		super(codes.staleView, `This host's view of the cluster state is ${Math.round(ageMs)} ms old.`, 'Send the request to another host, or try again in 1 s.', {details: {retryAfterSeconds: 1}});
	}
}

/** No configuration has been applied to the deployment, or none has reached this host yet. */
export class NoConfigurationError extends CodedError {
	override readonly name = 'NoConfigurationError';

	constructor() {
		super(
			codes.staleView,
			'This host has no configuration yet.',
			'Apply one with "mulberrypitch config apply BASE [SITE] --host URL", or try again in 1 s.',
			{details: {retryAfterSeconds: 1}},
		);
	}
}

/** No back end of the service can take a request now. */
export class NoBackendError extends CodedError {
	override readonly name = 'NoBackendError';

	constructor(service: string) {
		super(codes.noBackend, `Service ${service} has no back end that can take the request.`, 'Try again in 1 s.', {details: {retryAfterSeconds: 1}});
	}
}

/** The request did not run and will not run, so repeating it is safe. */
export class NotRunError extends CodedError {
	override readonly name = 'NotRunError';

	constructor(message: string, retryAfterSeconds = 1) {
		super(codes.notRun, message, `The request did not run. Try again in ${retryAfterSeconds} s.`, {details: {retryAfterSeconds}});
	}
}

/** The request may have run, and its outcome could not be determined. */
export class OutcomeUnknownError extends CodedError {
	override readonly name = 'OutcomeUnknownError';

	constructor(message: string) {
		super(codes.outcomeUnknown, message, 'Check with the service whether the request ran before sending it again.');
	}
}

/** Back ends crashed while they ran requests with the same content, so requests with this content are refused for a time. */
export class QuarantinedError extends CodedError {
	override readonly name = 'QuarantinedError';

	constructor(retryAfterSeconds: number) {
		super(codes.quarantined, 'Back ends crashed while they ran this request.', `Change the request, or try again in ${retryAfterSeconds} s.`, {details: {retryAfterSeconds}});
	}
}

/** The request can't finish before its deadline. */
export class DeadlineExceededError extends CodedError {
	override readonly name = 'DeadlineExceededError';

	constructor(message: string, retryAfterSeconds = 1) {
		super(codes.deadlineExceeded, message, `Try again in ${retryAfterSeconds} s with a later deadline.`, {details: {retryAfterSeconds}});
	}
}

/** The replica is not the leader of its control group. `details` names the leader when the replica knows it. */
export class NotLeaderError extends CodedError {
	override readonly name = 'NotLeaderError';

	constructor(leader?: string) {
		super(codes.notLeader, 'This replica is not the leader.', 'Send the request to the leader.', leader === undefined ? {} : {details: {leader}});
	}
}

/** The session, or the right to handle a request, has ended or has passed to another host. */
export class StaleEpochError extends CodedError {
	override readonly name = 'StaleEpochError';

	constructor(message: string) {
		super(codes.staleEpoch, message, 'Stop acting in this role.');
	}
}

/** A call got no response in time. It may have taken effect. */
export class TimeoutError extends CodedError {
	override readonly name = 'TimeoutError';

	constructor(subject: string, limitMs: number) {
		super(codes.timeout, `${subject} did not respond within ${limitMs} ms.`, 'Try again.', {details: {limitMs}});
	}
}

/** No connection to the peer could be made or kept. */
export class PeerUnreachableError extends CodedError {
	override readonly name = 'PeerUnreachableError';

	constructor(address: string, options?: FailureOptions) {
		super(codes.peerUnreachable, `Peer ${address} can't be reached.`, 'Check that the host runs and its address is right.', options);
	}
}

/** A message violates the protocol between processes. */
export class ProtocolError extends CodedError {
	override readonly name = 'ProtocolError';

	constructor(message: string) {
		super(codes.protocol, message, 'Check that both processes run the same version.');
	}
}

/** A setting is unknown, missing or out of range. */
export class SettingsError extends CodedError {
	override readonly name = 'SettingsError';

	constructor(message: string, nextStep: string) {
		super(codes.settings, message, nextStep);
	}
}

/** The process can't listen on the address. */
export class ListenError extends CodedError {
	override readonly name = 'ListenError';

	constructor(address: string, reason: string) {
		super(codes.listen, `Can't listen on ${address}: ${reason}.`, 'Check that the address belongs to this machine and that no other process uses it.');
	}
}

/** A disk operation failed. Nothing written since then may be treated as durable. */
export class StorageError extends CodedError {
	override readonly name = 'StorageError';

	constructor(message: string, options?: FailureOptions) {
		super(codes.storage, message, 'Check the disk under the data folder, then restart the host.', options);
	}
}

/** A stored record was changed after it was written. */
export class CorruptLogError extends CodedError {
	override readonly name = 'CorruptLogError';

	constructor(file: string, offsetBytes: number, reason: string) {
		super(codes.corruptLog, `${file} is damaged at byte ${offsetBytes}: ${reason}.`, 'Move the data folder away and let the host return as a new replica.', {details: {file, offsetBytes}});
	}
}

/** An invariant of the program does not hold, which is a bug. */
export class InvariantError extends CodedError {
	override readonly name = 'InvariantError';

	constructor(message: string) {
		super(codes.invariant, message, 'Report this as a bug, with the log of the host.');
	}
}

/** The program failed with an error that has no code, which is a bug. The message of that error is not passed on. */
export class InternalError extends CodedError {
	override readonly name = 'InternalError';

	constructor(options?: FailureOptions) {
		super(codes.internal, 'The request failed with an unexpected error.', 'Report this as a bug, with the log of the host.', options);
	}
}

/** A back end returned an error, closed the connection early or could not be reached. */
export class BackendFailedError extends CodedError {
	override readonly name = 'BackendFailedError';

	constructor(message: string, details: FailureDetails = {}, options?: FailureOptions) {
		super(codes.backendFailed, message, 'Try again.', {...options, details});
	}
}

/**
Throws `InvariantError` when a condition that the program relies on does not hold.

@example
```
assertInvariant(next.revision > current.revision, 'The new revision is not greater than the current one.');
```
*/
export function assertInvariant(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new InvariantError(message);
	}
}
