/** Counts, for each service and workspace, how often the service-level targets were met and missed, in buckets of time. */
import {
	build, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Length of the time bucket that one count covers. */
export const bucketMs = 60_000;
/** Age at which counts are discarded. */
export const retentionMs = 6 * 60 * 60_000;
const microsecondsPerMillisecond = 1000;
const significantDigits = 2;

/** Service-level indicators that are compared with a target. */
export const measures = {
	/** Time from the arrival of a request to the first token, or to the complete response of a plain service. */
	firstToken: 'firstToken',
	/** Time between two tokens of one response. */
	betweenTokens: 'betweenTokens',
	/** Whether the request received a complete response. */
	end: 'end',
} as const;

/** Name of a service-level indicator. */
export type Measure = typeof measures[keyof typeof measures];

/** A service and a workspace. The requests of the workspace to the service have service-level indicators of their own. */
export type BurnSubject = {
	readonly service: string;
	readonly workspace: string;
};

/** Counts of one time bucket. */
export type BurnBucket = {
	/** Age of the bucket in buckets; zero for the current one. */
	readonly age: number;
	readonly total: number;
	readonly missed: number;
};

/** Counts and histogram of one indicator, as reported by a host. */
export type BurnSeries = BurnSubject & {
	readonly measure: Measure;
	readonly buckets: readonly BurnBucket[];
	/** Histogram of all durations since the start of the host, in microseconds, as compressed base64. Absent for the measure `end`. */
	readonly histogram?: string;
};

type BucketCounts = {
	bucket: number;
	total: number;
	missed: number;
};

type Series = BurnSubject & {
	readonly measure: Measure;
	readonly counts: BucketCounts[];
	readonly histogram?: Histogram;
};

/** Records durations and outcomes of the requests of one host. */
export class BurnRecorder {
	readonly #clock: Clock;
	readonly #series = new Map<string, Series>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records a duration, and counts it as missed when it exceeds its target. Both are in milliseconds. */
	recordDuration(subject: BurnSubject, measure: Measure, durationMs: number, targetMs: number): void {
		const series = this.#getSeries(subject, measure);
		series.histogram!.recordValue(Math.round(Math.max(0, durationMs) * microsecondsPerMillisecond));
		this.#count(series, durationMs > targetMs);
	}

	/** Records whether a request received a complete response. */
	recordEnd(subject: BurnSubject, isAnswered: boolean): void {
		this.#count(this.#getSeries(subject, measures.end), !isAnswered);
	}

	/** Returns all series, with the ages of their buckets relative to the current time. */
	capture(): BurnSeries[] {
		const bucket = this.#getCurrentBucket();
		return [...this.#series.values()].map(({service, workspace, measure, counts, histogram}) => ({
			service,
			workspace,
			measure,
			buckets: counts
				.filter(entry => isRetained(entry, bucket))
				.map(entry => ({age: bucket - entry.bucket, total: entry.total, missed: entry.missed})),
			...(histogram !== undefined && {histogram: encodeIntoCompressedBase64(histogram)}),
		}));
	}

	#count(series: Series, isMissed: boolean): void {
		const bucket = this.#getCurrentBucket();
		let counts = series.counts.at(-1);
		if (counts?.bucket !== bucket) {
			counts = {bucket, total: 0, missed: 0};
			series.counts.push(counts);
			while (!isRetained(series.counts[0]!, bucket)) {
				series.counts.shift();
			}
		}

		counts.total += 1;
		counts.missed += isMissed ? 1 : 0;
	}

	#getCurrentBucket(): number {
		return Math.floor(this.#clock.now() / bucketMs);
	}

	#getSeries(subject: BurnSubject, measure: Measure): Series {
		const key = `${measure} ${subject.service} ${subject.workspace}`;
		let series = this.#series.get(key);
		if (series === undefined) {
			series = {
				service: subject.service,
				workspace: subject.workspace,
				measure,
				counts: [],
				...(measure !== measures.end && {histogram: build({numberOfSignificantValueDigits: significantDigits, autoResize: true})}),
			};
			this.#series.set(key, series);
		}

		return series;
	}
}

/** Reports whether counts are younger than the retention time. `bucket` is the current bucket. */
function isRetained(counts: BucketCounts, bucket: number): boolean {
	return (bucket - counts.bucket) * bucketMs < retentionMs;
}
