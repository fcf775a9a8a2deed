/** Requests during a roll-out, with back ends of which only the version and the state matter. For tests. */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import type {Rollout} from '@mulberrypitch/serving/rollout-messages';
import type {AttemptOutcome} from '../attempt-outcome.js';
import {RequestVersions, type VersionedCandidate} from '../request-versions.js';
import {RolloutConduct} from '../rollout-conduct.js';
import {StreamBinding} from '../stream-binding.js';

/** Outcome of an attempt whose answer broke off before anything was written. */
export const brokenOff: AttemptOutcome = {kind: 'unknown', reason: 'reset'};

const service = 's';

/**
Returns a back end of a version.

@example
```
const backend = createCandidate('v2', {isEjected: true});
```
*/
export function createCandidate(version: string, state: Partial<Omit<VersionedCandidate, 'announced'>> = {}): VersionedCandidate {
	return {
		announced: assumeType<VersionedCandidate['announced']>({service, version}), isEjected: false, isAvailable: true, load: 0, slots: 4, ...state,
	};
}

/**
Returns a running roll-out to v2.

@example
```
const rollout = createRollout({share: 1});
```
*/
export function createRollout(changes: Partial<Rollout> = {}): Rollout {
	return {
		id: 7, service, target: 'v2', durationMs: 12_000, state: 'running', share: 0.1, revision: 1, elapsedMs: 0, reason: 'test', ...changes,
	};
}

/** The roll-outs of one entry, and its back ends. */
export class VersionedEntry {
	readonly clock = new VirtualClock();
	readonly random = new SeededRandom(1);
	serving: readonly VersionedCandidate[] = [createCandidate('v1'), createCandidate('v1'), createCandidate('v2')];
	readonly conduct = new RolloutConduct({
		now: () => this.clock.now(),
		listServing: () => this.serving.map(({announced}) => announced),
	});

	/** Applies a roll-out that a coordinator in touch tells now. */
	apply(changes: Partial<Rollout> = {}): void {
		this.conduct.apply([createRollout(changes)], {isInTouch: true, askedAt: this.clock.now()});
	}

	/** Returns a request, which goes on with a stream of the given version, if any. */
	request(attemptId?: string, binding = new StreamBinding()): RequestVersions {
		return new RequestVersions({
			service, route: 'r', attemptId, deadlineAt: 1000, binding, conduct: this.conduct, random: this.random,
			now: () => this.clock.now(),
			getRecorder() {
				// These tests read no evidence.
				return undefined;
			},
		});
	}

	/** Returns the versions of the back ends to which a request may be sent now. */
	getVersions(request: RequestVersions): readonly string[] {
		const serving = [...this.serving];
		return [...new Set(serving.filter(backend => request.isMatching(backend, serving)).map(({announced}) => announced.version!))];
	}

	/** Sends a request to the first back end that it may be sent to, where the answer breaks off, and returns its version. */
	fail(request: RequestVersions): string | undefined {
		const serving = [...this.serving];
		const backend = serving.find(candidate => request.isMatching(candidate, serving));
		if (backend !== undefined) {
			request.recordSend(backend);
			request.recordEnd(brokenOff);
		}

		return backend?.announced.version;
	}

	/** Returns the part of new requests that go to back ends of v2 only. */
	getShare(count = 4000): number {
		const toTarget = Array.from({length: count}, (_, index) => this.getVersions(this.request(`a-${index}`)))
			.filter(versions => versions.length === 1 && versions[0] === 'v2');
		return toTarget.length / count;
	}
}
