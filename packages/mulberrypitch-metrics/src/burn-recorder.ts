/** Counts, for each service and workspace, how often the service-level targets were kept, in rolling windows. */
import {
	build, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';
import type {Clock} from '@mulberrypitch/lifecycle/clock';

/** Time that one count covers. */
export const bucketMs = 60_000;
/** Time for which counts are kept. */
export const retentionMs = 6 * 60 * 60_000;
const microsecondsPerMillisecond = 1000;
const significantDigits = 2;

/** What is measured against a target. */
export const measures = {
	/** Time from the arrival of a request to the first token, or to the whole answer of a plain service. */
	firstToken: 'firstToken',
	/** Time between two tokens of one answer. */
	betweenTokens: 'betweenTokens',
	/** The request was answered whole. */
	end: 'end',
} as const;

/** One of the measures. */
export type Measure = typeof measures[keyof typeof measures];

/** Whose service level is measured. */
export type BurnSubject = {
	readonly service: string;
	readonly workspace: string;
};

/** Counts of one bucket of time. */
export type BurnBucket = {
	/** Age of the bucket's start, in whole buckets. */
	readonly age: number;
	readonly total: number;
	readonly missed: number;
};

/** One series as a host reports it. */
export type BurnSeries = BurnSubject & {
	readonly measure: Measure;
	readonly buckets: readonly BurnBucket[];
	/** Histogram in microseconds since the start of the host, as compressed base64; absent for ends. */
	readonly histogram?: string;
};

type Counts = {
	bucket: number;
	total: number;
	missed: number;
};

type Series = BurnSubject & {
	readonly measure: Measure;
	readonly counts: Counts[];
	readonly histogram?: Histogram;
};

/** Records durations and ends of one host. */
export class BurnRecorder {
	readonly #clock: Clock;
	readonly #series = new Map<string, Series>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records a duration against its target, both in milliseconds. */
	recordDuration(subject: BurnSubject, measure: Measure, durationMs: number, targetMs: number): void {
		const series = this.#getSeries(subject, measure);
		series.histogram!.recordValue(Math.round(Math.max(0, durationMs) * microsecondsPerMillisecond));
		this.#count(series, durationMs > targetMs);
	}

	/** Records how a request ended. */
	recordEnd(subject: BurnSubject, isAnswered: boolean): void {
		this.#count(this.#getSeries(subject, measures.end), !isAnswered);
	}

	/** Gives all series for a report. */
	capture(): BurnSeries[] {
		const bucket = this.#getBucket();
		return [...this.#series.values()].map(({service, workspace, measure, counts, histogram}) => ({
			service,
			workspace,
			measure,
			buckets: counts
				.filter(entry => isKept(entry, bucket))
				.map(entry => ({age: bucket - entry.bucket, total: entry.total, missed: entry.missed})),
			...(histogram !== undefined && {histogram: encodeIntoCompressedBase64(histogram)}),
		}));
	}

	#count(series: Series, isMissed: boolean): void {
		const bucket = this.#getBucket();
		let counts = series.counts.at(-1);
		if (counts?.bucket !== bucket) {
			counts = {bucket, total: 0, missed: 0};
			series.counts.push(counts);
			while (!isKept(series.counts[0]!, bucket)) {
				series.counts.shift();
			}
		}

		counts.total += 1;
		counts.missed += isMissed ? 1 : 0;
	}

	#getBucket(): number {
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

function isKept(counts: Counts, bucket: number): boolean {
	return (bucket - counts.bucket) * bucketMs < retentionMs;
}
