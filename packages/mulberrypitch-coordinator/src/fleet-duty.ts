/** Scales services: compares the running back ends with the plan of the scaling policy and sends an order where the numbers differ. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {BackendRoster} from '@mulberrypitch/serving/backend-roster';
import type {ScalingPolicy, ServingConfiguration} from '@mulberrypitch/serving/types';
import type {ServicePressure} from '@mulberrypitch/serving/view-messages';
import type {Duty, DutyContext, FencingStamp} from './duty-runner.js';
import type {EntryDirectory} from './entry-directory.js';
import {CapacityEstimator, type CapacityEstimate, type ServiceLoad} from './capacity-estimator.js';
import {planZones, type ZoneFleet} from './fleet-policy.js';
import {getOrderKey, type FleetOrder, type ServingState} from './serving-state.js';

/** Replies to an order from the platform, i.e. the cloud provider that starts and stops back ends. */
export const orderResults = {
	/** The platform accepted the order. */
	accepted: 'accepted',
	/** No back end of this kind is available in the zone now. */
	noneLeft: 'noneLeft',
	/** The order may or may not have been accepted. */
	uncertain: 'uncertain',
} as const;

/** One of the order results. */
export type OrderResult = typeof orderResults[keyof typeof orderResults];

/** Sends one order to the platform and resolves with its reply. */
export type OrderSender = (order: FleetOrder, stamp: FencingStamp) => Promise<OrderResult>;

/** Dependencies of the fleet duty. */
export type FleetDutyOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly state: ServingState;
	readonly directory: EntryDirectory;
	readonly roster: BackendRoster;
	readonly getConfiguration: () => ServingConfiguration | undefined;
	/** Sends one order to the platform. */
	readonly order: OrderSender;
};

/** The last order that this coordinator sent, as the holder of the duties, for one service, zone and kind (spot or on demand). */
type SentOrder = {
	desired: number;
	/** Monotonic time in milliseconds. */
	sentAt: number;
	result: OrderResult;
	/** Back ends of that kind that were serving at the last step. */
	serving: number;
};

/** Time in milliseconds without a change of the largest total after which the roster counts as stable, i.e. as listing all running back ends. */
const stableRosterMs = 1800;
/** An order that was not accepted is sent again after this time, in milliseconds, if the number of back ends still differs. */
const resendIntervalMs = 2000;
/** Time in milliseconds beyond the boot time after which an ordered back end counts as missing. */
const bootMarginMs = 2500;
/** Time in milliseconds for which spot capacity counts as unavailable after a refused order. */
const unavailableMs = 3000;

/** Sum of the largest sizes of a service's zones. They may have been reached at different times. */
type LargestTotal = {
	readonly count: number;
	/** Monotonic time in milliseconds of the last change of `count`. */
	readonly since: number;
};

/** Inputs of the decision whether an order is due, and of the order's log line. */
type OrderInputs = {
	readonly serving: number;
	/** Only logged with the order. */
	readonly need: CapacityEstimate | undefined;
	/** Number of zones without spot back ends to be had; only logged with the order. */
	readonly dryZones: number;
	readonly policy: ScalingPolicy;
};

/** Delay in milliseconds of scaling down on-demand back ends, counted from the time when the plan first needed fewer. */
const scaleDownDelayMs = 600;

/** Scales all services that have a scaling policy. */
export class FleetDuty implements Duty {
	readonly #options: FleetDutyOptions;
	readonly #estimators = new Map<string, CapacityEstimator>();
	readonly #sentOrders = new Map<string, SentOrder>();
	/**
	Largest number of back ends of one kind seen serving in a zone, by the key of the zone's spot order. The plan uses
	this number until the need is known.
	*/
	readonly #largestSizes = new Map<string, number>();
	/** Largest totals, by service. */
	readonly #largestTotals = new Map<string, LargestTotal>();
	/** Monotonic time in milliseconds since which fewer on-demand back ends have sufficed, by order key. */
	readonly #canScaleDownSince = new Map<string, number>();

