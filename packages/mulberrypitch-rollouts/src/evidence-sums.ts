/** Sums of what entries observe of both versions, and the evidence since a share came into force. */
import type {AnswerSums, LogTimeSums, RouteEvidence} from '@mulberrypitch/serving/rollout-messages';

/** Sums of no answers. */
export const noAnswers: AnswerSums = {
	sent: 0, succeeded: 0, failed: 0, first: {count: 0, sum: 0, squares: 0}, pause: {count: 0, sum: 0, squares: 0},
};

/**
Returns the sums of both groups of answers.

@example
```
const both = addAnswers(evidence.target, evidence.others);
```
*/
export function addAnswers(a: AnswerSums, b: AnswerSums): AnswerSums {
	return {
		sent: a.sent + b.sent,
		succeeded: a.succeeded + b.succeeded,
		failed: a.failed + b.failed,
		...combineUnanswered(a, b, (left, right) => left + right),
		first: addTimes(a.first, b.first),
		pause: addTimes(a.pause, b.pause),
	};
}

/**
Returns the answers that `later` has more than `earlier`. Counts that became smaller, as when an entry's evidence was lost, give
zero. The times of a metric whose count did not increase are empty.

@example
```
const sinceShare = subtractAnswers(now.target, before.target);
```
*/
export function subtractAnswers(later: AnswerSums, earlier: AnswerSums): AnswerSums {
	return {
		sent: Math.max(0, later.sent - earlier.sent),
		succeeded: Math.max(0, later.succeeded - earlier.succeeded),
		failed: Math.max(0, later.failed - earlier.failed),
		...combineUnanswered(later, earlier, (left, right) => Math.max(0, left - right)),
		first: subtractTimes(later.first, earlier.first),
		pause: subtractTimes(later.pause, earlier.pause),
	};
}

/**
Adds the evidence of several entries, route by route.

@example
```
const routes = addEvidence(statuses.map(status => status.routes));
```
*/
export function addEvidence(lists: ReadonlyArray<readonly RouteEvidence[]>): RouteEvidence[] {
	const sums = new Map<string, RouteEvidence>();
	for (const evidence of lists.flat()) {
		const sum = sums.get(evidence.route);
		sums.set(evidence.route, sum === undefined
			? evidence
			: {
				route: evidence.route,
				target: addAnswers(sum.target, evidence.target),
				others: addAnswers(sum.others, evidence.others),
			});
	}

	return [...sums.values()];
}

/**
Returns the evidence that `later` has more than `earlier`, for each route of `later`.

@example
```
const sinceShare = subtractEvidence(observation.routes, observation.routesBefore);
```
*/
export function subtractEvidence(later: readonly RouteEvidence[], earlier: readonly RouteEvidence[]): RouteEvidence[] {
	const before = new Map(earlier.map(evidence => [evidence.route, evidence]));
	return later.map(evidence => ({
		route: evidence.route,
		target: subtractAnswers(evidence.target, before.get(evidence.route)?.target ?? noAnswers),
		others: subtractAnswers(evidence.others, before.get(evidence.route)?.others ?? noAnswers),
	}));
}

/**
Returns whether sums of `earlier` are missing from `later`, so that their difference is no evidence. Few sends are no sign of that,
since requests may also be refused, wait for a back end, or become fewer.

@example
```
const isLost = isEvidenceLost(observation.routes, observation.routesBefore);
```
*/
export function isEvidenceLost(later: readonly RouteEvidence[], earlier: readonly RouteEvidence[]): boolean {
	const now = new Map(later.map(evidence => [evidence.route, evidence]));
	return earlier.some(({route, target, others}) => isSmaller(now.get(route)?.target ?? noAnswers, target) || isSmaller(now.get(route)?.others ?? noAnswers, others));
}

/**
Returns the sums of one side over all routes.

@example
```
const {sent} = sumRoutes(observation.routes, 'target');
```
*/
export function sumRoutes(routes: readonly RouteEvidence[], side: 'target' | 'others'): AnswerSums {
	let sum = noAnswers;
	for (const evidence of routes) {
		sum = addAnswers(sum, evidence[side]);
	}

	return sum;
}

/** Combines the counts of requests that ended without a first event. An entry of a version before reports the failed ones only. */
function combineUnanswered(a: AnswerSums, b: AnswerSums, combine: (left: number, right: number) => number): Pick<AnswerSums, 'unanswered'> {
	return a.unanswered === undefined && b.unanswered === undefined ? {} : {unanswered: combine(a.unanswered ?? a.failed, b.unanswered ?? b.failed)};
}

function isSmaller(later: AnswerSums, earlier: AnswerSums): boolean {
	return later.sent < earlier.sent || later.succeeded < earlier.succeeded || later.failed < earlier.failed;
}

function addTimes(a: LogTimeSums, b: LogTimeSums): LogTimeSums {
	return {count: a.count + b.count, sum: a.sum + b.sum, squares: a.squares + b.squares};
}

function subtractTimes(later: LogTimeSums, earlier: LogTimeSums): LogTimeSums {
	const count = later.count - earlier.count;
	return count > 0
		? {count, sum: later.sum - earlier.sum, squares: Math.max(0, later.squares - earlier.squares)}
		: noAnswers.first;
}
