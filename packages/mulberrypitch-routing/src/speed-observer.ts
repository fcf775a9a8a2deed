/**
 * Observes how fast back ends answer, compared with what their known load lets one expect. The evidence of several observers adds up, since
 * each one sees few of the requests of a back end.
 */

/** Evidence on the speed of one back end: the sum of the weights, and the weighted sum of the logarithms of time taken to time expected. */
export type SpeedEvidence = readonly [weight: number, sum: number];

/** One observed time. */
export type SpeedSample = {
	readonly backend: string;
	/** Identifies the samples whose times are comparable at equal work, such as those of one route and one measure. */
	readonly group: string;
	/** What the time grows with, in any unit, such as the waiting prompt tokens or the number of streams; zero if nothing is known. */
	readonly work: number;
	/** Observed time in milliseconds. */
	readonly ms: number;
};

/** Dependencies of an observer. */
export type SpeedObserverOptions = {
	/** Returns a monotonic time in milliseconds. */
	readonly now: () => number;
	/** Returns the speed of a back end as far as it is known; one is the mean. */
	readonly getSpeed: (backend: string) => number;
};

/** Time in milliseconds after which evidence counts for a fraction of 1/e. */
const evidenceMs = 10_000;
/** The same for the relation of time to work, which all back ends share, so that it may follow a change more slowly. */
const relationMs = 60_000;
/** Number of samples from which on a relation is used. */
const minRelationSamples = 12;
/** Largest difference of a logarithm from what is expected; a time beyond it counts as this, since some answers take long for other reasons. */
const maxDeviation = 1.5;
/**
Time in milliseconds after which a relation, or the sums of a back end in one, are dropped if no sample is added. By then they count for less than
a hundredth, and most belong to routes and back ends that are gone.
*/
const retentionMs = 5 * relationMs;
/** Interval in milliseconds at which they are looked for. */
const expiryIntervalMs = relationMs;
/** Smallest variance of the logarithm of a time. */
const minVariance = 0.02;
/** Shortest time in milliseconds that is compared. */
const minMs = 0.1;
/** Weight of evidence below which it is dropped. */
const minWeight = 0.5;

/** Sums that fade with time. */
class FadingSums {
	readonly values: number[];
	readonly #fadeMs: number;
	#at = 0;

	constructor(count: number, fadeMs: number) {
		this.values = Array.from({length: count}, () => 0);
		this.#fadeMs = fadeMs;
	}

	/** Monotonic time in milliseconds to which the sums have faded. */
	get at(): number {
		return this.#at;
	}