	constructor(options: FleetDutyOptions) {
		this.#options = options;
	}

	/** Sends the orders that are due for all services. */
	async step(context: DutyContext): Promise<void> {
		for (const {name, scaling} of this.#options.getConfiguration()?.services ?? []) {
			if (scaling !== undefined) {
				await this.#scaleService(name, scaling, context);
			}
		}
	}

	async #scaleService(service: string, policy: ScalingPolicy, context: DutyContext): Promise<void> {
		const {directory} = this.#options;
		const zones = this.#countZoneFleets(service, policy);
		const pressures = directory.getLiveStatuses().flatMap(({pressure}) => pressure[service] ?? []);
		const need = this.#getEstimator(service).update(this.#getLoad(service, pressures));
		const hasDemand = pressures.some(({tokensPerSecond}) => tokensPerSecond > 0);
		const isRosterStable = this.#updateLargestTotal(service, zones);
		const plan = planZones({
			policy, zones, need, isSettled: this.#getEstimator(service).isSettled,
		});
		const dryZones = zones.filter(({isSpotUnavailable}) => isSpotUnavailable).length;
		for (const [index, {zone, spot, onDemand}] of plan.entries()) {
			const fleet = zones[index]!;
			// Number of on-demand back ends that are only released with a delay: one per zone while the roster is stable, the service has
			// no load and the need is unknown, so that the others are released at once; otherwise all of them.
			const kept = hasDemand || need !== undefined || !isRosterStable ? fleet.onDemand : Math.min(1, fleet.onDemand);
			// Whether surplus on-demand back ends may be released: while the need is unknown, only once the planned spot back ends serve in
			// all zones; always when the need is known, also if no spot back end replaces them.
			const isReplaced = need !== undefined || zones.every((other, position) => other.spot >= plan[position]!.spot);
			await this.#orderIfDue({
				service, zone, isSpot: true, desired: spot,
			}, {
				serving: fleet.spot, need, dryZones, policy,
			}, context);
			await this.#orderIfDue({
				service, zone, isSpot: false, desired: this.#delayScaleDown(getOrderKey({service, zone, isSpot: false}), {wanted: onDemand, kept, isReplaced}),
			}, {
				serving: fleet.onDemand, need, dryZones, policy,
			}, context);
		}
	}

	/** Returns the load of a service and the capacity that serves it. */
	#getLoad(service: string, pressures: readonly ServicePressure[]): ServiceLoad {
		const {roster, directory} = this.#options;
		const serving = roster.getServing().filter(backend => backend.service === service);
		const loads = directory.getLoads();
		return {
			pressures,
			running: serving.reduce((total, {id}) => total + (loads[id]?.requests ?? 0), 0),
			slots: serving.reduce((total, {slots}) => total + slots, 0) / Math.max(1, serving.length),
			serving: serving.length,
		};
	}

	/** Updates the largest total of a service, and reports whether it has not changed for `stableRosterMs`. */
	#updateLargestTotal(service: string, zones: readonly ZoneFleet[]): boolean {
		const {clock} = this.#options;
		const count = zones.reduce((total, {largestSize}) => total + largestSize, 0);
		const known = this.#largestTotals.get(service);
		if (known?.count !== count) {
			this.#largestTotals.set(service, {count, since: clock.now()});
			return false;
		}

		return clock.now() - known.since >= stableRosterMs;
	}

	/**
	Counts the back ends of a service by zone, including zones that have a price but no back end. Updates the largest size of
	each zone.
	*/
	#countZoneFleets(service: string, policy: ScalingPolicy): readonly ZoneFleet[] {
		const {clock, roster} = this.#options;
		const serving = roster.getServing().filter(backend => backend.service === service);
		const names = new Set([...serving.map(({zone}) => zone), ...Object.keys(policy.zonePrices)]);
		return [...names].map(zone => {
			const spot = serving.filter(backend => backend.zone === zone && backend.isSpot).length;
			const onDemand = serving.filter(backend => backend.zone === zone && !backend.isSpot).length;
			const key = getOrderKey({service, zone, isSpot: true});
			const lastOrder = this.#sentOrders.get(key);
			const largestSize = Math.max(this.#largestSizes.get(key) ?? 0, spot, onDemand);
			this.#largestSizes.set(key, largestSize);
			return {
				zone,
				spot,
				onDemand,
				largestSize,
				isSpotUnavailable: lastOrder?.result === orderResults.noneLeft && clock.now() - lastOrder.sentAt < unavailableMs,
			};
		});
	}

	/**
	Returns the number of on-demand back ends to have: at least `kept` until the surplus is replaced and the planned number, `wanted`,
	has been lower for `scaleDownDelayMs`; `wanted` afterwards.
	*/
	#delayScaleDown(key: string, {wanted, kept, isReplaced}: {readonly wanted: number; readonly kept: number; readonly isReplaced: boolean}): number {
		const {clock} = this.#options;
		if (wanted >= kept || !isReplaced) {
			this.#canScaleDownSince.delete(key);
			return Math.max(wanted, kept);
		}

		const since = this.#canScaleDownSince.get(key) ?? clock.now();
		this.#canScaleDownSince.set(key, since);
		return clock.now() - since >= scaleDownDelayMs ? wanted : kept;
	}

	/**
	Sends an order if it is due. First records it in the replicated log, unless it is recorded already, and confirms that this
	coordinator still holds the duties.
	*/
	async #orderIfDue(order: FleetOrder, inputs: OrderInputs, context: DutyContext): Promise<void> {
		const {clock, state, logger} = this.#options;
		const {serving, need, dryZones} = inputs;
		const key = getOrderKey(order);
		const lastOrder = this.#sentOrders.get(key);
		const hasLostBackends = lastOrder !== undefined && serving < lastOrder.serving;
		if (lastOrder !== undefined) {
			lastOrder.serving = serving;
		}

		if (!this.#isDue(order, inputs, lastOrder, hasLostBackends)) {
			return;
		}

		if (!state.orders.some(known => getOrderKey(known) === key && known.desired === order.desired)) {
			await context.propose({kind: 'recordOrder', order});
		}

		const stamp = await context.confirm();
		const result = await this.#options.order(order, stamp);
		this.#sentOrders.set(key, {
			desired: order.desired, sentAt: clock.now(), result, serving,
		});
		logger.log(result === orderResults.accepted ? events.fleetOrdered : events.fleetOrderRefused, {
			...order,
			serving,
			need: need?.least.toFixed(2),
			comfortable: need?.comfortable.toFixed(2),
			work: need?.work.toFixed(2),
			bySlots: need?.bySlots.toFixed(2),
			msPerToken: need?.msPerToken?.toFixed(4),
			dryZones,
			result,
			token: stamp.token,
		});
	}

	/**
	Reports whether an order must be sent. A first order is due when `desired` differs from the number of serving back ends, a changed
	number at once. The same number is due again if its order, sent at least `resendIntervalMs` ago, was not accepted and it still differs from
	the number of serving back ends; or if its order was accepted, but back ends were lost or have not come up in time.
	*/
	#isDue({desired}: FleetOrder, {serving, policy}: OrderInputs, lastOrder: SentOrder | undefined, hasLostBackends: boolean): boolean {
		const sinceSentMs = lastOrder === undefined ? Number.POSITIVE_INFINITY : this.#options.clock.now() - lastOrder.sentAt;
		if (lastOrder === undefined) {
			return desired !== serving;
		}

		if (lastOrder.desired !== desired) {
			return true;
		}

		if (lastOrder.result !== orderResults.accepted) {
			return sinceSentMs >= resendIntervalMs && desired !== serving;
		}

		return desired > serving && (hasLostBackends || sinceSentMs >= policy.bootMs + bootMarginMs);
	}

	#getEstimator(service: string): CapacityEstimator {
		let estimator = this.#estimators.get(service);
		if (estimator === undefined) {
			estimator = new CapacityEstimator(this.#options.clock);
			this.#estimators.set(service, estimator);
		}

		return estimator;
	}
}
