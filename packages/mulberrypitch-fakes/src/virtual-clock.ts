/** Time that moves only when a test says so. */
import {setMaxListeners} from 'node:events';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createClock} from '@sinonjs/fake-timers';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

const startWallTime = Date.UTC(2026, 0, 1);

/** A clock for one simulated run. All its users must wait through it alone. */
export class VirtualClock implements Clock {
	readonly #timers = createClock();

	now(): number {
		return this.#timers.now;
	}

	wallTime(): number {
		return startWallTime + this.#timers.now;
	}

	async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		return new Promise(resolve => {
			const timer = this.#timers.setTimeout(() => {
				signal?.removeEventListener('abort', stop);
				resolve();
			}, Math.max(0, durationMs));
			const stop = () => {
				this.#timers.clearTimeout(timer);
				resolve();
			};

			if (signal !== undefined) {
				// Hundreds of simulated tasks may sleep until the end of one run.
				setMaxListeners(0, signal);
				signal.addEventListener('abort', stop, {once: true});
			}
		});
	}

	/** Lets the given time pass, timer by timer, and all work that follows from each. */
	async runFor(durationMs: number): Promise<void> {
		const end = {isReached: false};
		this.#timers.setTimeout(() => {
			end.isReached = true;
		}, durationMs);
		await nextTurn();
		while (!end.isReached) {
			this.#timers.next();
			await nextTurn();
		}
	}

	/** Lets time pass until the condition holds; tells whether it did within the limit. */
	async runUntil(isReached: () => boolean, limitMs: number, stepMs = 10): Promise<boolean> {
		const end = this.now() + limitMs;
		while (!isReached() && this.now() < end) {
			await this.runFor(stepMs);
		}

		return isReached();
	}
}
