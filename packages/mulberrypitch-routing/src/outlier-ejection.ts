/** Keeps work away from back ends that fail again and again. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Candidate} from './types.js';

const failuresToEject = 3;
const baseEjectionMs = 5000;
const maxEjectionMs = 60_000;
const maxEjectedPart = 0.75;
/** Ejections after which a back end's failure is believed even when its whole zone fails. */
const ejectionsToLoseZone = 2;

type Health = {
	failures: number;
	ejections: number;
	ejectedUntil: number;
};

/**
Ejects a back end after consecutive failures, for longer each time. Ejects a whole zone only when its back ends failed
again after their first ejection, and never more than three quarters of the candidates. Slow answers eject nobody.

@example
```
ejection.report('engine-1', true);
const healthy = ejection.filter(candidates);
```
*/
export class OutlierEjection {
	readonly #clock: Clock;
	readonly #health = new Map<string, Health>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Learns how a dispatch went. */
	report(backend: string, isFailure: boolean): void {
		const health = this.#health.get(backend) ?? {failures: 0, ejections: 0, ejectedUntil: 0};
		this.#health.set(backend, health);
		if (!isFailure) {
			this.#health.delete(backend);
			return;
		}

		health.failures += 1;
		if (health.failures >= failuresToEject) {
			health.failures = failuresToEject - 1;
			const durationMs = Math.min(maxEjectionMs, baseEjectionMs * (2 ** health.ejections));
			health.ejections += 1;
			health.ejectedUntil = this.#clock.now() + durationMs;
		}
	}

	/** Gives the candidates that may take work. */
	filter(candidates: readonly Candidate[]): readonly Candidate[] {
		const ejected = candidates.filter(candidate => this.#isEjected(candidate));
		if (ejected.length === 0) {
			return candidates;
		}

		const healthyZones = new Set(candidates.filter(candidate => !ejected.includes(candidate)).map(({zone}) => zone));
		const left = new Set(ejected
			.filter(({id, zone}) => healthyZones.has(zone) || this.#health.get(id)!.ejections >= ejectionsToLoseZone)
			.toSorted((first, second) => this.#health.get(second.id)!.ejectedUntil - this.#health.get(first.id)!.ejectedUntil)
			.slice(0, Math.floor(candidates.length * maxEjectedPart)));
		return candidates.filter(candidate => !left.has(candidate));
	}

	#isEjected({id}: Candidate): boolean {
		return (this.#health.get(id)?.ejectedUntil ?? 0) > this.#clock.now();
	}
}