	fade(now: number): void {
		const factor = Math.exp((this.#at - now) / this.#fadeMs);
		this.#at = now;
		for (const [index, value] of this.values.entries()) {
			this.values[index] = value * factor;
		}
	}

	add(now: number, terms: readonly number[]): void {
		this.fade(now);
		for (const [index, term] of terms.entries()) {
			this.values[index]! += term;
		}
	}
}

/** The time that a back end of mean speed takes for some work, by least squares, and how far single times differ from it. */
class TimeRelation {
	/** Sums of 1, work and time, of all back ends. */
	readonly #sums = new FadingSums(3, relationMs);
	/** The same by back end. */
	readonly #sumsByBackend = new Map<string, FadingSums>();
	/**
	Sums of the squares of the work and of work × time, relative to the means of the back end. Differences between back ends must not count: a
	slow one has more work at a time, so its slowness would be taken for that of the work.
	*/
	readonly #products = new FadingSums(2, relationMs);
	/** Sums of 1, and of the deviations of the logarithms and their squares. */
	readonly #deviations = new FadingSums(3, relationMs);
	#samples = 0;

	/** Number of back ends of which sums are held. */
	get size(): number {
		return this.#sumsByBackend.size;
	}

	get isKnown(): boolean {
		return this.#samples >= minRelationSamples;
	}

	/** Variance of a deviation. */
	get variance(): number {
		const [count, sum, squares] = this.#deviations.values;
		return Math.max(minVariance, (squares! / count!) - ((sum! / count!) ** 2));
	}

	/** Returns the logarithm of a time relative to the one expected, which is zero on average. */
	getDeviation(work: number, ms: number): number {
		const [count, sum] = this.#deviations.values;
		return Math.log(ms / this.#getExpectedMs(work)) - (count! > 0 ? sum! / count! : 0);
	}

	/** Adds a time, converted to that of a back end of mean speed. */
	add(now: number, {backend, work}: SpeedSample, ms: number): void {
		const expectedMs = this.#samples > 0 ? this.#getExpectedMs(work) : ms;
		if (this.#samples > 0) {
			const deviation = clamp(Math.log(ms / expectedMs));
			this.#deviations.add(now, [1, deviation, deviation ** 2]);
		}

		const limitedMs = Math.min(ms, expectedMs * Math.exp(maxDeviation));
		const own = this.#sumsByBackend.get(backend) ?? new FadingSums(3, relationMs);
		this.#sumsByBackend.set(backend, own);
		own.fade(now);
		const [count, works, times] = own.values;
		if (count! > 0) {
			const workDifference = work - (works! / count!);
			const msDifference = limitedMs - (times! / count!);
			const weight = count! / (count! + 1);
			this.#products.add(now, [weight * (workDifference ** 2), weight * workDifference * msDifference]);
		}

		own.add(now, [1, work, limitedMs]);
		this.#sums.add(now, [1, work, limitedMs]);
		this.#samples += 1;
	}

	/** Drops the sums of the back ends without a sample since a time. Reports whether no back end is left. */
	expire(since: number): boolean {
		for (const [backend, {at}] of this.#sumsByBackend) {
			if (at < since) {
				this.#sumsByBackend.delete(backend);
			}
		}

		return this.#sumsByBackend.size === 0;
	}

	#getExpectedMs(work: number): number {
		const [count, works, times] = this.#sums.values;
		const [squares, products] = this.#products.values;
		const meanWork = works! / count!;
		const meanMs = times! / count!;
		// A time that falls with more work, or is negative without any, comes from too few samples.
		const slope = squares! > 0 && meanWork > 0 ? Math.max(0, Math.min(products! / squares!, meanMs / meanWork)) : 0;
		return Math.max(minMs, meanMs + (slope * (work - meanWork)));
	}
}

/**
Holds the evidence of one observer.

@example
```
const observer = new SpeedObserver({now: () => clock.now(), getSpeed: () => 1});
observer.record({backend: 'engine-1', group: 'chat first event', work: 1200, ms: 95});
```
*/
export class SpeedObserver {
	readonly #options: SpeedObserverOptions;
	readonly #relations = new Map<string, TimeRelation>();
	/** Sums of the weights and of the weighted logarithms, by back end. */
	readonly #evidence = new Map<string, FadingSums>();
	/** Monotonic time in milliseconds at which relations were last dropped. */
	#expiredAt: number;

	constructor(options: SpeedObserverOptions) {
		this.#options = options;
		this.#expiredAt = options.now();
	}

	/** Number of sums by back end, over all relations. */
	get size(): number {
		return [...this.#relations.values()].reduce((sum, {size}) => sum + size, 0);
	}

	/** Records the time of a good answer. Times of failures must not be recorded, since they tell nothing of the speed. */
	record(sample: SpeedSample): void {
		const {now, getSpeed} = this.#options;
		const {backend, group, work, ms: observedMs} = sample;
		const ms = Math.max(minMs, observedMs);
		const speed = getSpeed(backend);
		const relation = this.#relations.get(group) ?? new TimeRelation();
		this.#relations.set(group, relation);
		if (relation.isKnown) {
			const weight = 1 / relation.variance;
			// The deviation is limited around the present estimate, so that the limit doesn't bound the estimate itself.
			const deviation = clamp(relation.getDeviation(work, ms * speed)) - Math.log(speed);
			const sums = this.#evidence.get(backend) ?? new FadingSums(2, evidenceMs);
			this.#evidence.set(backend, sums);
			sums.add(now(), [weight, weight * deviation]);
		}

		relation.add(now(), sample, ms * speed);
	}

	/** Returns the evidence by back end, rounded for a message. Back ends without recent samples are left out. */
	getEvidence(): Readonly<Record<string, SpeedEvidence>> {
		const now = this.#options.now();
		this.#expire(now);
		const evidence: Record<string, SpeedEvidence> = {};
		for (const [backend, sums] of this.#evidence) {
			sums.fade(now);
			const [weight, sum] = sums.values;
			if (weight! < minWeight) {
				this.#evidence.delete(backend);
			} else {
				evidence[backend] = [round(weight!), round(sum!)];
			}
		}

		return evidence;
	}

	#expire(now: number): void {
		if (now - this.#expiredAt < expiryIntervalMs) {
			return;
		}

		this.#expiredAt = now;
		for (const [group, relation] of this.#relations) {
			if (relation.expire(now - retentionMs)) {
				this.#relations.delete(group);
			}
		}
	}
}

function clamp(deviation: number): number {
	return Math.max(-maxDeviation, Math.min(maxDeviation, deviation));
}

function round(value: number): number {
	return Math.round(value * 10) / 10;
}
