/** Registry of counters, gauges and latency histograms, which writes them in the Prometheus text format. */
import type {Histogram} from 'hdr-histogram-js';
import {assumeType} from '@mulberrypitch/errors/assume-type';
// The main module of hdr-histogram-js also loads a reader for log files, which takes a tenth of the startup time of a process.
import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js';

/** Longer durations are recorded as this one. */
const maxLatencyMs = 3_600_000;
const microsecondsPerMillisecond = 1000;
const significantDigits = 3;
/** Node.js imports the CommonJS module as an object with the class as `default`; the bundler imports the class itself. */
const histogramClass = assumeType<new () => Histogram>('default' in histogramModule ? histogramModule.default : histogramModule);
const quantiles = [0.5, 0.9, 0.95, 0.99, 0.999];

/** Labels of one series. */
export type Labels = Readonly<Record<string, string>>;

type Series<Value> = {
	readonly labels: Labels;
	value: Value;
};

type Family<Value> = {
	readonly help: string;
	readonly series: Map<string, Series<Value>>;
};

/** Collects the metrics of one process. */
export class MetricsRegistry {
	readonly #counters = new Map<string, Family<number>>();
	readonly #gauges = new Map<string, Family<() => number>>();
	readonly #histograms = new Map<string, Family<Histogram>>();

	/** Adds an amount to a counter, which is created on its first use. */
	count(name: string, help: string, labels: Labels = {}, amount = 1): void {
		getSeries(this.#counters, {name, help, labels}, () => 0).value += amount;
	}

	/** Registers a gauge. `read` is called whenever the metrics are written. Returns a function that removes the gauge. */
	gauge(name: string, help: string, read: () => number, labels: Labels = {}): () => void {
		const series = getSeries(this.#gauges, {name, help, labels}, () => read);
		series.value = read;
		return () => {
			// Another gauge of the same name and labels may have replaced this one.
			if (series.value === read) {
				this.#gauges.get(name)?.series.delete(formatLabels(labels));
			}
		};
	}

	/** Records a duration in milliseconds in a histogram, which is created on its first use. */
	observe(name: string, help: string, durationMs: number, labels: Labels = {}): void {
		const series = getSeries(this.#histograms, {name, help, labels}, createHistogram);
		const microseconds = Math.round(Math.max(0, Math.min(durationMs, maxLatencyMs)) * microsecondsPerMillisecond);
		series.value.recordValue(microseconds);
	}

	/** Returns the histogram of one series, in microseconds, or `undefined` when nothing was recorded. */
	getHistogram(name: string, labels: Labels = {}): Histogram | undefined {
		return this.#histograms.get(name)?.series.get(formatLabels(labels))?.value;
	}

	/** Returns all metrics in the Prometheus text format. */
	write(): string {
		const lines: string[] = [];
		for (const [name, family] of this.#counters) {
			lines.push(...formatHeader(name, family.help, 'counter'));
			for (const {labels, value} of family.series.values()) {
				lines.push(`${name}${formatLabels(labels)} ${value}`);
			}
		}

		for (const [name, family] of this.#gauges) {
			lines.push(...formatHeader(name, family.help, 'gauge'));
			for (const {labels, value} of family.series.values()) {
				lines.push(`${name}${formatLabels(labels)} ${value()}`);
			}
		}

		for (const [name, family] of this.#histograms) {
			lines.push(...formatHeader(name, family.help, 'summary'));
			for (const {labels, value} of family.series.values()) {
				lines.push(...formatSummary(name, labels, value));
			}
		}

		return lines.join('\n') + '\n';
	}
}

function createHistogram(): Histogram {
	const histogram = assumeType<Histogram>(Reflect.construct(histogramClass, [1, maxLatencyMs * microsecondsPerMillisecond, significantDigits]));
	histogram.autoResize = true;
	return histogram;
}

function getSeries<Value>(families: Map<string, Family<Value>>, id: {name: string; help: string; labels: Labels}, create: () => Value): Series<Value> {
	let family = families.get(id.name);
	if (family === undefined) {
		family = {help: id.help, series: new Map()};
		families.set(id.name, family);
	}

	const key = formatLabels(id.labels);
	let series = family.series.get(key);
	if (series === undefined) {
		series = {labels: id.labels, value: create()};
		family.series.set(key, series);
	}

	return series;
}

function formatLabels(labels: Labels): string {
	const entries = Object.entries(labels);
	if (entries.length === 0) {
		return '';
	}

	return `{${entries.map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(',')}}`;
}

function formatHeader(name: string, help: string, type: string): string[] {
	return [`# HELP ${name} ${help}`, `# TYPE ${name} ${type}`];
}

function formatSummary(name: string, labels: Labels, histogram: Histogram): string[] {
	const toSeconds = (microseconds: number) => microseconds / 1_000_000;
	const lines = quantiles.map(quantile =>
		`${name}${formatLabels({...labels, quantile: String(quantile)})} ${toSeconds(histogram.getValueAtPercentile(quantile * 100))}`);
	return [
		...lines,
		`${name}_sum${formatLabels(labels)} ${toSeconds(histogram.mean * histogram.totalCount)}`,
		`${name}_count${formatLabels(labels)} ${histogram.totalCount}`,
	];
}
