/**
 * Compares the answers of the target with those of the other versions within one route. Each result is the logarithm of a likelihood
 * ratio of "the target is worse" to "both are alike". A ratio of marginal likelihoods is valid at each look, however often it is
 * looked at: with both alike it ever reaches `x` with a probability of at most `1 / x`.
 */
import type {AnswerSums, LogTimeSums} from '@mulberrypitch/serving/rollout-messages';
import {getLogBeta} from './log-gamma.js';

/** Failures that are assumed of a healthy route before any were seen: a mean of 5 %, worth 10 answers. */
const priorFailed = 0.5;
const priorSucceeded = 10;
/** Prior standard deviation of the difference of mean logarithms; 0.4 is the effect of 30 % of answers being 4 times slower. */
const priorShift = 0.6;
/** Prior variance of the logarithm of a time, and the number of answers it is worth. */
const priorVariance = 0.25;
const priorVarianceWeight = 4;
/** Times of fewer answers are not compared, since the estimate of their variance means nothing. */
const minTimes = 6;
/** Natural logarithm of the slowdown that is granted to the first answer of a cold server, a factor of 10. */
const coldLog = Math.log(10);
/** At most this part of the answers is taken to be first answers of cold servers. */
const maxColdPart = 0.25;
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
	/** Back ends of the target that have not given their first answer. */
	readonly coldBackends: number;
};

/** Logarithms of the likelihood ratios for each way in which a version can be worse. */
export type Comparison = {
	readonly failures: number;
	readonly first: number;
	readonly pause: number;
};

/**
Compares the answers of both sides. The proportion of failures is that of requests sent, because failures that come faster than
successes would count too much in answers just after a change of the share.

@example
```
const {failures} = compareSides(sinceShare.target, sinceShare.others, {failureMargin: 0.02, timeMargin: 0.1, coldBackends: 0});
```
*/
export function compareSides(target: AnswerSums, others: AnswerSums, options: ComparisonOptions): Comparison {
	return {
		failures: compareFailures(target, others, options.failureMargin),
		first: compareTimes(target.first, others.first, options),
		pause: compareTimes(target.pause, others.pause, {...options, coldBackends: 0}),
	};
}

/**
Compares the number of requests that wait for their first event with the number expected from the others' times. A version that
is slower shows this before its slow answers arrive. `target` holds all requests, `sinceShare` those since the share came into force.

@example
```
const pending = comparePending({target, sinceShare, others, othersSinceShare, shareAgeMs: 800, coldBackends: 0});
```
*/
export function comparePending(input: {
	readonly target: AnswerSums;
	readonly sinceShare: AnswerSums;
	readonly others: AnswerSums;
	readonly othersSinceShare: AnswerSums;
	readonly shareAgeMs: number;
	readonly coldBackends: number;
}): number {
	const {target, sinceShare, others, othersSinceShare, shareAgeMs, coldBackends} = input;
	if (shareAgeMs < 2 * reportLagMs || others.first.count < minTimes) {
		return 0;
	}

	const {mean, variance} = getMoments(others.first);
	const othersRate = othersSinceShare.sent / shareAgeMs;
	const measuredMs = othersRate > 0 ? getPending(others) / othersRate : 0;
	const expectedMs = Math.max(Math.exp(mean + (variance / 2)), measuredMs);
	const rate = sinceShare.sent / (shareAgeMs - reportLagMs);
	const expected = 1 + (pendingTolerance * rate * expectedMs) + Math.min(coldBackends, sinceShare.sent * maxColdPart);
	const pending = getPending(target);
	return pending > expected ? (pending * Math.log(pending / expected)) - pending + expected - Math.log(1 + pending) : 0;
}

function getPending(answers: AnswerSums): number {
	return Math.max(0, answers.sent - answers.first.count - answers.failed);
}

function compareFailures(target: AnswerSums, others: AnswerSums, margin: number): number {
	const targetSent = Math.max(target.sent, target.succeeded + target.failed);
	const othersSent = Math.max(others.sent, others.succeeded + others.failed);
	const failed = priorFailed + others.failed + (margin * othersSent);
	const succeeded = priorSucceeded + ((1 - margin) * othersSent) - others.failed;
	if (target.failed === 0 || target.failed * (failed + succeeded) <= failed * targetSent || succeeded <= 0) {
		return 0;
	}

	const targetSucceeded = targetSent - target.failed;
	const alike = getLogBeta(failed + target.failed, succeeded + targetSucceeded) - getLogBeta(failed, succeeded);
	return getLogBeta(1 + target.failed, 1 + targetSucceeded) - alike;
}

function compareTimes(target: LogTimeSums, others: LogTimeSums, {timeMargin, coldBackends}: ComparisonOptions): number {
	if (target.count < minTimes || others.count < minTimes) {
		return 0;
	}

	const cold = Math.min(coldBackends, target.count * maxColdPart);
	const a = getMoments(target);
	const b = getMoments(others);
	const difference = a.mean - b.mean - timeMargin - (cold * coldLog / target.count);
	if (difference <= 0) {
		return 0;
	}

	// If both are alike, so are the variances; the larger one keeps few answers of the target from looking more certain than they are.
	const variance = (Math.max(a.variance, b.variance) / target.count) + (b.variance / others.count);
	const prior = priorShift ** 2;
	const freedom = priorVarianceWeight + Math.min(target.count, others.count) - 1;
	const gain = (difference ** 2) * prior / (variance * (variance + prior));
	// With an estimated variance the exponential of the normal density becomes the power of Student's.
	return ((freedom + 1) / 2 * Math.log(1 + (gain / freedom))) - (Math.log(1 + (prior / variance)) / 2);
}

function getMoments({count, sum, squares}: LogTimeSums): {mean: number; variance: number} {
	const mean = sum / count;
	const deviations = Math.max(0, squares - (sum * mean));
	return {mean, variance: ((priorVarianceWeight * priorVariance) + deviations) / (priorVarianceWeight + count - 1)};
}
