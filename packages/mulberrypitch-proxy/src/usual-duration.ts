/** How long the requests of a route usually take. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Time in milliseconds after which a new histogram begins. Durations count until the end of the next one. */
const histogramMs = 15_000;
/** Percentile of the durations that counts as usual. */
const usualPercentile = 95;
/** Longest duration in milliseconds that a histogram tells from longer ones. */
const maxDurationMs = 120_000;

/** Keeps the durations of one route's answered requests for some seconds. */
export class UsualDuration {
	readonly #clock: Clock;
	#current = createHistogram();
	#previous: Histogram | undefined;
	#startedAt: number;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#startedAt = clock.now();
	}

	/** Usual duration in milliseconds; absent while no request has been answered. */
	get ms(): number | undefined {
		const known = [this.#current, this.#previous].filter(histogram => histogram !== undefined && histogram.totalCount > 0);
		return known.length === 0 ? undefined : Math.max(...known.map(histogram => histogram!.getValueAtPercentile(usualPercentile)));
	}

	/** Records the duration of an answered request in milliseconds. */
	record(durationMs: number): void {
		if (this.#clock.now() - this.#startedAt >= histogramMs) {
			this.#previous = this.#current;
			this.#current = createHistogram();
			this.#startedAt = this.#clock.now();
		}

		this.#current.recordValue(Math.min(maxDurationMs, Math.max(1, Math.round(durationMs))));
	}
}

function createHistogram(): Histogram {
	return build({
		bitBucketSize: 16, lowestDiscernibleValue: 1, highestTrackableValue: maxDurationMs, numberOfSignificantValueDigits: 2, autoResize: false,
	});
}
