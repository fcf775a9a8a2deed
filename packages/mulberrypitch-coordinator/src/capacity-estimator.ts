/** Estimates how many back ends the current load of a service requires. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {ServicePressure} from '@mulberrypitch/serving/view-messages';

/** The load of one service as all entries report it, and the back ends that serve it. */
export type ServiceLoad = {
	/** One report from each entry. */
	readonly pressures: readonly ServicePressure[];
	/** Requests that run on the back ends. */
	readonly running: number;
	/** Requests that one back end runs concurrently, on average; zero when no back end serves. */
	readonly slots: number;
	/** Back ends that accept requests. */
	readonly serving: number;
};

/** Numbers of back ends that the current load requires. They may be fractions. */
export type CapacityNeed = {
	/** Enough to meet the latency targets for most requests. */
	readonly least: number;
	/** Enough to meet the latency targets when requests arrive in bursts. */
	readonly comfortable: number;
};

/** A need, and what it follows from. */
export type CapacityEstimate = CapacityNeed & {
	/** Largest work of the last seconds, in fully busy back ends. */
	readonly work: number;
	/** Largest number of back ends of the last seconds that the running requests required by their slots. */
	readonly bySlots: number;
	/** Engine time in milliseconds that a prompt token takes; absent while unknown. */
	readonly msPerToken?: number;
};

/**
Target utilization of an engine by prompts, and a constant number of spare back ends, because a small fleet needs
proportionally more headroom.
*/
const least = {utilization: 0.5, spareBackends: 0.5} as const;
const comfortable = {utilization: 0.45, spareBackends: 0.6} as const;
/** Share of the slots that may be in use. */
const targetSlotUtilization = 0.8;
/** Limit on the estimated work per serving back end, in fully busy back ends: overload makes the work look larger than it is. */
const maxWorkPerBackend = 1.5;
/** Weight of the newest sample in the exponential moving average. */
const smoothingFactor = 0.25;
/** Largest relative increase of the cost of a prompt token per update: queueing makes prompts look more costly. */
const maxCostIncrease = 0.02;
/** Time in milliseconds for which the estimate stays up after the load has gone down. */
const holdMs = 7000;

type Sample = {
	/** Monotonic time in milliseconds. */
	readonly at: number;
	/** Averaged work, in fully busy back ends. */
	readonly work: number;
	/** Back ends that the running requests require by their slots. */
	readonly bySlots: number;
};

/** Estimates the required back ends of one service from successive samples of its load. */
export class CapacityEstimator {
	readonly #clock: Clock;
	#samples: Sample[] = [];
	/** Moving average of the work, in fully busy back ends. */
	#average: number | undefined;
	/** Engine time that a prompt token takes, in milliseconds. */
	#msPerToken: number | undefined;
	/** Refused requests at the last update, summed over all entries. */
	#refused = 0;
	/** Monotonic time in milliseconds of the first estimate. */
	#knownSince = Number.POSITIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Reports whether the load has been observed for long enough to scale down safely. */
	get isSettled(): boolean {
		return this.#clock.now() - this.#knownSince >= holdMs;
	}

	/**
	Adds a sample and returns the required back ends, or `undefined` while the cost of prompts is unknown and no requests are
	refused.
	*/
	update(load: ServiceLoad): CapacityEstimate | undefined {
		const estimated = this.#estimateWork(load);
		const maxWork = 1 + (maxWorkPerBackend * load.serving);
		if (estimated === undefined && !this.#hasNewRefusals(load.pressures)) {
			return undefined;
		}

		const work = Math.min(estimated ?? maxWork, maxWork);
		const now = this.#clock.now();
		this.#knownSince = Math.min(this.#knownSince, now);
		this.#average = this.#average === undefined ? work : this.#average + (smoothingFactor * (work - this.#average));
		const bySlots = load.slots > 0 ? Math.min(load.running / (load.slots * targetSlotUtilization), maxWork) : 0;
		this.#samples = [...this.#samples.filter(({at}) => now - at < holdMs), {at: now, work: this.#average, bySlots}];
		const peakWork = Math.max(...this.#samples.map(sample => sample.work));
		const peakBySlots = Math.max(...this.#samples.map(sample => sample.bySlots));
		return {
			least: Math.max(least.spareBackends + (peakWork / least.utilization), peakBySlots),
			comfortable: Math.max(comfortable.spareBackends + (peakWork / comfortable.utilization), peakBySlots),
			work: peakWork,
			bySlots: peakBySlots,
			...(this.#msPerToken !== undefined && {msPerToken: this.#msPerToken}),
		};
	}

	/** Returns the work in fully busy back ends, or `undefined` while the cost of prompts is unknown. */
	#estimateWork({pressures}: ServiceLoad): number | undefined {
		const costs = pressures.flatMap(({msPerToken}) => msPerToken ?? []).toSorted((left, right) => left - right);
		// Uses the lower quartile: lower costs come from less busy engines, where queueing distorts them less.
		const cost = costs[Math.floor(costs.length / 4)];
		if (cost !== undefined) {
			this.#msPerToken = Math.min(cost, (this.#msPerToken ?? cost) * (1 + maxCostIncrease));
		}

		if (this.#msPerToken === undefined) {
			return undefined;
		}

		const tokensPerSecond = pressures.reduce((total, pressure) => total + pressure.tokensPerSecond, 0);
		return tokensPerSecond * this.#msPerToken / 1000;
	}

	/** Reports whether entries refused requests for lack of capacity since the last update. */
	#hasNewRefusals(pressures: readonly ServicePressure[]): boolean {
		const refused = pressures.reduce((total, pressure) => total + pressure.refused, 0);
		const hasIncreased = refused > this.#refused;
		this.#refused = refused;
		return hasIncreased;
	}
}
