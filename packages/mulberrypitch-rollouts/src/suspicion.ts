/** How strongly the evidence speaks against the target, over all routes, both since the share came into force and before. */
import type {AnswerSums, RolloutObservation, RouteEvidence} from '@mulberrypitch/serving/rollout-messages';
import {noAnswers, subtractEvidence, sumRoutes} from './evidence-sums.js';
import {
	compareFailures, comparePending, compareTimes, type ComparisonOptions, countPending, getShiftLevel, poolShifts,
} from './side-comparison.js';
import {getSchedule} from './share-schedule.js';

/** From this share on the others get too few requests to be compared with at the same time. */
const maxComparedShare = 0.95;
/** Margins of a comparison at the same time. They keep single back ends that crash or are slow from deciding on a version. */
const comparedMargins = {failureMargin: 0.01, timeMargin: 0.1};
/**
 * Margins of a comparison with earlier answers of the others. Trouble that hits both sides can't be told apart then, so only a
 * failure of about half of the requests or times several times longer count.
 */
const earlierMargins = {failureMargin: 0.45, timeMargin: Math.log(3)};
/** Requests without an answer vary in bursts, so their ratio counts less. */
const pendingWeight = 0.6;
/**
 * Largest level that is carried over from before the share. The sums over several shares mix times in which the parts of both
 * sides differed, so they must not decide by themselves.
 */
const maxCarried = 4;
/** Name of the comparison over all routes. */
const allRoutes = 'all routes';

/** The strongest evidence against the target. */
export type Suspicion = {
	/** Natural logarithm of the likelihood ratio. */
	readonly level: number;
	readonly reason: string;
};

type Levels = {failures: number; first: number; pause: number};

/**
Returns the strongest evidence against the target among routes and metrics.

@example
```
const {level, reason} = getSuspicion(observation);
```
*/
export function getSuspicion(observation: RolloutObservation): Suspicion {
	const {routes, routesBefore, share, targetBackends} = observation;
	const recent = subtractEvidence(routes, routesBefore);
	const isCompared = share < maxComparedShare;
	// The share changes little during the probe, so sums over all of it compare both sides at the same time.
	const isProbe = observation.elapsedMs - observation.shareAgeMs < getSchedule(observation.durationMs).rampMs;
	const coldBackends = countCold(sumRoutes(routesBefore, 'target'), targetBackends);
	const recentLevels = isCompared
		? getLevels(recent, {
			...comparedMargins, coldBackends, observation, earlier: routesBefore,
		})
		: getLevels(
			recent.map(({route, target}, index) => ({route, target, others: routes[index]!.others})),
			{
				...earlierMargins, coldBackends, observation, earlier: [],
			},
		);
	const options = {
		...comparedMargins, coldBackends: targetBackends, observation, earlier: [],
	};
	const carriedLevels = getLevels(isCompared ? routesBefore : [], options);
	const allLevels = getLevels(isProbe ? routes : [], options);
	let strongest: Suspicion = {level: 0, reason: 'no evidence against the target'};
	const consider = (route: string, metric: string, level: number) => {
		if (level > strongest.level) {
			strongest = {level, reason: `${metric} of ${route}: log likelihood ratio ${level.toFixed(1)}`};
		}
	};

	for (const [route, levels] of recentLevels) {
		for (const metric of ['failures', 'first', 'pause'] as const) {
			// Evidence from before never speaks for the target, since a version may turn bad, and against it only as much as the present.
			const recentLevel = Math.max(0, levels[metric]);
			const carried = Math.min(maxCarried, recentLevel, Math.max(0, carriedLevels.get(route)?.[metric] ?? 0));
			consider(route, metric, Math.max(recentLevel + carried, allLevels.get(route)?.[metric] ?? 0));
		}
	}

	for (const [index, {route, target, others}] of routes.entries()) {
		const {target: targetRecent, others: othersRecent} = recent[index]!;
		consider(nameRoute(route), 'waiting requests', pendingWeight * comparePending({
			target, targetRecent, others, othersRecent, shareAgeMs: observation.shareAgeMs,
			coldAnswers: getColdAnswers(coldBackends, targetRecent.sent, recent),
		}));
	}

	return strongest;
}

/** Returns the levels of each route, and those of all routes together. */
function getLevels(routes: readonly RouteEvidence[], options: Omit<ComparisonOptions, 'coldAnswers'> & {
	readonly coldBackends: number;
	readonly observation: RolloutObservation;
	readonly earlier: readonly RouteEvidence[];
}): Map<string, Levels> {
	const {coldBackends, observation, earlier, failureMargin} = options;
	const before = new Map(earlier.map(evidence => [evidence.route, evidence.others]));
	const comparisons = routes.map(({route, target, others}) => {
		const warm = {...options, coldAnswers: 0};
		const cold = {...options, coldAnswers: getColdAnswers(coldBackends, target.sent, routes)};
		return {
			name: nameRoute(route),
			failures: compareFailures(target, others, {earlier: before.get(route) ?? noAnswers, margin: failureMargin}),
			first: compareTimes(target.first, others.first, cold),
			pause: compareTimes(target.pause, others.pause, warm),
			pooledFirst: compareTimes(target.first, others.first, {...cold, isPooled: true}),
			pooledPause: compareTimes(target.pause, others.pause, {...warm, isPooled: true}),
		};
	});
	const levels = new Map<string, Levels>(comparisons.map(({name, failures, first, pause}) => [
		name, {failures, first: getShiftLevel(first, observation), pause: getShiftLevel(pause, observation)},
	]));
	levels.set(allRoutes, {
		failures: comparisons.reduce((sum, {failures}) => sum + failures, 0),
		first: getShiftLevel(poolShifts(comparisons.map(({pooledFirst}) => pooledFirst)), observation),
		pause: getShiftLevel(poolShifts(comparisons.map(({pooledPause}) => pooledPause)), observation),
	});
	return levels;
}

/**
 * Number of back ends whose first answer was still to come when the share came into force. Answers of cold servers may come after
 * later ones of others, so half of the requests that waited then count until three times as many as back ends were sent.
 */
function countCold(before: AnswerSums, targetBackends: number): number {
	const unsent = Math.max(0, targetBackends - before.sent);
	return unsent + Math.min(countPending(before) / 2, Math.max(0, (3 * targetBackends) - before.sent));
}

/** Number of first answers of cold servers that are expected among the given number of requests of one route. */
function getColdAnswers(coldBackends: number, sent: number, routes: readonly RouteEvidence[]): number {
	return coldBackends * sent / Math.max(1, sumRoutes(routes, 'target').sent);
}

function nameRoute(route: string): string {
	return `route ${JSON.stringify(route)}`;
}
