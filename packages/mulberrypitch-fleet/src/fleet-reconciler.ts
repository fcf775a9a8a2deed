/** Starts and stops machines to match a plan, within the limits of the cloud and of the weight store. */
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {getTokensWithoutLargestZone, type FleetPlan, type PlanInput} from './fleet-planner.js';
import {OfferBackoff} from './offer-backoff.js';
import {getOfferKey} from './offer-key.js';
import {ReclaimRates} from './reclaim-rates.js';
import type {
	Cloud, Machine, Offer, WeightStore,
} from './types.js';

/** No machine is started that would wait longer than this, in milliseconds, for the weight store, because a waiting machine is paid for. */
const maxFetchWaitMs = 120_000;
/** Limit on the plans made in one step. Each leaves out the offers that the cloud refused during the earlier ones. */
const maxPlansPerStep = 4;

/** Dependencies and settings of a `FleetReconciler`. */
export type FleetReconcilerOptions = {
	readonly cloud: Cloud;
	readonly weightStore: WeightStore;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	/** Time from the start of a machine until it serves. */
	readonly startupMs: number;
	/** Cost of one reclaim besides the price of the machine: recomputed tokens and late responses. */
	readonly reclaimPrice: number;
	readonly plan: (input: PlanInput) => FleetPlan;
};

/** Reconciles the machines of one service with the plan for its demand. */
export class FleetReconciler {
	readonly #options: FleetReconcilerOptions;
	readonly #reclaimRates = new ReclaimRates();
	readonly #backoff: OfferBackoff;
	readonly #readyIds = new Set<string>();
	/** Machines whose weights failed to load, which the next step stops. */
	readonly #failedIds = new Set<string>();
	#machines = new Map<string, Machine>();
	/** Monotonic time in milliseconds at which the machines were last listed. */
	#observedAt: number;
	/** Monotonic time in milliseconds at which the weight store allows the next fetch to start. */
	#nextFetchAt = 0;

	constructor(options: FleetReconcilerOptions) {
		this.#options = options;
		this.#backoff = new OfferBackoff(options.random);
		this.#observedAt = options.clock.now();
	}

	/** Machines that have fetched the model weights and can serve. */
	get ready(): readonly Machine[] {
		return [...this.#machines.values()].filter(({id}) => this.#readyIds.has(id));
	}

	/** Lists the running machines, plans for the demand, starts missing machines and stops surplus ones. */
	async step(tokensPerSecond: number): Promise<void> {
		await this.#observe();
		await this.#stopFailed();
		const offers = await this.#options.cloud.listOffers();
		let plan = this.#createPlan(offers, tokensPerSecond);
		for (let count = 1; await this.#startMissing(plan) && count < maxPlansPerStep; count += 1) {
			plan = this.#createPlan(offers, tokensPerSecond);
		}

		await this.#stopSurplus(plan, tokensPerSecond);
	}

	/** Lists the running machines and records their uptime and the reclaims since the previous step. */
	async #observe(): Promise<void> {
		const {cloud, clock} = this.#options;
		const now = clock.now();
		const machines = await cloud.listMachines();
		const running = new Map(machines.map(machine => [machine.id, machine]));
		this.#reclaimRates.recordUptime([...this.#machines.values()], now - this.#observedAt);
		this.#observedAt = now;
		for (const machine of this.#machines.values()) {
			if (!running.has(machine.id)) {
				this.#reclaimRates.recordReclaim(machine.offer);
				this.#readyIds.delete(machine.id);
				this.#failedIds.delete(machine.id);
			}
		}

		this.#machines = running;
	}

