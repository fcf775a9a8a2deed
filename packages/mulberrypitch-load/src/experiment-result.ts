/** Measurements of a run of the experiment. */
import {build, type Histogram} from 'hdr-histogram-js';
import {requestClasses, type Arrival, type RequestClass} from './workload.js';

const percentile = 95;

/** The outcomes of a request. */
export const requestOutcomes = {
	/** Answered completely before its deadline. */
	good: 'good',
	/** Refused by admission control. */
	refused: 'refused',
	/** Not answered completely at its deadline. */
	late: 'late',
	/** Abandoned after failed attempts, before its deadline. */
	failed: 'failed',
} as const;

/** One outcome of a request. */
export type RequestOutcome = typeof requestOutcomes[keyof typeof requestOutcomes];

/** Measurements of one arm at one load. */
export type ExperimentResult = {
	readonly arm: string;
	readonly load: number;
	readonly seed: number;
	/** Requests per second, whatever their outcome. */
	readonly offeredPerSecond: number;
	readonly goodPerSecond: number;
	readonly counts: Readonly<Record<RequestOutcome, number>>;
	readonly dispatches: number;
	readonly retries: number;
	/** Share of the dispatches that went to another back end than the previous dispatch of the same prefix by the same entry host. */
	readonly flapPart: number;
	/** Largest demand of an entry host as a multiple of the mean of all, averaged over time. */
	readonly entryImbalance: number;
	/** Share of the prompt tokens that came from prefix caches. */
	readonly cachedPart: number;
	/** 95th percentile of the time to the first token of good answers, by class, in milliseconds. */
	readonly firstTokenP95Ms: Readonly<Record<RequestClass, number>>;
	/** Share of the requests with a good outcome, by class. */
	readonly classGoodPart: Readonly<Record<string, number>>;
	/** 95th percentile of the time to the first token of good short answers, by workspace, in milliseconds. */
	readonly workspaceP95Ms: Readonly<Record<string, number>>;
	/** Share of the engine requests with a good outcome, by workspace. */
	readonly workspaceGoodPart: Readonly<Record<string, number>>;
};

type Tally = {good: number; all: number};

/** Collects the measurements of one run. Outcomes and dispatches of requests that arrive during the warm-up are not counted. */
export class ResultRecorder {
	readonly #firstTokenByClass = new Map<RequestClass, Histogram>();
	readonly #shortAnswersByWorkspace = new Map<string, Histogram>();
	readonly #classTallies = new Map<string, Tally>();
	readonly #workspaceTallies = new Map<string, Tally>();
	readonly #outcomeCounts: Record<RequestOutcome, number> = {
		good: 0, refused: 0, late: 0, failed: 0,
	};

	readonly #warmUpMs: number;
	readonly #lastBackends = new Map<string, string>();
	#imbalanceSum = 0;
	#imbalanceSamples = 0;
	#backendChanges = 0;
	#dispatches = 0;
	#retries = 0;
	#promptTokens = 0;
	#cachedTokens = 0;

	constructor(warmUpMs: number) {
		this.#warmUpMs = warmUpMs;
	}

	/** Counts a dispatch, unless its request arrived during the warm-up. */
	addDispatch({at, entry, prefix}: Arrival, backend: string, isRetry: boolean): void {
		const key = `${entry}/${prefix}`;
		const last = this.#lastBackends.get(key);
		this.#lastBackends.set(key, backend);
		if (at < this.#warmUpMs) {
			return;
		}

		this.#backendChanges += prefix !== '' && last !== undefined && last !== backend ? 1 : 0;
		this.#dispatches += 1;
		this.#retries += isRetry ? 1 : 0;
	}

	/** Adds a sample of the largest demand of an entry host, as a multiple of the mean. */
	addImbalance(factor: number): void {
		this.#imbalanceSum += factor;
		this.#imbalanceSamples += 1;
	}

	/** Counts the prompt tokens of an answered request, and those that came from a prefix cache. */
	addPrompt(promptTokens: number, cachedTokens: number): void {
		this.#promptTokens += promptTokens;
		this.#cachedTokens += cachedTokens;
	}

	/** Counts the outcome of a request. */
	addOutcome(arrival: Arrival, outcome: RequestOutcome, firstTokenMs?: number): void {
		if (arrival.at < this.#warmUpMs) {
			return;
		}

		this.#outcomeCounts[outcome] += 1;
		const isGood = outcome === requestOutcomes.good;
		addToTally(this.#classTallies, arrival.requestClass, isGood);
		if (arrival.maxTokens > 0) {
			addToTally(this.#workspaceTallies, arrival.workspace.name, isGood);
		}

		if (isGood && firstTokenMs !== undefined) {
			getHistogram(this.#firstTokenByClass, arrival.requestClass).recordValue(Math.round(firstTokenMs));
			if (arrival.requestClass === requestClasses.shortAnswer) {
				getHistogram(this.#shortAnswersByWorkspace, arrival.workspace.name).recordValue(Math.round(firstTokenMs));
			}
		}
	}

	/** Returns the measurements of the run. */
	getResult(run: {readonly arm: string; readonly load: number; readonly seed: number; readonly measuredMs: number}): ExperimentResult {
		const {measuredMs, ...rest} = run;
		const all = Object.values(this.#outcomeCounts).reduce((sum, count) => sum + count, 0);
		return {
			...rest,
			offeredPerSecond: round(all * 1000 / measuredMs),
			goodPerSecond: round(this.#outcomeCounts.good * 1000 / measuredMs),
			counts: {...this.#outcomeCounts},
			dispatches: this.#dispatches,
			retries: this.#retries,
			flapPart: round(this.#backendChanges / Math.max(1, this.#dispatches)),
			entryImbalance: round(this.#imbalanceSum / Math.max(1, this.#imbalanceSamples)),
			cachedPart: round(this.#cachedTokens / Math.max(1, this.#promptTokens)),
			firstTokenP95Ms: {
				document: getPercentile(this.#firstTokenByClass.get('document')),
				shortAnswer: getPercentile(this.#firstTokenByClass.get('shortAnswer')),
				lookup: getPercentile(this.#firstTokenByClass.get('lookup')),
				booking: getPercentile(this.#firstTokenByClass.get('booking')),
			},
			workspaceP95Ms: Object.fromEntries([...this.#shortAnswersByWorkspace].map(([name, histogram]) => [name, getPercentile(histogram)])),
			workspaceGoodPart: getGoodParts(this.#workspaceTallies),
			classGoodPart: getGoodParts(this.#classTallies),
		};
	}
}

function addToTally(tallies: Map<string, Tally>, name: string, isGood: boolean): void {
	const tally = tallies.get(name) ?? {good: 0, all: 0};
	tallies.set(name, {good: tally.good + (isGood ? 1 : 0), all: tally.all + 1});
}

function getGoodParts(tallies: ReadonlyMap<string, Tally>): Record<string, number> {
	return Object.fromEntries([...tallies].map(([name, {good, all}]) => [name, round(good / all)]));
}

function getHistogram<Key>(histograms: Map<Key, Histogram>, key: Key): Histogram {
	const histogram = histograms.get(key) ?? build();
	histograms.set(key, histogram);
	return histogram;
}

function getPercentile(histogram: Histogram | undefined): number {
	return histogram?.getValueAtPercentile(percentile) ?? 0;
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
