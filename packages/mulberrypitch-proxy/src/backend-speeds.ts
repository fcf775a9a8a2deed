/** The speeds of back ends, as the coordinators derive them from the observations of all entries, and this entry's own observations. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {SpeedObserver} from '@mulberrypitch/routing/speed-observer';
import type {SpeedReport} from '@mulberrypitch/serving/view-messages';
import {largePromptTokens} from './backend-choice.js';
import type {Prompt} from './caller-request.js';
import type {KnownBackend} from './known-backend.js';

/** Interval in milliseconds between two reports. */
const reportIntervalMs = 1000;
/** Number of speeds in a reply beyond which reports are made, and speeds are asked for, less often, so that they take no more bytes a second. */
const speedsPerInterval = 64;
/** Longest interval in milliseconds between two reports. With the longest poll it stays below the 5 s after which a coordinator forgets a report. */
const maxReportIntervalMs = 2000;
/** Number of back ends in a report. Beyond it those with the least evidence are left out, which are the ones not seen for some 15 s. */
const maxReported = 128;
/** Longest interval in milliseconds between two replies with speeds. One of them may be lost before the speeds are no longer used. */
const maxSpeedsIntervalMs = 7000;
/** Time in milliseconds after which speeds are no longer used, since the coordinators don't confirm them. */
const maxAgeMs = 15_000;
/** Smallest number of parts of a stream from which the mean pause between them is taken. */
const minParts = 4;

/** Observes the sends of this entry, reports at intervals, and holds the speeds that the coordinators replied with. */
export class BackendSpeeds {
	readonly #clock: Clock;
	readonly #observer: SpeedObserver;
	#speeds: Readonly<Record<string, number>> = {};
	#appliedAt = Number.NEGATIVE_INFINITY;
	#reportedAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#observer = new SpeedObserver({now: () => clock.now(), getSpeed: backend => this.getSpeed(backend)});
	}

	/** Number of back ends whose speed differs from that of their service. */
	get count(): number {
		return this.#isRecent ? Object.keys(this.#speeds).length : 0;
	}

	/** Returns the speed of a back end; one is the mean of its service, and is used while nothing else is known. */
	getSpeed(backend: string): number {
		return this.#isRecent ? this.#speeds[backend] ?? 1 : 1;
	}

	/** Whether the reply to a report may leave out the speeds, since the last ones are recent for their number. */
	get skipsSpeeds(): boolean {
		// The reply comes after its report, so that the time between them must not make every other report skip the speeds.
		return this.#clock.now() - this.#appliedAt < this.#speedsIntervalMs - reportIntervalMs;
	}

	/** Returns the observations of this entry if a report is due. */
	takeReport(): SpeedReport | undefined {
		const now = this.#clock.now();
		const intervalMs = Math.min(maxReportIntervalMs, this.#speedsIntervalMs);
		if (now - this.#reportedAt < intervalMs) {
			return undefined;
		}

		this.#reportedAt = now;
		const evidence = Object.entries(this.#observer.getEvidence());
		return Object.fromEntries(evidence.length > maxReported ? evidence.toSorted(([, [left]], [, [right]]) => right - left).slice(0, maxReported) : evidence);
	}

	/** Applies the speeds of a reply; `undefined` if it has none. */
	apply(speeds: Readonly<Record<string, number>> | undefined): void {
		if (speeds !== undefined) {
			this.#speeds = speeds;
			this.#appliedAt = this.#clock.now();
		}
	}

	/** Begins to observe a request for which a permit was just taken. */
	observe(backend: KnownBackend, {route, prompt}: {readonly route: string; readonly prompt: Prompt}): SendObservation {
		// Large prompts run at engines of their own, where they slow each other down.
		const group = prompt.tokens > largePromptTokens ? `${route} large` : route;
		return new SendObservation(this.#clock, {backend, group, observer: this.#observer});
	}

	/** Interval in milliseconds between two replies with speeds. */
	get #speedsIntervalMs(): number {
		return Math.min(maxSpeedsIntervalMs, reportIntervalMs * Math.max(1, Object.keys(this.#speeds).length / speedsPerInterval));
	}

	get #isRecent(): boolean {
		return this.#clock.now() - this.#appliedAt < maxAgeMs;
	}
}

/** Times of a good answer, in milliseconds since it was sent. */
export type AnswerTimes = {
	readonly firstPartMs: number;
	readonly wholeMs: number;
};

/** Times the parts of one response. */
export class SendObservation {
	readonly #clock: Clock;
	readonly #options: {readonly backend: KnownBackend; readonly group: string; readonly observer: SpeedObserver};
	readonly #sentAt: number;
	readonly #pendingTokens: number;
	#firstAt: number | undefined;
	#firstLoad = 0;
	#lastAt = 0;
	#lastLoad = 0;
	#parts = 0;

	constructor(clock: Clock, options: {readonly backend: KnownBackend; readonly group: string; readonly observer: SpeedObserver}) {
		this.#clock = clock;
		this.#options = options;
		this.#sentAt = clock.now();
		this.#pendingTokens = options.backend.pendingTokens;
	}

	/** Records the arrival of a part of the body. */
	recordPart(): void {
		const {backend} = this.#options;
		this.#lastAt = this.#clock.now();
		this.#lastLoad = backend.load;
		this.#parts += 1;
		if (this.#firstAt === undefined) {
			this.#firstAt = this.#lastAt;
			this.#firstLoad = this.#lastLoad;
		}
	}

	/** Ends the observation, and returns the times of a good answer. Only successes are counted, since failures come at any speed. */
	end(isSuccess: boolean): AnswerTimes | undefined {
		const {backend, group, observer} = this.#options;
		if (!isSuccess || this.#firstAt === undefined || backend.isEjected) {
			return undefined;
		}

		observer.record({
			backend: backend.id, group: `${group} first part`, work: this.#pendingTokens, ms: this.#firstAt - this.#sentAt,
		});
		if (this.#parts >= minParts && this.#lastAt > this.#firstAt) {
			observer.record({
				backend: backend.id, group: `${group} pause`, work: (this.#firstLoad + this.#lastLoad) / 2, ms: (this.#lastAt - this.#firstAt) / (this.#parts - 1),
			});
		}

		return {firstPartMs: this.#firstAt - this.#sentAt, wholeMs: this.#lastAt - this.#sentAt};
	}
}
