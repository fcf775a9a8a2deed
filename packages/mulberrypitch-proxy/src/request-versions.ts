/** Decides which back ends one request may be sent to, by the roll-out of its service, and observes what becomes of its sends. */
import type {Random} from '@mulberrypitch/lifecycle/random';
import {hashText} from '@mulberrypitch/routing/rendezvous';
import {rolloutStates, type Rollout} from '@mulberrypitch/serving/rollout-messages';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {KnownBackend} from './known-backend.js';
import type {RolloutConduct} from './rollout-conduct.js';
import type {AttemptRecorder, RolloutRecorder} from './rollout-recorder.js';
import type {StreamBinding} from './stream-binding.js';

/** What the choice of a version depends on. */
export type VersionedCandidate = Pick<KnownBackend, 'announced' | 'isEjected' | 'isAvailable' | 'load' | 'slots'>;

/** A request, and the dependencies of its choice. */
export type RequestVersionsOptions = {
	readonly service: string;
	/** Name of the route. */
	readonly route: string;
	/** Identifier that the caller gave the request; absent if it sent none. */
	readonly attemptId: string | undefined;
	/** Monotonic time in milliseconds by which the caller gets its final response. */
	readonly deadlineAt: number;
	readonly binding: StreamBinding;
	readonly conduct: RolloutConduct;
	/** Returns the recorder of the running roll-out of the service, or `undefined` if there is none. */
	readonly getRecorder: () => RolloutRecorder | undefined;
	readonly random: Random;
	/** Returns the monotonic time in milliseconds. */
	readonly now: () => number;
};

type Assignment = {
	/** Identifier of the roll-out. */
	readonly rollout: number;
	readonly isToTarget: boolean;
};

type Rule = (backend: VersionedCandidate) => boolean;

/** Number of values of `hashText`. */
const hashCount = 2 ** 48;

function acceptAll(): boolean {
	return true;
}

/** Assigns one request to a side of the roll-out of its service, once, and keeps its sends there. */
export class RequestVersions {
	readonly #options: RequestVersionsOptions;
	#assignment: Assignment | undefined;
	/** Number of attempts that have ended, with those that could not connect. */
	#attempts = 0;
	#sends = 0;
	#recorder: AttemptRecorder | undefined;
	/** The rule for the last list of back ends, which is made once for each list. */
	#judged: {readonly serving: readonly VersionedCandidate[]; readonly rule: Rule} | undefined;

	constructor(options: RequestVersionsOptions) {
		this.#options = options;
	}

	/** Name of the service. */
	get service(): string {
		return this.#options.service;
	}

	/** Version that alone may go on with the response; absent if the response is not bound to one. */
	get boundVersion(): string | undefined {
		return this.#options.binding.version;
	}

	/** Whether the version that began the stream gets no request now, so that waiting is in vain. */
	get isOver(): boolean {
		const {binding, conduct, service} = this.#options;
		return binding.isBound && binding.version !== undefined && conduct.isClosed({service, version: binding.version});
	}

	/** Reports whether the request may be sent to a back end, which is one of the given serving ones of its service. */
	isMatching(backend: VersionedCandidate, serving: readonly VersionedCandidate[]): boolean {
		if (!this.#options.binding.isMatching(backend)) {
			return false;
		}

		if (this.#judged?.serving !== serving) {
			this.#judged = {serving, rule: this.#createRule(serving)};
		}

		return this.#judged.rule(backend);
	}

	/** Reports whether a back end may still be sent the request that has chosen it: the roll-out may have changed while a connection was opened. */
	canSend({announced}: Pick<KnownBackend, 'announced'>): boolean {
		const {conduct, service} = this.#options;
		return !conduct.isClosed({service, ...(announced.version !== undefined && {version: announced.version})});
	}

	/** Records that the request is sent to a back end now. */
	recordSend({announced}: Pick<KnownBackend, 'announced'>): void {
		const {binding, getRecorder, route, now, deadlineAt} = this.#options;
		binding.recordSend({announced});
		this.#sends += 1;
		this.#recorder = getRecorder()?.begin({
			route, version: announced.version, sentAt: now(), deadlineAt,
		});
	}

	/** Records that a part of the response is written to the caller at a monotonic time in milliseconds. */
	recordPart(at: number): void {
		this.#recorder?.recordPart(at);
	}

	/** Records the outcome of an attempt. */
	recordEnd(outcome: AttemptOutcome): void {
		this.#attempts += 1;
		this.#recorder?.end(outcome, this.#options.now());
		this.#recorder = undefined;
	}

	#createRule(serving: readonly VersionedCandidate[]): Rule {
		const {conduct, service, binding} = this.#options;
		const rollout = conduct.getRollout(service);
		if (rollout === undefined) {
			return acceptAll;
		}

		const isTarget: Rule = ({announced}) => announced.version === rollout.target;
		const isOpen: Rule = ({announced}) => !conduct.isWithdrawn(service, announced.version);
		if (rollout.state === rolloutStates.completed && serving.some(backend => isTarget(backend))) {
			return isTarget;
		}

		if (rollout.state !== rolloutStates.running) {
			return isOpen;
		}

		const isOther: Rule = backend => !isTarget(backend) && isOpen(backend);
		const isHeld = conduct.isHeld(service);
		if (binding.isBound) {
			return backend => isTarget(backend) ? !isHeld : isOpen(backend);
		}

		const goesToTarget = !isHeld && this.#goesToTarget(rollout, serving.filter(backend => isTarget(backend)), serving.filter(backend => isOther(backend)));
		return goesToTarget ? isTarget : isOther;
	}

	/** Reports whether the next send of a request that begins its response goes to the target. */
	#goesToTarget(rollout: Rollout, targets: readonly VersionedCandidate[], others: readonly VersionedCandidate[]): boolean {
		const isAssigned = this.#isAssignedToTarget(rollout);
		if (others.length === 0) {
			// A request that a back end of another version got stays away from the target for good, so that no version is blamed for the other.
			return isAssigned || this.#sends === 0;
		}

		if (targets.every(({isEjected}) => isEjected)) {
			return false;
		}

		if (rollout.share >= 1) {
			// The others stop at once when the roll-out is completed, so whatever waits or is repeated must not reach them after they were reported empty.
			return true;
		}

		if (!isAssigned || this.#attempts > 0) {
			return false;
		}

		// A target that has started few back ends must not cost callers answers that the others have room for.
		return targets.some(backend => hasRoom(backend)) || !others.some(backend => hasRoom(backend));
	}

	/** Assigns the request by the hash of its identifier, so that every entry assigns it alike. One that was sent before stays with the others. */
	#isAssignedToTarget({id, share}: Rollout): boolean {
		if (this.#assignment?.rollout !== id) {
			this.#assignment = {rollout: id, isToTarget: this.#attempts === 0 && this.#draw(id) < share};
		}

		return this.#assignment.isToTarget;
	}

	#draw(rollout: number): number {
		const {attemptId, random} = this.#options;
		return attemptId === undefined ? random.next() : hashText(`${rollout} ${attemptId}`) / hashCount;
	}
}

/** Reports whether a back end runs another request at once. */
function hasRoom({isEjected, isAvailable, load, slots}: VersionedCandidate): boolean {
	return !isEjected && isAvailable && load < slots;
}
