/** The decision on a roll-out: it composes the comparison of both versions with the schedule of shares. */
import type {RolloutDecision, RolloutLimits, RolloutObservation} from '@mulberrypitch/serving/rollout-messages';
import {isEvidenceLost, subtractEvidence, sumRoutes} from './evidence-sums.js';
import {
	changeSlightly, firstShare, firstShareMs, getExposureLimit, getNextShare, getSchedule, limitToCapacity, planProbe, type Schedule,
} from './share-schedule.js';
import {getSuspicion} from './suspicion.js';

/**
 * Level of suspicion that rolls back. Each comparison of a good version ever reaches it with a probability of e^-9, 1 in 8,000; a
 * roll-out makes some 200 comparisons (routes, metrics and shares).
 */
const rollBackLevel = 9;
/** Level up to which the evidence counts as clean. */
const cleanLevel = 1;
/** Level up to which the share becomes 1 when its time has come. */
const fullLevel = 2;
/** Level up to which a version is still completed when the time runs out. */
const lateLevel = 4;
/** The same where the traffic is so thin that all requests hardly exceed the exposure limit, and chance decides more than quality. */
const thinLateLevel = 6;
/** Multiple of the exposure limit up to which traffic is thin. */
const thinTraffic = 1.2;
/** Successful answers of the target without which nothing is known of it. */
const minSuccesses = 3;
/** Answers of the target at a share that show its quality there. */
const enoughAnswers = 20;
/** Relative rise of the first share that is worth a change. */
const minProbeRise = 1.1;
/** Shortest time in milliseconds, and number of answers of the target, after which a new period of evidence starts in the probe. */
const minProbeWindowMs = 3000;
const probeWindowAnswers = 120;
/** Requests for each back end of the target after which slow first answers of cold servers don't burden a new period. */
const warmAnswers = 6;
/** Shortest time in milliseconds at share 1 before completion, in which trouble at full load shows. */
const minFullShareMs = 1000;
/** The same shortly before the deadline: orders take up to 300 ms to reach the entries. */
const minLateFullShareMs = 500;
/** Share from which on the target carries most of the traffic, so that it may be completed if no time is left to go to 1. */
const majorityShare = 0.5;

/**
Decides what is done next with a running roll-out. It keeps no state: the same observation gives the same decision.

@example
```
const decision = decideRollout(observation, {exposedShare: 0.1, exposedSlack: 50, rollbackMs: 5000});
```
*/
export function decideRollout(observation: RolloutObservation, limits: RolloutLimits): RolloutDecision {
	const schedule = getSchedule(observation.durationMs);
	const {elapsedMs, share, targetBackends, routes, routesBefore, hasLostEvidence} = observation;
	const isLost = hasLostEvidence === true || isEvidenceLost(routes, routesBefore);
	// Differences of sums that fell say nothing of either version, so what is left of the evidence is judged as a whole.
	const suspicion = getSuspicion(isLost ? {...observation, routesBefore: [], shareAgeMs: elapsedMs} : observation);
	if (suspicion.level >= rollBackLevel) {
		return {kind: 'rollBack', reason: suspicion.reason};
	}

	if (elapsedMs >= schedule.giveUpMs) {
		return {kind: 'rollBack', reason: `not completed in time: ${describeLack(observation)}`};
	}

	if (targetBackends === 0) {
		return {kind: 'hold'};
	}

	if (share > 0 && share < 1 && elapsedMs < schedule.completeMs && isLost) {
		return {kind: 'setShare', share: changeSlightly(share, false), reason: 'evidence of an entry was lost'};
	}

	const isKnown = sumRoutes(routes, 'target').succeeded >= minSuccesses;
	if (elapsedMs >= schedule.completeMs) {
		return isKnown && suspicion.level <= getLateLevel(observation, limits) ? finishLate(observation, schedule) : {kind: 'hold'};
	}

	if (share === 0) {
		return {kind: 'setShare', share: limitToCapacity(firstShare, observation), reason: 'the target has back ends'};
	}

	if (elapsedMs >= schedule.fullMs) {
		return isKnown && suspicion.level <= fullLevel ? finish(observation, schedule, suspicion.level) : {kind: 'hold'};
	}

	return elapsedMs < schedule.rampMs
		? probe(observation, limits, schedule)
		: ramp(observation, schedule, isKnown && suspicion.level <= cleanLevel);
}

