/** How strongly the evidence speaks against the target, over all routes and both since the share came into force and before. */
import type {RolloutObservation} from '@mulberrypitch/serving/rollout-messages';
import {noAnswers, subtractEvidence, sumRoutes} from './evidence-sums.js';
import {compareSides, comparePending, type Comparison} from './side-comparison.js';

/** From this share on the others get too few requests to be compared with at the same time. */
const maxComparedShare = 0.95;
/** Margins of a comparison at the same time. They keep single back ends that crash or are slow from deciding on a version. */
const comparedMargins = {failureMargin: 0.02, timeMargin: 0.1};
/** Margins of a comparison with earlier answers of the others, when trouble that hits both sides can't be told apart. */
const earlierMargins = {failureMargin: 0.1, timeMargin: 0.4};
/** Requests without an answer vary in bursts, so their ratio counts less. */
const pendingWeight = 0.6;
/**
 * Largest logarithm of a ratio that is carried over from before the share. The sums over several shares mix times in which the parts
 * of both sides differed, so they must not decide by themselves.
 */
const maxCarried = 5;

/** The strongest evidence against the target. */
export type Suspicion = {
	/** Natural logarithm of the likelihood ratio. */
	readonly level: number;
	readonly reason: string;
};

/**
Returns the strongest evidence against the target among routes and metrics.

@example
```
const {level, reason} = getSuspicion(observation);
```
*/
export function getSuspicion(observation: RolloutObservation): Suspicion {
	const {routes, routesBefore, share, shareAgeMs, targetBackends} = observation;
	const before = new Map(routesBefore.map(evidence => [evidence.route, evidence]));
	const answeredBefore = sumRoutes(routesBefore, 'target').succeeded;
	const coldBackends = Math.max(0, targetBackends - answeredBefore);
	const isCompared = share < maxComparedShare;
	let strongest: Suspicion = {level: 0, reason: 'no evidence against the target'};
	for (const {route, target, others} of subtractEvidence(routes, routesBefore)) {
		const all = routes.find(evidence => evidence.route === route)!;
		const earlier = before.get(route) ?? {target: noAnswers, others: noAnswers};
		const reference = isCompared ? others : all.others;
		const margins = isCompared ? comparedMargins : earlierMargins;
		const recent = compareSides(target, reference, {...margins, coldBackends});
		const carried = compareSides(earlier.target, earlier.others, {...comparedMargins, coldBackends: targetBackends});
		const levels = {
			...combine(recent, carried),
			pending: pendingWeight * comparePending({
				target: all.target, sinceShare: target, others: all.others, othersSinceShare: others, shareAgeMs, coldBackends,
			}),
		};
		for (const [metric, level] of Object.entries(levels)) {
			if (level > strongest.level) {
				strongest = {level, reason: `${metric} on route ${JSON.stringify(route)}: log likelihood ratio ${level.toFixed(1)}`};
			}
		}
	}

	return strongest;
}

/** Evidence from before adds to that of the present share. It never speaks for the target, since a version may turn bad. */
function combine(recent: Comparison, carried: Comparison): Comparison {
	const add = (metric: keyof Comparison) => recent[metric] + Math.min(maxCarried, Math.max(0, carried[metric]));
	return {failures: add('failures'), first: add('first'), pause: add('pause')};
}
