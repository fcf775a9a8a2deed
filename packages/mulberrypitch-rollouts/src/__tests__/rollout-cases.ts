/** The roll-outs whose decisions are tested and measured. */

/** A kind of request. Times are lognormal. */
export type SyntheticRoute = {
	readonly name: string; readonly part: number; readonly medianMs: number; readonly spread: number;
	readonly failedPart: number; readonly streamMs: number;
};
/** What is wrong with an answer: the probabilities of a failure, of slowness by `factor`, of none before the deadline of the request, and of a refusal. */
export type Fault = {readonly failed?: number; readonly slow?: number; readonly factor?: number; readonly hangs?: number; readonly refused?: number};
/** A roll-out to be simulated. `at` is the time in milliseconds since the order. */
export type SyntheticCase = {
	readonly name: string; readonly isBad: boolean; readonly rate: number; readonly durationMs: number; readonly backends: number;
	readonly routes: readonly SyntheticRoute[]; readonly targetStartMs?: number; readonly coldFactor?: number;
	readonly lostEntryAtMs?: number; readonly noLeaderFromMs?: number; readonly noLeaderMs?: number;
	/** Part of the arriving requests that are refused without being sent. */
	readonly refusedPart?: number;
	/** Part of the rate that arrives from 40 % of the duration on. */
	readonly laterRatePart?: number;
	readonly faults?: (input: {at: number; route: string; share: number; isTarget: boolean}) => Fault;
};

const question: SyntheticRoute = {
	name: 'question', part: 0.5, medianMs: 300, spread: 0.5, failedPart: 0, streamMs: 300,
};
const assessment: SyntheticRoute = {
	name: 'assessment', part: 0.25, medianMs: 900, spread: 0.6, failedPart: 0.01, streamMs: 4000,
};
const posting: SyntheticRoute = {
	name: 'posting', part: 0.2, medianMs: 60, spread: 0.4, failedPart: 0.14, streamMs: 0,
};
const lookup: SyntheticRoute = {
	name: 'lookup', part: 0.05, medianMs: 60, spread: 0.4, failedPart: 0, streamMs: 0,
};
const routes = [question, assessment, posting, lookup];

/** Rates per second and durations for which each case is run. */
const traffic = [
	{rate: 5, durationMs: 12_000, backends: 3},
	{rate: 20, durationMs: 30_000, backends: 3},
	{rate: 100, durationMs: 8000, backends: 12},
	{rate: 100, durationMs: 60_000, backends: 12},
	{rate: 500, durationMs: 12_000, backends: 42},
	{rate: 500, durationMs: 60_000, backends: 42},
];

/** Faults of bad versions. */
const failing: Fault = {failed: 0.3};
const partlySlow: Fault = {slow: 0.3, factor: 4};
const slow: Fault = {slow: 1, factor: 4};
const none: Fault = {};

/** Rate per second below which 15 % of the requests are too few to tell anything of the target: 9 in 12 s at 5 per second. */
const minRate = 20;

type Variant = Pick<SyntheticCase, 'name' | 'isBad'> & Partial<SyntheticCase>;

function createVariants({durationMs, rate}: Pick<SyntheticCase, 'durationMs' | 'rate'>): Variant[] {
	const later = durationMs * 0.4;
	const trouble = [durationMs * 0.35, durationMs * 0.65] as const;
	const isTrouble = (at: number) => trouble.some(start => at >= start && at < start + 1500);
	const good = (name: string, rest: Partial<SyntheticCase> = {}) => ({name, isBad: false, ...rest});
	const bad = (name: string, faults: SyntheticCase['faults']) => ({name, isBad: true, faults});
	return [
		good('sound'),
		good('cold servers', {coldFactor: 8}),
		good('failures of both sides', {faults: ({at}) => isTrouble(at) ? {failed: 0.4} : none}),
		good('slowness of both sides', {faults: ({at}) => isTrouble(at) ? {slow: 0.5, factor: 4} : none}),
		good('old back ends crash', {faults: ({at, isTarget}) => isTrouble(at) && !isTarget ? {failed: 0.5} : none}),
		good('evidence of an entry is lost', {lostEntryAtMs: Math.round(durationMs * 0.05) * 10}),
		good('no leader before the ramp', {noLeaderFromMs: durationMs * 0.5}),
		good('no leader near the end', {noLeaderFromMs: durationMs - 4000}),
		good('target starts late', {targetStartMs: durationMs * 0.25}),
		good('refused requests', {refusedPart: rate < minRate ? 0.5 : 0.85}),
		good('target refuses at its start', {faults: ({at, isTarget}) => isTarget && at < durationMs * 0.2 ? {refused: 0.5} : none}),
		good('falling traffic', {laterRatePart: 0.2}),
		good('no leader until shortly before the deadline', {noLeaderFromMs: durationMs * 0.5, noLeaderMs: (durationMs * 0.5) - 1400}),
		bad('fails at once', ({isTarget}) => isTarget ? failing : none),
		bad('partly slow at once', ({isTarget}) => isTarget ? partlySlow : none),
		bad('slow at once', ({isTarget}) => isTarget ? slow : none),
		{...bad('hangs at once', ({isTarget}) => isTarget ? {hangs: 1} : none), refusedPart: 0.4},
		bad('fails later', ({isTarget, at}) => isTarget && at > later ? failing : none),
		bad('partly slow later', ({isTarget, at}) => isTarget && at > later ? partlySlow : none),
		bad('fails under load', ({isTarget, share}) => isTarget && share > 0.25 ? failing : none),
		bad('slow under load', ({isTarget, share}) => isTarget && share > 0.25 ? slow : none),
		bad('fails under high load', ({isTarget, share}) => isTarget && share > 0.7 ? failing : none),
		bad('fails on a route of 20 %', ({isTarget, route}) => isTarget && route === 'posting' ? failing : none),
		bad('fails on a route of 5 %', ({isTarget, route}) => isTarget && route === 'lookup' ? failing : none),
		bad('slow on a route of 5 %', ({isTarget, route}) => isTarget && route === 'lookup' ? slow : none),
	];
}

/** All cases: each variant at each rate and duration. */
export const cases: readonly SyntheticCase[] = traffic.flatMap(flow => createVariants(flow)
	.map(variant => ({
		...flow, routes, ...variant, name: `${variant.name}, ${flow.rate}/s, ${flow.durationMs / 1000} s`,
	})));