function getLateLevel(observation: RolloutObservation, limits: RolloutLimits): number {
	return observation.requests <= thinTraffic * getExposureLimit(observation, limits) ? thinLateLevel : lateLevel;
}

/** Spreads a part of the exposure limit over the time until the ramp. */
function probe(observation: RolloutObservation, limits: RolloutLimits, schedule: Schedule): RolloutDecision {
	const {share, shareAgeMs} = observation;
	if (shareAgeMs < firstShareMs) {
		return {kind: 'hold'};
	}

	const {share: planned, isExceeded} = planProbe(observation, limits, schedule);
	if (share <= firstShare && planned > share * minProbeRise) {
		return {kind: 'setShare', share: planned, reason: 'the rate of requests is known'};
	}

	if (isExceeded && planned < share) {
		return {kind: 'setShare', share: planned, reason: 'fewer requests than expected'};
	}

	// Good answers from long ago would hide that the version has turned bad, so the evidence starts anew with a share that hardly differs.
	const isWarm = sumRoutes(observation.routes, 'target').sent >= warmAnswers * observation.targetBackends;
	return shareAgeMs >= minProbeWindowMs && isWarm && countAnswers(observation) >= probeWindowAnswers
		? {kind: 'setShare', share: changeSlightly(share, share < planned), reason: 'new period of evidence'}
		: {kind: 'hold'};
}

/** Raises the share step by step while the evidence at the present share is clean. */
function ramp(observation: RolloutObservation, schedule: Schedule, isClean: boolean): RolloutDecision {
	const {share, shareAgeMs} = observation;
	const next = limitToCapacity(getNextShare(observation, schedule), observation);
	if (!isClean || next <= share || shareAgeMs < schedule.dwellMs) {
		return {kind: 'hold'};
	}

	// The last step waits for its time, since only before it both versions can be compared.
	return next < 1 && (countAnswers(observation) >= enoughAnswers || shareAgeMs >= 2 * schedule.dwellMs)
		? {kind: 'setShare', share: next, reason: `clean at share ${share}`}
		: {kind: 'hold'};
}

/** Sends all requests to the target, and completes when the others have none. */
function finish(observation: RolloutObservation, schedule: Schedule, level: number): RolloutDecision {
	const {share, shareAgeMs, isAppliedEverywhere, othersRunning} = observation;
	if (share < 1) {
		const next = getNextShare(observation, schedule);
		return shareAgeMs >= Math.min(schedule.dwellMs, minFullShareMs)
			? {kind: 'setShare', share: next, reason: `no evidence against the target at share ${share}`}
			: {kind: 'hold'};
	}

	const isDrained = isAppliedEverywhere && othersRunning === 0 && shareAgeMs >= minFullShareMs;
	return isDrained && level <= cleanLevel
		? {kind: 'complete', reason: 'all requests go to the target, and the others have none in progress'}
		: {kind: 'hold'};
}

/**
 * Completes shortly before the deadline. The old back ends stop then, so all requests are sent to the target before, and a target that has
 * only a small part of them is not completed.
 */
function finishLate({elapsedMs, share, shareAgeMs, isAppliedEverywhere}: RolloutObservation, {giveUpMs}: Schedule): RolloutDecision {
	const isInTime = elapsedMs + minLateFullShareMs < giveUpMs;
	if (share < 1 && isInTime) {
		return {kind: 'setShare', share: 1, reason: 'no evidence against the target shortly before the deadline'};
	}

	const isMoved = share >= 1 && (isAppliedEverywhere || shareAgeMs >= minLateFullShareMs);
	return isMoved || (share >= majorityShare && !isInTime)
		? {kind: 'complete', reason: 'no evidence against the target shortly before the deadline'}
		: {kind: 'hold'};
}

function countAnswers({routes, routesBefore}: RolloutObservation): number {
	const {succeeded, failed} = sumRoutes(subtractEvidence(routes, routesBefore), 'target');
	return succeeded + failed;
}

function describeLack({targetBackends, routes}: RolloutObservation): string {
	if (targetBackends === 0) {
		return 'the target has no back end';
	}

	const {succeeded} = sumRoutes(routes, 'target');
	return succeeded < minSuccesses ? 'too few answers of the target' : 'the evidence against the target was not cleared up';
}
