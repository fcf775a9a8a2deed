/** What a run of the experiment measured. */
import {build, type Histogram} from 'hdr-histogram-js';
import {requestClasses, type Arrival, type RequestClass} from './workload.js';

const percentile = 95;

/** How a request of the experiment ended. */
export const runEnds = {
	/** Answered whole before its deadline. */
	good: 'good',
	/** Refused before it was accepted. */
	refused: 'refused',
	/** Not whole at its deadline. */
	late: 'late',
	/** Given up on after failures. */
	failed: 'failed',
} as const;

/** One of the ends. */
export type RunEnd = typeof runEnds[keyof typeof runEnds];

/** The figures of one arm at one load. */
export type ExperimentResult = {
	readonly arm: string;
	readonly load: number;
	readonly seed: number;
	readonly offeredPerSecond: number;
	readonly goodPerSecond: number;
	readonly counts: Readonly<Record<RunEnd, number>>;
	readonly dispatches: number;
	readonly retries: number;
	/** Changes of the back end from one dispatch of an entry and a prefix to the next, as a part of the dispatches. */
	readonly flapPart: number;
	/** Prompt tokens taken from caches, as a part of all. */
	readonly cachedPart: number;
	/** Percentile 95 of the time to the first token of good answers, by class, in milliseconds. */
	readonly firstTokenP95Ms: Readonly<Record<RequestClass, number>>;
	/** Part of the requests that ended well, by class. */
	readonly classGoodPart: Readonly<Record<string, number>>;
	/** The same percentile for short answers, by workspace. */
	readonly workspaceP95Ms: Readonly<Record<string, number>>;
	/** Part of the engine requests that ended well, by workspace. */
	readonly workspaceGoodPart: Readonly<Record<string, number>>;
};

type Tally = {good: number; all: number};

/** Gathers the figures of one run. Requests before the end of the warm-up are left out. */
export class ResultRecorder {
	readonly #firstToken = new Map<RequestClass, Histogram>();
	readonly #byWorkspace = new Map<string, Histogram>();
	readonly #classTallies = new Map<string, Tally>();
	readonly #tallies = new Map<string, Tally>();
	readonly #counts: Record<RunEnd, number> = {
		good: 0, refused: 0, late: 0, failed: 0,
	};

	readonly #warmUpMs: number;
	readonly #choices = new Map<string, string>();
	#flaps = 0;
	#dispatches = 0;
	#retries = 0;
	#promptTokens = 0;
	#cachedTokens = 0;

	constructor(warmUpMs: number) {
		this.#warmUpMs = warmUpMs;
	}

	/** Counts a dispatch. */
	addDispatch({entry, prefix}: Arrival, backend: string, isRetry: boolean): void {
		const key = `${entry}/${prefix}`;
		const last = this.#choices.get(key);
		this.#choices.set(key, backend);
		this.#flaps += prefix !== '' && last !== undefined && last !== backend ? 1 : 0;
		this.#dispatches += 1;
		this.#retries += isRetry ? 1 : 0;
	}

	/** Counts the prompt of an answered request. */
	addPrompt(promptTokens: number, cachedTokens: number): void {
		this.#promptTokens += promptTokens;
		this.#cachedTokens += cachedTokens;
	}

	/** Counts the end of a request. */
	addEnd(arrival: Arrival, end: RunEnd, firstTokenMs?: number): void {
		if (arrival.at < this.#warmUpMs) {
			return;
		}

		this.#counts[end] += 1;
		const isGood = end === runEnds.good;
		addToTally(this.#classTallies, arrival.requestClass, isGood);
		if (arrival.maxTokens > 0) {
			addToTally(this.#tallies, arrival.workspace.name, isGood);
		}

		if (isGood && firstTokenMs !== undefined) {
			getHistogram(this.#firstToken, arrival.requestClass).recordValue(Math.round(firstTokenMs));
			if (arrival.requestClass === requestClasses.shortAnswer) {
				getHistogram(this.#byWorkspace, arrival.workspace.name).recordValue(Math.round(firstTokenMs));
			}
		}
	}

	/** Gives the figures. */
	getResult(facts: {readonly arm: string; readonly load: number; readonly seed: number; readonly measuredMs: number}): ExperimentResult {
		const {measuredMs, ...rest} = facts;
		const all = Object.values(this.#counts).reduce((sum, count) => sum + count, 0);
		return {
			...rest,
			offeredPerSecond: round(all * 1000 / measuredMs),
			goodPerSecond: round(this.#counts.good * 1000 / measuredMs),
			counts: {...this.#counts},
			dispatches: this.#dispatches,
			retries: this.#retries,
			flapPart: round(this.#flaps / Math.max(1, this.#dispatches)),
			cachedPart: round(this.#cachedTokens / Math.max(1, this.#promptTokens)),
			firstTokenP95Ms: {
				document: getPercentile(this.#firstToken.get('document')),
				shortAnswer: getPercentile(this.#firstToken.get('shortAnswer')),
				lookup: getPercentile(this.#firstToken.get('lookup')),
				booking: getPercentile(this.#firstToken.get('booking')),
			},
			workspaceP95Ms: Object.fromEntries([...this.#byWorkspace].map(([name, histogram]) => [name, getPercentile(histogram)])),
			workspaceGoodPart: getGoodParts(this.#tallies),
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
