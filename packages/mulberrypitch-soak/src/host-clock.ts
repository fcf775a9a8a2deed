/** The clock of one simulated host: it drifts, and its timers don't fire while the process is frozen. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Time of one host, derived from the virtual time of the run. */
export class HostClock implements Clock {
	readonly #clock: Clock;
	readonly #rate: number;
	#frozenUntil = 0;

	/** Creates a clock. The rate is the host time that passes in one unit of the run's time. */
	constructor(clock: Clock, rate: number) {
		this.#clock = clock;
		this.#rate = rate;
	}

	/** Time of the run at which a frozen process resumes. */
	get frozenUntil(): number {
		return this.#frozenUntil;
	}

	/** Freezes the process for a while; its clock continues to run. */
	freeze(durationMs: number): void {
		this.#frozenUntil = this.#clock.now() + durationMs;
	}

	now(): number {
		return this.#clock.now() * this.#rate;
	}

	wallTime(): number {
		return this.#clock.wallTime();
	}

	async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
		await this.#clock.sleep(durationMs / this.#rate, signal);
		while (!signal?.aborted && this.#clock.now() < this.#frozenUntil) {
			await this.#clock.sleep(Math.ceil(this.#frozenUntil - this.#clock.now()), signal);
		}
	}
}
