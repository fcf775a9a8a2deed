/** Derives the speeds of the back ends of one service from the evidence of all observers. */
import type {SpeedEvidence} from './speed-observer.js';

/** Speeds by back end; one is the mean of the service. Back ends of this speed may be left out. */
export type Speeds = Readonly<Record<string, number>>;

type Estimate = {
	/** Logarithm of the speed. */
	readonly logarithm: number;
	/** Variance of the estimate. */
	readonly variance: number;
};

/**
Standard deviation of an estimate's logarithm that remains with any number of samples: samples that come together share the same queue and
streams, and engines differ in what their caches hold.
*/
const remainingDeviation = 0.05;
/**
Square of the number of standard deviations up to which a difference counts as noise if the back ends seem to be alike, and if they clearly
are not. Beyond it, the share of noise falls with the fourth power of the difference.
*/
const significanceIfAlike = 7;
const significanceIfUneven = 1;
/** Spread of the estimates, as a multiple of what noise explains, up to which the back ends seem to be alike: samples that come together are not independent. */
const spreadIfAlike = 2;
/** Bounds of the logarithm of a speed. */
const maxLogarithm = Math.log(4);
/** Smallest number of back ends that can be compared. */
const minCompared = 2;

/**
Adds evidence up by back end.

@example
```
const sums = addEvidence([own, others]);
```
*/
export function addEvidence(parts: ReadonlyArray<Readonly<Record<string, SpeedEvidence>>>): Readonly<Record<string, SpeedEvidence>> {
	const sums = new Map<string, SpeedEvidence>();
	for (const [backend, [weight, sum]] of parts.flatMap(part => Object.entries(part))) {
		const [otherWeight, otherSum] = sums.get(backend) ?? [0, 0];
		sums.set(backend, [weight + otherWeight, sum + otherSum]);
	}

	return Object.fromEntries(sums);
}

/**
Returns the speeds that differ from one, given the evidence on the back ends of one service. A difference is reduced by its share of noise,
so that back ends of equal speed keep the speed one exactly unless the evidence against it is strong.

@example
```
const speeds = estimateSpeeds({'engine-1': [200, 71], 'engine-2': [190, -98]});
```
*/
export function estimateSpeeds(evidence: Readonly<Record<string, SpeedEvidence>>): Speeds {
	const estimates = Object.entries(evidence).filter(([, [weight]]) => weight > 0).map(([backend, [weight, sum]]) => ({
		backend, logarithm: -sum / weight, variance: (1 / weight) + (remainingDeviation ** 2),
	}));
	if (estimates.length < minCompared) {
		return {};
	}

	const mean = getWeightedMean(estimates);
	const significance = getSignificance(estimates, mean);
	const speeds: Record<string, number> = {};
	for (const {backend, logarithm, variance} of estimates) {
		const difference = logarithm - mean;
		const share = Math.max(0, 1 - ((significance * variance / (difference ** 2)) ** 2));
		const speed = Math.round(100 * Math.exp(Math.max(-maxLogarithm, Math.min(maxLogarithm, share * difference)))) / 100;
		if (speed !== 1) {
			speeds[backend] = speed;
		}
	}

	return speeds;
}

/** Returns how significant a difference must be: less if differences are larger than noise explains, since the back ends then are not alike. */
function getSignificance(estimates: readonly Estimate[], mean: number): number {
	const spread = estimates.reduce((sum, {logarithm, variance}) => sum + (((logarithm - mean) ** 2) / variance), 0) / (estimates.length - 1);
	return Math.max(significanceIfUneven, significanceIfAlike / (1 + Math.max(0, spread - spreadIfAlike)));
}

function getWeightedMean(estimates: readonly Estimate[]): number {
	const weights = estimates.reduce((sum, {variance}) => sum + (1 / variance), 0);
	return estimates.reduce((sum, {logarithm, variance}) => sum + (logarithm / variance), 0) / weights;
}
