/** The share of the target over time, within the limit of exposure. */
import type {RolloutLimits, RolloutObservation} from '@mulberrypitch/serving/rollout-messages';
import {sumRoutes} from './evidence-sums.js';

/** Share at which the first answers are gathered, while the rate of requests is unknown and the target's servers are cold. */
export const firstShare = 0.03;
/** Time in milliseconds for which the first share stays, by which the rate of requests is known well enough to plan with. */
export const firstShareMs = 1000;
/** Shares through which the target passes after the probe, before the highest at which both sides can be compared. */
const rampShares = [0.12, 0.3];
/** With a shorter time at each share, in milliseconds, the lowest step shows too little to be worth its time. */
const minStepDwellMs = 1500;
/** At the highest compared share, the others keep this many requests in a dwell time, within bounds, to show what hits both sides. */
const controlRequests = 60;
const minComparedShare = 0.75;
const maxComparedShare = 0.85;
/** A step to less than this multiple of the share would take time and show little. */
const minStep = 1.5;
/** Part of the exposure limit that is spent before the ramp in any case. */
const minProbePart = 0.25;
/** Part of what the ramp leaves of the exposure limit that is spent before it. */
const spentPart = 0.7;
/** Share and time in milliseconds that a version which turns bad at the highest compared share gets until it is rolled back. */
const noticedShare = 0.9;
const noticedMs = 1000;
/** Share at the step before that, for one dwell time. */
const middleShare = 0.3;
/** Multiple of that part at which the share of the probe is lowered. */
const maxExcess = 1.6;
const maxProbeShare = 0.5;
const minProbeShare = 0.01;
/** Part of the requests expected until the deadline that are counted on, since the rate may fall. */
const countedPart = 0.9;
/** Number of steps of the ramp for which time is set aside. */
const plannedSteps = 3;

/** Times in milliseconds since the order. */
export type Schedule = {
	/** End of the probe and start of the ramp. */
	readonly rampMs: number;
	/** Shortest time at each share of the ramp. */
	readonly dwellMs: number;
	/** From here on the share is 1, unless the evidence is against it. */
	readonly fullMs: number;
	/** From here on a version that shows no fault is completed, whatever its share. */
	readonly completeMs: number;
	/** From here on a version that could not be completed is rolled back. */
	readonly giveUpMs: number;
};

/** Part by which the share changes to mark a new period of evidence. */
const periodChange = 0.01;

/**
Returns a share that hardly differs, which marks a new period of evidence. It is lower, or higher if `isRaised`.

@example
```
const marked = changeSlightly(0.3, false); // 0.297
```
*/
export function changeSlightly(share: number, isRaised: boolean): number {
	return isRaised ? share * (1 + periodChange) : share * (1 - periodChange);
}

/**
Returns the times of a roll-out of the given duration in milliseconds.

@example
```
const {rampMs, fullMs} = getSchedule(12_000);
```
*/
export function getSchedule(durationMs: number): Schedule {
	// A quarter of the duration, and at least 3 s, is left for requests at old back ends to end.
	const fullMs = durationMs - Math.max(3200, durationMs * 0.27);
	const dwellMs = Math.min(2000, Math.max(700, durationMs * 0.08));
	return {
		rampMs: Math.max(firstShareMs, fullMs - (plannedSteps * dwellMs)),
		dwellMs,
		fullMs,
		completeMs: durationMs - Math.min(1500, durationMs * 0.2),
		giveUpMs: durationMs - Math.min(300, durationMs * 0.05),
	};
}

/**
Returns the share of the probe: the target gets a part of the exposure limit, spread evenly over the time until the ramp. Also tells
whether the present share would spend much more than that, as when requests become fewer.

@example
```
const {share, isExceeded} = planProbe(observation, limits, getSchedule(observation.durationMs));
```
*/
export function planProbe(observation: RolloutObservation, limits: RolloutLimits, {rampMs, dwellMs}: Schedule): {
	readonly share: number;
	readonly isExceeded: boolean;
} {
	const {elapsedMs, requests} = observation;
	const rate = requests / elapsedMs;
	const limit = getExposureLimit(observation, limits);
	const reserve = rate * ((middleShare * dwellMs) + (noticedShare * noticedMs));
	const budget = Math.max(minProbePart * limit, spentPart * (limit - reserve));
	const remaining = rate * Math.max(0, rampMs - elapsedMs);
	const exposure = getExposure(observation);
	const share = remaining > 0 ? (budget - exposure) / remaining : firstShare;
	return {
		share: limitToCapacity(Math.min(maxProbeShare, Math.max(minProbeShare, share)), observation),
		isExceeded: exposure + (observation.share * remaining) > maxExcess * budget,
	};
}

/**
Returns the number of requests that a bad version may get, for those expected until the deadline.

@example
```
const limit = getExposureLimit(observation, limits);
```
*/
export function getExposureLimit({requests, elapsedMs, durationMs}: RolloutObservation, limits: RolloutLimits): number {
	const expected = requests + (countedPart * requests / elapsedMs * (durationMs - elapsedMs));
	return (limits.exposedShare * expected) + limits.exposedSlack;
}

/**
Returns the next share of the ramp.

@example
```
const next = getNextShare(observation, schedule);
```
*/
export function getNextShare({share, requests, elapsedMs}: RolloutObservation, {dwellMs}: Schedule): number {
	const inDwell = requests * dwellMs / elapsedMs;
	const highest = Math.min(maxComparedShare, Math.max(minComparedShare, 1 - (controlRequests / inDwell)));
	const next = rampShares.find((each, index) => each >= share * minStep && (index > 0 || dwellMs >= minStepDwellMs));
	// A new period of evidence changes the share a little, so it may be below the lower bound.
	return next ?? (share < minComparedShare - periodChange ? highest : 1);
}

/**
Returns the share, or less if the target has too few back ends yet to run that part of the requests at the others' load.

@example
```
const share = limitToCapacity(0.3, observation);
```
*/
export function limitToCapacity(share: number, {targetBackends, otherBackends}: RolloutObservation): number {
	return targetBackends < otherBackends ? Math.min(share, targetBackends / otherBackends) : share;
}

/**
 * Number of requests that were sent to the target, including those that entries have not yet reported and those in evidence that was
 * lost, as far as the share tells.
 */
function getExposure({routes, routesBefore, requests, elapsedMs, share, shareAgeMs}: RolloutObservation): number {
	const planned = share * shareAgeMs * requests / elapsedMs;
	return Math.max(sumRoutes(routes, 'target').sent, sumRoutes(routesBefore, 'target').sent + planned);
}
