/** Brings back ends to the state that the group has decided. Only a leader within its lease sends. */
import PQueue from 'p-queue';
import type {BackendServer, DesiredState} from '@mulberrypitch/control/types';
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {createFencingNumber} from './fencing.js';
import type {FleetState, Lead, OrderPort} from './types.js';

/** Time after which an order that was not taken counts as lost. */
export const orderTimeoutMs = 2000;
/** Longest lease of a leader, by any clock. */
const leaseMs = 700;
/** Time that a new leader waits, so that no order of the one before it is still on its way. */
export const takeOverDelayMs = leaseMs + orderTimeoutMs;
/** Time between two looks at the back ends. */
export const repairIntervalMs = 2000;
const pollMs = 100;
const maxOrdersAtOnce = 32;

/** What the sender is made of. */
export type OrderSenderOptions = {
	readonly lead: Lead;
	readonly state: FleetState;
	readonly port: OrderPort;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Reads each back end, and sends an order where its state is not the desired one. */
export class OrderSender implements Resource {
	readonly #options: OrderSenderOptions;
	readonly #queue = new PQueue({concurrency: maxOrdersAtOnce});
	#task: BackgroundTask | undefined;
	#term = 0;
	#sequence = 0;
	#readyAt = Number.POSITIVE_INFINITY;

	constructor(options: OrderSenderOptions) {
		this.#options = options;
	}

	/** Begins to watch the lead and the back ends. */
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
			this.#followLead();
			if (this.#maySend(this.#term)) {
				await this.#repairAll();
				await clock.sleep(repairIntervalMs, signal);
			} else {
				await clock.sleep(pollMs, signal);
			}
		}
	}

	#followLead(): void {
		const {lead, clock} = this.#options;
		if (lead.hasLease() && lead.term !== this.#term) {
			this.#term = lead.term;
			this.#sequence = 0;
			this.#readyAt = clock.now() + takeOverDelayMs;
		}
	}

	/** Must be asked in the same turn as the send, with no wait between the two. */
	#maySend(term: number): boolean {
		const {lead, clock} = this.#options;
		return lead.hasLease() && lead.term === term && clock.now() >= this.#readyAt;
	}

	async #repairAll(): Promise<void> {
		const {state} = this.#options;
		const term = this.#term;
		await Promise.all(state.listDesired().map(async id => this.#queue.add(async () => this.#repair(id, term))));
	}

	async #repair(id: string, term: number): Promise<void> {
		const {state, port, logger} = this.#options;
		const backend = state.getBackend(id);
		if (backend === undefined || backend.isLeaving || !this.#maySend(term)) {
			return;
		}

		try {
			const observed = await port.read(backend, orderTimeoutMs);
			const desired = state.getDesired(id);
			if (desired !== undefined && !isSame(observed, desired)) {
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
		if (!this.#maySend(term)) {
			return;
		}

		this.#sequence += 1;
		const fencing = createFencingNumber(term, this.#sequence);
		logger.log(events.orderSent, {backend: backend.id, fencing});
		await port.send(backend, {fencing, desired}, orderTimeoutMs);
	}
}

/** Compares states whatever the order of their parts. */
function isSame(left: DesiredState, right: DesiredState): boolean {
	return left.role === right.role
		&& left.models.toSorted().join('\n') === right.models.toSorted().join('\n')
		&& left.adapters.toSorted().join('\n') === right.adapters.toSorted().join('\n');
}
