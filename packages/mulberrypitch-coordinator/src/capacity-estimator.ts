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

/**
Time in milliseconds from the first reported cost for which one from before counts as the lowest. Entries that restarted together have seen a few answers
each, of which the cheapest, with cached prompts, showed half of the cost. The fleet was halved 12 s after a restart.
*/
const recallMs = 30_000;

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
	readonly #recalledMsPerToken: number | undefined;
	/** Monotonic time in milliseconds at which an entry first reported a cost. */
	#observedSince = Number.POSITIVE_INFINITY;
	/** Refused requests at the last update, summed over all entries. */
	#refused = 0;
	/** Monotonic time in milliseconds of the first estimate. */
	#knownSince = Number.POSITIVE_INFINITY;

	/** `recalledMsPerToken` is the cost of a prompt token as it was known before this coordinator decided; absent if it never was. */
	constructor(clock: Clock, recalledMsPerToken?: number) {
		this.#clock = clock;
		this.#recalledMsPerToken = recalledMsPerToken;
		this.#msPerToken = recalledMsPerToken;
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

	/** Returns the cost of a prompt token below which it is not taken now, in milliseconds. */
	#getLowestCost(): number {
		this.#observedSince = Math.min(this.#observedSince, this.#clock.now());
		return this.#clock.now() - this.#observedSince < recallMs ? this.#recalledMsPerToken ?? 0 : 0;
	}

	/** Returns the work in fully busy back ends, or `undefined` while the cost of prompts is unknown. */
	#estimateWork({pressures}: ServiceLoad): number | undefined {
		const costs = pressures.flatMap(({msPerToken}) => msPerToken ?? []).toSorted((left, right) => left - right);
		// Uses the lower quartile: lower costs come from less busy engines, where queueing distorts them less.
		const cost = costs[Math.floor(costs.length / 4)];
		if (cost !== undefined) {
			const bounded = Math.max(cost, this.#getLowestCost());
			this.#msPerToken = Math.min(bounded, (this.#msPerToken ?? bounded) * (1 + maxCostIncrease));
		}

		const tokensPerSecond = pressures.reduce((total, pressure) => total + pressure.tokensPerSecond, 0);
		// Before any entry has reported demand, a recalled cost would make the need zero and release back ends that are in use.
		const isIdle = this.#average === undefined && cost === undefined && tokensPerSecond === 0;
		if (this.#msPerToken === undefined || isIdle) {
			return undefined;
		}

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
