/** Merges the series of hosts into burn rates: how fast the error budget of missed targets is spent. */
import {decodeFromCompressedBase64, type Histogram} from 'hdr-histogram-js';
import {
	bucketMs, type BurnBucket, type BurnSeries, type BurnSubject, type Measure,
} from './burn-recorder.js';

/** Share of requests that must meet their target. The remaining share is the error budget. */
export const objective = 0.95;
/** Burn rate of the five-minute and one-hour windows that raises the fast alarm. */
const fastBurnThreshold = 14.4;
/** Burn rate of the one-hour and six-hour windows that raises the slow alarm. */
const slowBurnThreshold = 6;
const microsecondsPerMillisecond = 1000;
const minuteMs = 60_000;

/** Windows over which burn rates are calculated, in milliseconds. */
export const windows = {
	fast: 5 * minuteMs,
	medium: 60 * minuteMs,
	slow: 360 * minuteMs,
} as const;

/** Name of a window. */
export type Window = keyof typeof windows;

/** Alarm levels of burn rates. */
export const alarms = {
	none: 'none',
	/** The error budget of a day is spent within hours. */
	slow: 'slow',
	/** The error budget of a day is spent within the hour. */
	fast: 'fast',
} as const;

/** Name of an alarm level. */
export type Alarm = typeof alarms[keyof typeof alarms];

/** Counts and burn rate of one window. A burn rate of one spends the error budget exactly. */
export type WindowBurn = {
	readonly total: number;
	readonly missed: number;
	readonly burn: number;
};

/** Burn rates of one measure of a service and workspace. */
export type BurnLine = BurnSubject & {
	readonly measure: Measure;
	readonly fast: WindowBurn;
	readonly medium: WindowBurn;
	readonly slow: WindowBurn;
	readonly alarm: Alarm;
	/** Percentiles since the hosts started, in milliseconds. */
	readonly p50Ms?: number;
	readonly p95Ms?: number;
	readonly p99Ms?: number;
	/** Burn rate of each bucket, the oldest first, for plots. */
	readonly history: ReadonlyArray<{readonly age: number; readonly burn: number}>;
};

/**
Merges the series of several hosts and returns one line for each service, workspace and measure.

@example
```
const lines = createBurnReport([recorder.capture()]);
```
*/
export function createBurnReport(hosts: ReadonlyArray<readonly BurnSeries[]>): BurnLine[] {
	const groups = new Map<string, BurnSeries[]>();
	for (const series of hosts.flat()) {
		const key = `${series.service} ${series.workspace} ${series.measure}`;
		const group = groups.get(key) ?? [];
		group.push(series);
		groups.set(key, group);
	}

	return [...groups.keys()].toSorted().map(key => createLine(groups.get(key)!));
}

function createLine(group: readonly BurnSeries[]): BurnLine {
	const {service, workspace, measure} = group[0]!;
	const buckets = group.flatMap(series => series.buckets);
	const fast = createWindowBurn(buckets, windows.fast);
	const medium = createWindowBurn(buckets, windows.medium);
	const slow = createWindowBurn(buckets, windows.slow);
	return {
		service,
		workspace,
		measure,
		fast,
		medium,
		slow,
		alarm: chooseAlarm(fast, medium, slow),
		...getPercentiles(group),
		history: createHistory(buckets),
	};
}

function createWindowBurn(buckets: readonly BurnBucket[], windowMs: number): WindowBurn {
	const inside = buckets.filter(bucket => bucket.age * bucketMs < windowMs);
	const total = inside.reduce((sum, bucket) => sum + bucket.total, 0);
	const missed = inside.reduce((sum, bucket) => sum + bucket.missed, 0);
	return {total, missed, burn: getBurn(total, missed)};
}

function getBurn(total: number, missed: number): number {
	return total === 0 ? 0 : missed / total / (1 - objective);
}

/** Returns the highest alarm whose two windows both reach its threshold. One window alone would also react to a past or a brief fault. */
function chooseAlarm(fast: WindowBurn, medium: WindowBurn, slow: WindowBurn): Alarm {
	if (fast.burn >= fastBurnThreshold && medium.burn >= fastBurnThreshold) {
		return alarms.fast;
	}

	return medium.burn >= slowBurnThreshold && slow.burn >= slowBurnThreshold ? alarms.slow : alarms.none;
}

function createHistory(buckets: readonly BurnBucket[]): Array<{age: number; burn: number}> {
	const ages = [...new Set(buckets.map(bucket => bucket.age))].toSorted((left, right) => right - left);
	return ages.map(age => {
		const same = buckets.filter(bucket => bucket.age === age);
		return {age, burn: getBurn(same.reduce((sum, {total}) => sum + total, 0), same.reduce((sum, {missed}) => sum + missed, 0))};
	});
}

function getPercentiles(group: readonly BurnSeries[]): {p50Ms?: number; p95Ms?: number; p99Ms?: number} {
	const histograms = group.flatMap(({histogram}) => histogram === undefined ? [] : [decodeFromCompressedBase64(histogram)]);
	const [first, ...others] = histograms;
	if (first === undefined) {
		return {};
	}

	first.autoResize = true;
	for (const other of others) {
		first.add(other);
	}

	return {p50Ms: getPercentileMs(first, 50), p95Ms: getPercentileMs(first, 95), p99Ms: getPercentileMs(first, 99)};
}

function getPercentileMs(histogram: Histogram, percentile: number): number {
	return histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
}
