/**
 * Compares the answers of the target with those of the other versions within one route. A level is the logarithm of a likelihood
 * ratio of "the target is worse" to "both are alike". A ratio of marginal likelihoods is valid at each look, however often it is
 * looked at: with both alike it ever reaches `x` with a probability of at most `1 / x`.
 */
import type {AnswerSums, LogTimeSums} from '@mulberrypitch/serving/rollout-messages';
import {getLogBeta} from './log-gamma.js';

/** Failures that are assumed of a healthy route of which nothing is known: a mean of 5 %, worth 10 answers. */
const priorFailed = 0.5;
const priorSucceeded = 10;
/** Number of answers that earlier answers of the others are worth, however many they are, since conditions change. */
const earlierWeight = 10;
/** Prior standard deviation of the difference of mean logarithms; 0.4 is the effect of 30 % of answers being 4 times slower. */
const priorShift = 0.6;
/** Prior variance of the logarithm of a time, and the number of answers it is worth. */
const priorVariance = 0.25;
const priorVarianceWeight = 4;
/** The tails of times are heavier than those of a lognormal distribution. */
const varianceFactor = 1.2;
/**
 * Variance of the mean logarithm of one back end's times. With 3 back ends on each side, one that is 2.5 times as slow stays below
 * the level of a roll-back, and 30 % of all answers 4 times slower does not.
 */
const backendVariance = 0.0036;
/** Times of fewer answers are not compared, since their mean is far from normal. */
const minTimes = 8;
/** Natural logarithm of the slowdown that is granted to the first answer of a cold server, a factor of 10. */
const coldLog = Math.log(10);
/** Standard deviations by which a route may get more of the first answers of cold servers than its part. */
const coldDeviations = 2;
/** Times of routes with fewer answers are left out of the comparison over all routes. */
const minPooledTimes = 2;
/** Time in milliseconds by which counts of requests that were sent may lag behind a new share. */
const reportLagMs = 400;
/** Requests without an answer are tolerated up to this multiple of what the others' times let expect. */
const pendingTolerance = 1.6;

/** How a comparison is made. */
export type ComparisonOptions = {
	/** Failures that the target may have beyond those of the others, as a part of its requests. */
	readonly failureMargin: number;
	/** Difference of mean logarithms that the target may have. */
	readonly timeMargin: number;
	/** First answers of cold servers that are expected in this route. */
	readonly coldAnswers: number;
};

/** Difference of the mean logarithms of times, beyond what is tolerated, with its variance. */
export type TimeShift = {
	readonly difference: number;
	readonly variance: number;
	/** Degrees of freedom of the variance. */
	readonly freedom: number;
	/** Answers of the target. */
	readonly count: number;
};

/**
Returns the level of suspicion by failures. The proportion is that of requests sent, because failures that come faster than
successes would count too much in answers just after a change of the share. `earlier` are answers of the others from before.

@example
```
const level = compareFailures(sinceShare.target, sinceShare.others, {earlier: before.others, margin: 0.02});
```
*/
export function compareFailures(target: AnswerSums, others: AnswerSums, {earlier, margin}: {
	readonly earlier: AnswerSums;
	readonly margin: number;
}): number {
	// After a share has changed, answers to requests from before it don't match those sent since. Of both ways to count, that is taken
	// which shows fewer failures of the target and more of the others.
	const targetSent = Math.max(target.sent, target.succeeded + target.failed);
	const othersSent = Math.max(others.sent, others.failed);
	const earlierSent = Math.max(earlier.sent, earlier.failed);
	const earlierPart = Math.min(1, earlierWeight / Math.max(1, earlierSent));
	const baseFailed = others.failed + (earlier.failed * earlierPart);
	const baseSent = othersSent + (earlierSent * earlierPart);
	// What is known from before takes the place of the general prior.
	const priorPart = 1 - (0.8 * earlierSent * earlierPart / earlierWeight);
	const failed = (priorFailed * priorPart) + baseFailed + (margin * baseSent);
	const succeeded = (priorSucceeded * priorPart) + Math.max(0, baseSent - baseFailed - (margin * baseSent));
	const targetSucceeded = targetSent - target.failed;
	const alike = getLogBeta(failed + target.failed, succeeded + targetSucceeded) - getLogBeta(failed, succeeded);
	const level = getLogBeta(1 + target.failed, 1 + targetSucceeded) - alike;
	return target.failed * (failed + succeeded) > failed * targetSent ? level : Math.min(0, level);
}

