/** Starts and stops machines after a plan, within the limits of the cloud and of the weight store. */
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

/** Longest time that a paid machine may wait for the weight store. */
const maxFetchWaitMs = 120_000;
/** Plans in one step, each without the offers refused before. */
const maxPlans = 4;

/** What the keeper is made of. */
export type FleetKeeperOptions = {
	readonly cloud: Cloud;
	readonly weightStore: WeightStore;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	/** Time from the start of a machine until it serves. */
	readonly startMs: number;
	readonly plan: (input: PlanInput) => FleetPlan;
};

/** Keeps the fleet of one service. */
export class FleetKeeper {
	readonly #options: FleetKeeperOptions;
	readonly #rates = new ReclaimRates();
	readonly #backoff: OfferBackoff;
	readonly #ready = new Set<string>();
	#known = new Map<string, Machine>();
	#steppedAt: number;
	#nextFetchAt = 0;

	constructor(options: FleetKeeperOptions) {
		this.#options = options;
		this.#backoff = new OfferBackoff(options.random);
		this.#steppedAt = options.clock.now();
	}

	/** Machines that have their weights. */
	get ready(): readonly Machine[] {
		return [...this.#known.values()].filter(({id}) => this.#ready.has(id));
	}

	/** Looks at the cloud once and acts on the plan for the tokens needed per second. */
	async step(tokensPerSecond: number): Promise<void> {
		await this.#observe();
		const offers = await this.#options.cloud.listOffers();
		let plan = this.#createPlan(offers, tokensPerSecond);
		for (let count = 1; await this.#startMissing(plan) && count < maxPlans; count += 1) {
			plan = this.#createPlan(offers, tokensPerSecond);
		}

		await this.#stopSurplus(plan, tokensPerSecond);
	}

	async #observe(): Promise<void> {
		const {cloud, clock} = this.#options;
		const now = clock.now();
		const machines = await cloud.listMachines();
		const running = new Map(machines.map(machine => [machine.id, machine]));
		this.#rates.noteRun([...this.#known.values()], now - this.#steppedAt);
		this.#steppedAt = now;
		for (const machine of this.#known.values()) {
			if (!running.has(machine.id)) {
				this.#rates.noteReclaim(machine.offer);
				this.#ready.delete(machine.id);
			}
		}

		this.#known = running;
	}

	#createPlan(offers: readonly Offer[], tokensPerSecond: number): FleetPlan {
		const {clock, plan} = this.#options;
		return plan({
			tokensPerSecond,
			offers,
			machines: [...this.#known.values()],
			isAvailable: offer => this.#backoff.isAvailable(offer, clock.now()),
			getUsefulShare: this.#getUsefulShare,
		});
	}

	readonly #getUsefulShare = (offer: Offer): number => this.#rates.getUsefulShare(offer, this.#options.startMs);

	/** Tells whether an offer was refused, so that another plan is needed. */
	async #startMissing(plan: FleetPlan): Promise<boolean> {
		let isRefused = false;
		for (const {offer, count} of plan.machines) {
			const missing = count - this.#listOf(offer).length;
			for (let started = 0; started < missing && this.#mayFetch(); started += 1) {
				if (!await this.#start(offer)) {
					isRefused = true;
					break;
				}
			}
		}

		return isRefused;
	}

	async #start(offer: Offer): Promise<boolean> {
		const {cloud, clock, logger} = this.#options;
		try {
			const id = await cloud.start(offer);
			this.#known.set(id, {id, offer});
			this.#backoff.noteStart(offer);
			this.#nextFetchAt = Math.max(this.#nextFetchAt, clock.now()) + this.#options.weightStore.fetchIntervalMs;
			void this.#fetch(id, this.#nextFetchAt - this.#options.weightStore.fetchIntervalMs);
			return true;
		} catch (error) {
			if (!(error instanceof CodedError)) {
				throw error;
			}

			this.#backoff.noteRefusal(offer, clock.now());
			logger.log(events.machineRefused, {offer: getOfferKey(offer), reason: error.message});
			return false;
		}
	}

	#mayFetch(): boolean {
		return this.#nextFetchAt - this.#options.clock.now() <= maxFetchWaitMs;
	}

	async #fetch(id: string, at: number): Promise<void> {
		const {clock, weightStore, logger} = this.#options;
		await clock.sleep(at - clock.now());
		try {
			await weightStore.fetch(id);
			this.#ready.add(id);
		} catch (error) {
			// The machine stays without weights; the next step stops it as surplus or the cloud reclaims it.
			logger.log(events.weightsFailed, {machine: id, reason: getMessage(error)});
		}
	}

	/** Stops what the plan leaves out, but never below what one lost zone needs. */
	async #stopSurplus(plan: FleetPlan, tokensPerSecond: number): Promise<void> {
		for (const machine of this.#listSurplus(plan)) {
			const rest = this.ready.filter(({id}) => id !== machine.id);
			if (getTokensWithoutLargestZone(rest, this.#getUsefulShare) >= tokensPerSecond) {
				await this.#options.cloud.stop(machine.id);
				this.#known.delete(machine.id);
				this.#ready.delete(machine.id);
			}
		}
	}

	#listSurplus(plan: FleetPlan): Machine[] {
		const planned = new Map(plan.machines.map(({offer, count}) => [getOfferKey(offer), count]));
		const keys = new Set([...this.#known.values()].map(({offer}) => getOfferKey(offer)));
		return [...keys].flatMap(key => [...this.#known.values()].filter(({offer}) => getOfferKey(offer) === key).slice(planned.get(key) ?? 0));
	}

	#listOf(offer: Offer): Machine[] {
		return [...this.#known.values()].filter(machine => getOfferKey(machine.offer) === getOfferKey(offer));
	}
}
