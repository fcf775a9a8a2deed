/** A clock whose time advances only when a test requests it. */
import {setMaxListeners} from 'node:events';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createClock} from '@sinonjs/fake-timers';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

const startWallTimeMs = Date.UTC(2026, 0, 1);

/** A clock for one simulated run. Code under test may wait only with `sleep`, never on real timers or I/O. */
export class VirtualClock implements Clock {
	readonly #timers = createClock();

	now(): number {
		return this.#timers.now;
	}

	wallTime(): number {
		return startWallTimeMs + this.#timers.now;
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
				// Hundreds of simulated tasks may sleep on one signal, which would trigger Node's warning about leaked listeners.
				setMaxListeners(0, signal);
				signal.addEventListener('abort', stop, {once: true});
			}
		});
	}

	/** Advances time by the given duration. Timers fire one by one, and the work that each starts completes before the next. */
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

	/** Advances time in steps until the condition holds or the limit is reached. Returns whether the condition holds. */
	async runUntil(isReached: () => boolean, limitMs: number, stepMs = 10): Promise<boolean> {
		const end = this.now() + limitMs;
		while (!isReached() && this.now() < end) {
			await this.runFor(stepMs);
		}

		return isReached();
	}
}