/**
Compares the times of both sides. Returns undefined for too few answers. For a shift that is combined with those of other routes,
fewer answers do, and the route gets its expected part of the first answers of cold servers.

@example
```
const shift = compareTimes(sinceShare.target.first, sinceShare.others.first, {failureMargin: 0.02, timeMargin: 0.1, coldAnswers: 0});
```
*/
export function compareTimes(
	target: LogTimeSums,
	others: LogTimeSums,
	{timeMargin, coldAnswers, isPooled = false}: ComparisonOptions & {readonly isPooled?: boolean},
): TimeShift | undefined {
	if (target.count < (isPooled ? minPooledTimes : minTimes) || others.count < minPooledTimes) {
		return undefined;
	}

	const cold = Math.min(target.count, coldAnswers + (isPooled ? 0 : coldDeviations * Math.sqrt(coldAnswers)));
	const {mean, variance} = getMoments(others);
	return {
		difference: (target.sum / target.count) - mean - timeMargin - (cold * coldLog / target.count),
		// If both are alike, so are the variances. The target's own would hide that a part of its answers is slow.
		variance: varianceFactor * variance * ((1 / target.count) + (1 / others.count)),
		freedom: priorVarianceWeight + others.count - 1,
		count: target.count,
	};
}

/**
Combines the shifts of several routes into that of a version which is slower on all of them.

@example
```
const shift = poolShifts(routes.map(route => route.first));
```
*/
export function poolShifts(shifts: ReadonlyArray<TimeShift | undefined>): TimeShift | undefined {
	let weight = 0;
	let weighted = 0;
	let freedom = 0;
	let count = 0;
	for (const shift of shifts.filter(each => each !== undefined)) {
		weight += 1 / shift.variance;
		weighted += shift.difference / shift.variance;
		freedom += shift.freedom;
		count += shift.count;
	}

	return count < minTimes
		? undefined
		: {
			difference: weighted / weight, variance: 1 / weight, freedom, count,
		};
}

/**
Returns the level of suspicion by a shift of times, for the numbers of back ends of both sides.

@example
```
const level = getShiftLevel(shift, {targetBackends: 42, otherBackends: 42});
```
*/
export function getShiftLevel(shift: TimeShift | undefined, {targetBackends, otherBackends}: {
	readonly targetBackends: number;
	readonly otherBackends: number;
}): number {
	if (shift === undefined || shift.difference <= 0) {
		return 0;
	}

	const {difference, freedom} = shift;
	const variance = shift.variance + (backendVariance * ((1 / Math.max(1, targetBackends)) + (1 / Math.max(1, otherBackends))));
	const prior = priorShift ** 2;
	const gain = (difference ** 2) * prior / (variance * (variance + prior));
	// With an estimated variance the exponential of the normal density becomes the power of Student's.
	return ((freedom + 1) / 2 * Math.log(1 + (gain / freedom))) - (Math.log(1 + (prior / variance)) / 2);
}

/**
Compares the number of requests that wait for their first event with the number expected from the others' times. A version that
is slower shows this before its slow answers arrive. `target` and `others` hold all requests, the other two those since the share
came into force.

@example
```
const level = comparePending({target, targetRecent, others, othersRecent, shareAgeMs: 800, coldAnswers: 0});
```
*/
export function comparePending({target, targetRecent, others, othersRecent, shareAgeMs, coldAnswers}: {
	readonly target: AnswerSums;
	readonly targetRecent: AnswerSums;
	readonly others: AnswerSums;
	readonly othersRecent: AnswerSums;
	readonly shareAgeMs: number;
	readonly coldAnswers: number;
}): number {
	if (shareAgeMs < 2 * reportLagMs || others.first.count < minTimes) {
		return 0;
	}

	const {mean, variance} = getMoments(others.first);
	const othersRate = othersRecent.sent / shareAgeMs;
	const measuredMs = othersRate > 0 ? countPending(others) / othersRate : 0;
	const expectedMs = Math.max(Math.exp(mean + (variance / 2)), measuredMs);
	const rate = targetRecent.sent / (shareAgeMs - reportLagMs);
	const cold = Math.min(targetRecent.sent, coldAnswers + (coldDeviations * Math.sqrt(coldAnswers)));
	const expected = 1 + cold + (pendingTolerance * rate * expectedMs);
	const pending = countPending(target);
	return pending > expected ? (pending * Math.log(pending / expected)) - pending + expected - Math.log(1 + pending) : 0;
}

/**
Returns the number of requests that wait for their first event.

@example
```
const waiting = countPending(evidence.target);
```
*/
export function countPending(answers: AnswerSums): number {
	return Math.max(0, answers.sent - answers.first.count - (answers.unanswered ?? answers.failed));
}

function getMoments({count, sum, squares}: LogTimeSums): {mean: number; variance: number} {
	const mean = sum / count;
	const deviations = Math.max(0, squares - (sum * mean));
	return {mean, variance: ((priorVarianceWeight * priorVariance) + deviations) / (priorVarianceWeight + count - 1)};
}
