/** The clock of one simulated host: it drifts, and it stands still for the process while that is frozen. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Time of one host, derived from the time of the run. */
export class HostClock implements Clock {
	readonly #clock: Clock;
	readonly #rate: number;
	#frozenUntil = 0;

	/** The rate is host time for one unit of the run's time. */
	constructor(clock: Clock, rate: number) {
		this.#clock = clock;
		this.#rate = rate;
	}

	/** Time of the run at which the process goes on. */
	get frozenUntil(): number {
		return this.#frozenUntil;
	}

	/** Stops the process for a while; its clock goes on. */
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