	/** Stops the machines whose weights failed to load. */
	async #stopFailed(): Promise<void> {
		for (const id of this.#failedIds) {
			await this.#options.cloud.stop(id);
			this.#machines.delete(id);
			this.#failedIds.delete(id);
		}
	}

	#createPlan(offers: readonly Offer[], tokensPerSecond: number): FleetPlan {
		const {clock, plan} = this.#options;
		return plan({
			tokensPerSecond,
			offers,
			machines: [...this.#machines.values()],
			isAvailable: offer => this.#backoff.isAvailable(offer, clock.now()),
			getUsefulShare: this.#getUsefulShare,
			getPrice: offer => offer.pricePerHour + (this.#reclaimRates.getRate(offer) * this.#options.reclaimPrice),
		});
	}

	readonly #getUsefulShare = (offer: Offer): number => this.#reclaimRates.getUsefulShare(offer, this.#options.startupMs);

	/** Starts the machines that the plan lacks. Reports whether the cloud refused one, so that another plan is needed. */
	async #startMissing(plan: FleetPlan): Promise<boolean> {
		let isRefused = false;
		for (const {offer, count} of plan.machines) {
			const missing = count - this.#listMachinesOf(offer).length;
			for (let started = 0; started < missing && this.#isFetchWaitAcceptable(); started += 1) {
				if (!await this.#start(offer)) {
					isRefused = true;
					break;
				}
			}
		}

		return isRefused;
	}

	/** Starts one machine and schedules the fetch of its weights. Reports whether the cloud accepted the request. */
	async #start(offer: Offer): Promise<boolean> {
		const {cloud, clock, logger} = this.#options;
		try {
			const id = await cloud.start(offer);
			this.#machines.set(id, {id, offer});
			this.#backoff.reset(offer);
			this.#nextFetchAt = Math.max(this.#nextFetchAt, clock.now()) + this.#options.weightStore.fetchIntervalMs;
			void this.#fetchWeights(id, this.#nextFetchAt - this.#options.weightStore.fetchIntervalMs);
			return true;
		} catch (error) {
			if (!(error instanceof CodedError)) {
				throw error;
			}

			this.#backoff.recordRefusal(offer, clock.now());
			logger.log(events.machineRefused, {offer: getOfferKey(offer), reason: error.message});
			return false;
		}
	}

	/** Reports whether a machine started now would fetch its weights soon enough. */
	#isFetchWaitAcceptable(): boolean {
		return this.#nextFetchAt - this.#options.clock.now() <= maxFetchWaitMs;
	}

	/** Fetches the weights of a machine at the given time; the machine is then ready. */
	async #fetchWeights(id: string, at: number): Promise<void> {
		const {clock, weightStore, logger} = this.#options;
		await clock.sleep(at - clock.now());
		try {
			await weightStore.fetch(id);
			this.#readyIds.add(id);
		} catch (error) {
			// The machine would never become ready. The next step stops it, so that the plan lacks it and replaces it.
			this.#failedIds.add(id);
			logger.log(events.weightsFailed, {machine: id, reason: getMessage(error)});
		}
	}

	/** Stops machines beyond the plan, but keeps enough ready ones to meet the demand after the loss of any one zone. */
	async #stopSurplus(plan: FleetPlan, tokensPerSecond: number): Promise<void> {
		for (const machine of this.#listSurplus(plan)) {
			const remaining = this.ready.filter(({id}) => id !== machine.id);
			if (getTokensWithoutLargestZone(remaining, this.#getUsefulShare) >= tokensPerSecond) {
				await this.#options.cloud.stop(machine.id);
				this.#machines.delete(machine.id);
				this.#readyIds.delete(machine.id);
			}
		}
	}

	/** Returns, for each offer, the machines beyond the planned count. */
	#listSurplus(plan: FleetPlan): Machine[] {
		const planned = new Map(plan.machines.map(({offer, count}) => [getOfferKey(offer), count]));
		const keys = new Set([...this.#machines.values()].map(({offer}) => getOfferKey(offer)));
		return [...keys].flatMap(key => [...this.#machines.values()].filter(({offer}) => getOfferKey(offer) === key).slice(planned.get(key) ?? 0));
	}

	#listMachinesOf(offer: Offer): Machine[] {
		return [...this.#machines.values()].filter(machine => getOfferKey(machine.offer) === getOfferKey(offer));
	}
}
