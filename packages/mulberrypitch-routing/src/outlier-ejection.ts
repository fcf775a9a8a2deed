/** Outlier detection: temporarily ejects back ends with consecutive failures. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Candidate} from './types.js';

/** Number of consecutive failures after which a back end is ejected. */
const failuresToEject = 3;
/** Duration of the first ejection in milliseconds. It doubles with each further one. */
const baseEjectionMs = 5000;
/** Maximum duration of an ejection in milliseconds. */
const maxEjectionMs = 60_000;
/** Largest fraction of the candidates that `removeEjected` leaves out. The number of ejected back ends itself is not limited. */
const maxEjectedFraction = 0.75;
/** Number of ejections, since its last success, after which a back end is left out even if no back end of its zone is healthy. */
const ejectionsToIgnoreZone = 2;

/** Failures and ejections of one back end since its last success. */
type Health = {
	/** Failures that count towards the next ejection. An ejection sets them to one less than `failuresToEject`. */
	failures: number;
	ejections: number;
	/** Monotonic time in milliseconds at which the ejection ends. */
	ejectedUntil: number;
};

/**
Ejects a back end after consecutive failures, for longer each time. After an ejection, a single failure ejects it again. When
all back ends of a zone are ejected, those that were ejected only once still receive requests. At most three quarters of the
candidates are left out. Slow responses cause no ejection.

@example
```
const isFailure = true;
ejection.report('engine-1', isFailure);
const remaining = ejection.removeEjected(candidates);
```
*/
export class OutlierEjection {
	readonly #clock: Clock;
	readonly #health = new Map<string, Health>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records the result of a request. A success clears the failures and ejections of its back end. */
	report(backend: string, isFailure: boolean): void {
		const health = this.#health.get(backend) ?? {failures: 0, ejections: 0, ejectedUntil: 0};
		this.#health.set(backend, health);
		if (!isFailure) {
			this.#health.delete(backend);
			return;
		}

		health.failures += 1;
		if (health.failures >= failuresToEject) {
			// A single failure after the ejection ejects the back end again.
			health.failures = failuresToEject - 1;
			const durationMs = Math.min(maxEjectionMs, baseEjectionMs * (2 ** health.ejections));
			health.ejections += 1;
			health.ejectedUntil = this.#clock.now() + durationMs;
		}
	}

	/** Returns the candidates without the ejected ones, except for ejected ones that may receive requests all the same. */
	removeEjected(candidates: readonly Candidate[]): readonly Candidate[] {
		const ejected = candidates.filter(candidate => this.#isEjected(candidate));
		if (ejected.length === 0) {
			return candidates;
		}

		const healthyZones = new Set(candidates.filter(candidate => !ejected.includes(candidate)).map(({zone}) => zone));
		// When more ejected candidates than `maxEjectedFraction` allows would be left out, those whose ejection ends first are kept.
		const removed = new Set(ejected
			.filter(({id, zone}) => healthyZones.has(zone) || this.#health.get(id)!.ejections >= ejectionsToIgnoreZone)
			.toSorted((first, second) => this.#health.get(second.id)!.ejectedUntil - this.#health.get(first.id)!.ejectedUntil)
			.slice(0, Math.floor(candidates.length * maxEjectedFraction)));
		return candidates.filter(candidate => !removed.has(candidate));
	}

	#isEjected({id}: Candidate): boolean {
		return (this.#health.get(id)?.ejectedUntil ?? 0) > this.#clock.now();
	}
}
