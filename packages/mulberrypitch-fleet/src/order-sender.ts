/** Brings back ends to the desired state that the control group has committed. Only a leader with a valid lease sends orders. */
import PQueue from 'p-queue';
import type {BackendServer, DesiredState} from '@mulberrypitch/control/types';
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {createFencingToken} from './fencing.js';
import type {FleetState, Leadership, OrderPort} from './types.js';

/** Time after which an order that was not acknowledged counts as lost. */
export const orderTimeoutMs = 2000;
/** Longest lease of a leader, on the clock of any replica. */
const maxLeaseMs = 700;
/** Time that a new leader waits before its first order, so that no order of its predecessor is still in transit. */
export const takeOverDelayMs = maxLeaseMs + orderTimeoutMs;
/** Pause between two passes over all back ends. */
export const repairIntervalMs = 2000;
/** Interval at which a replica that may not send checks its leadership. */
const pollIntervalMs = 100;
/** Limit on the back ends that are read or sent an order at the same time. */
const maxConcurrentOrders = 32;

/** Dependencies of an `OrderSender`. */
export type OrderSenderOptions = {
	readonly leadership: Leadership;
	readonly state: FleetState;
	readonly port: OrderPort;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Reads the state of each back end periodically, and sends an order to each one whose state differs from the desired state. */
export class OrderSender implements Resource {
	readonly #options: OrderSenderOptions;
	readonly #queue = new PQueue({concurrency: maxConcurrentOrders});
	#task: BackgroundTask | undefined;
	#term = 0;
	#sequence = 0;
	/** Monotonic time in milliseconds from which orders of the term may be sent. */
	#sendAllowedAt = Number.POSITIVE_INFINITY;

	constructor(options: OrderSenderOptions) {
		this.#options = options;
	}

	/** Starts the background task that follows the leadership and repairs back ends. */
	start(): void {
		this.#task = new BackgroundTask(async signal => this.#run(signal), error => {
			this.#options.logger.log(events.taskFailed, {reason: getMessage(error)});
		});
	}

	async dispose(): Promise<void> {
		await this.#task?.dispose();
	}

	async #run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted) {
			this.#trackLeadership();
			if (this.#canSend(this.#term)) {
				await this.#repairAll();
				await clock.sleep(repairIntervalMs, signal);
			} else {
				await clock.sleep(pollIntervalMs, signal);
			}
		}
	}

	/** Starts the take-over delay when this replica became the leader of a new term. */
	#trackLeadership(): void {
		const {leadership, clock} = this.#options;
		if (leadership.hasLease() && leadership.term !== this.#term) {
			this.#term = leadership.term;
			this.#sequence = 0;
			this.#sendAllowedAt = clock.now() + takeOverDelayMs;
		}
	}

	/**
	Reports whether this replica may send orders of the term. Must be called in the same turn of the event loop as the send: the
	lease may expire during any `await` between the two.
	*/
	#canSend(term: number): boolean {
		const {leadership, clock} = this.#options;
		return leadership.hasLease() && leadership.term === term && clock.now() >= this.#sendAllowedAt;
	}

	async #repairAll(): Promise<void> {
		const {state} = this.#options;
		const term = this.#term;
		await Promise.all(state.listDesired().map(async id => this.#queue.add(async () => this.#repair(id, term))));
	}

	/** Reads the state of one back end, and sends an order if it differs from the desired state. Failures are only logged. */
	async #repair(id: string, term: number): Promise<void> {
		const {state, port, logger} = this.#options;
		const backend = state.getBackend(id);
		if (backend === undefined || backend.isLeaving || !this.#canSend(term)) {
			return;
		}

		try {
			const observed = await port.read(backend, orderTimeoutMs);
			const desired = state.getDesired(id);
			if (desired !== undefined && !isSameState(observed, desired)) {
				await this.#send(backend, desired, term);
			}
		} catch (error) {
			if (!(error instanceof CodedError)) {
				throw error;
			}

			logger.log(events.orderFailed, {backend: id, code: error.code, reason: error.message});
		}
	}

	async #send(backend: BackendServer, desired: DesiredState, term: number): Promise<void> {
		const {port, logger} = this.#options;
		if (!this.#canSend(term)) {
			return;
		}

		this.#sequence += 1;
		const fencing = createFencingToken(term, this.#sequence);
		logger.log(events.orderSent, {backend: backend.id, fencing});
		await port.send(backend, {fencing, desired}, orderTimeoutMs);
	}
}

/** Reports whether two states are equal, regardless of the order of models and adapters. */
function isSameState(left: DesiredState, right: DesiredState): boolean {
	return left.role === right.role
		&& left.models.toSorted().join('\n') === right.models.toSorted().join('\n')
		&& left.adapters.toSorted().join('\n') === right.adapters.toSorted().join('\n');
}
