/** The operator's orders and reads of roll-outs, which any coordinator takes and the leader decides. */
import * as z from 'zod';
import type {CommandResult, ProposedCommand} from '@mulberrypitch/control/types';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {NotFoundError, NotLeaderError, UnknownServiceError} from '@mulberrypitch/errors/catalogue';
import {createErrorFromWire} from '@mulberrypitch/errors/coded-error';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {Rollout} from '@mulberrypitch/serving/rollout-messages';
import type {ServingConfiguration} from '@mulberrypitch/serving/types';
import {methods} from '@mulberrypitch/serving/view-messages';
import type {Schema, Transport} from '@mulberrypitch/transport/types';
import type {RolloutOrder, RolloutStart, RolloutTable} from './rollout-table.js';

/** What the roll-outs need of the replicated log. */
export type RolloutLog = {
	/** Name of the leader, or `undefined` if none is known. */
	readonly leader: string | undefined;
	/** Reports whether this coordinator leads and has applied all entries of earlier terms. */
	hasLease(): boolean;
	/** Resolves once a quorum has confirmed that this coordinator leads, and all that was committed before is applied. */
	confirmLeadership(timeoutMs: number): Promise<void>;
	/** Returns the result of a command once it is committed and applied here. */
	propose(command: ProposedCommand): Promise<CommandResult>;
};

/** Dependencies of the orders. */
export type RolloutOrdersOptions = {
	/** Name of this coordinator. */
	readonly name: string;
	/** Whether the deployment has roll-outs. */
	readonly isEnabled: boolean;
	readonly transport: Transport;
	/** Returns the address of a coordinator for calls between processes. */
	readonly getAddress: (name: string) => string;
	readonly log: RolloutLog;
	readonly table: RolloutTable;
	readonly getConfiguration: () => ServingConfiguration | undefined;
	readonly logger: Logger;
};

/** The reply to a read; without a roll-out if the service never had one. */
type RolloutRead = {
	readonly rollout?: Rollout;
};

const forwardTimeoutMs = 900;
/** Time in milliseconds within which a quorum must confirm the leader. */
export const confirmTimeoutMs = 700;
/** Longest duration of a roll-out in milliseconds: one day. */
export const maxDurationMs = 86_400_000;

const orderSchema: Schema<RolloutOrder> = z.object({
	service: z.string().min(1), target: z.string().min(1), durationMs: z.number().positive().max(maxDurationMs),
});
const readSchema: Schema<{readonly service: string}> = z.object({service: z.string()});

/** Takes orders and reads at this coordinator, and decides them while it leads. */
export class RolloutOrders {
	readonly #options: RolloutOrdersOptions;

	constructor(options: RolloutOrdersOptions) {
		this.#options = options;
	}

	/** Registers the methods that other coordinators call at the leader. */
	register(): void {
		const {transport} = this.#options;
		transport.handle(methods.startRollout, orderSchema, async order => this.#startAsLeader(order));
		transport.handle(methods.readRollout, readSchema, async ({service}) => this.#readAsLeader(service));
	}

	/**
	Starts a roll-out, and returns it once the order is committed. A repeated order returns the roll-out that the first one started. Throws
	`ConflictError` while another roll-out of the service is running, `UnknownServiceError` if the configuration does not define the
	service, `NotFoundError` if the deployment has no roll-outs, and another `CodedError` when the order may not have been committed.
	*/
	async start(order: RolloutOrder): Promise<Rollout> {
		this.#checkEnabled();
		const {rollout} = await this.#callLeader<RolloutStart>(methods.startRollout, order, async () => this.#startAsLeader(order));
		return rollout;
	}

	/** Returns the last roll-out of a service with a linearizable read. Throws `NotFoundError` if there is none. */
	async read(service: string): Promise<Rollout> {
		this.#checkEnabled();
		const {rollout} = await this.#callLeader<RolloutRead>(methods.readRollout, {service}, async () => this.#readAsLeader(service));
		if (rollout === undefined) {
			throw new NotFoundError(`Service ${service} has no roll-out.`);
		}

		return rollout;
	}

	async #startAsLeader(order: RolloutOrder): Promise<RolloutStart> {
		const {log, logger, table} = this.#options;
		this.#checkEnabled();
		// An order that was accepted is acknowledged again, also if its service has left the configuration since.
		const isAcceptable = () => table.isRepeat(order) || this.#isDefined(order.service);
		if (!isAcceptable()) {
			// A newer configuration that defines the service may be committed and not yet applied here.
			await log.confirmLeadership(confirmTimeoutMs);
			if (!isAcceptable()) {
				throw new UnknownServiceError(order.service);
			}
		}

		const {service, target, durationMs} = order;
		const {failure, value} = await log.propose({
			kind: 'startRollout', service, target, durationMs,
		});
		if (failure !== undefined) {
			throw createErrorFromWire(failure);
		}

		const start = assumeType<RolloutStart>(value);
		logger.log(events.rolloutOrdered, {
			service, target, durationMs, rollout: start.rollout.id, isRepeat: start.isRepeat,
		});
		return start;
	}

	async #readAsLeader(service: string): Promise<RolloutRead> {
		const {log, table} = this.#options;
		this.#checkEnabled();
		await log.confirmLeadership(confirmTimeoutMs);
		const rollout = table.get(service);
		return {...(rollout !== undefined && {rollout})};
	}

	#isDefined(service: string): boolean {
		return this.#options.getConfiguration()?.services.some(({name}) => name === service) ?? false;
	}

	#checkEnabled(): void {
		if (!this.#options.isEnabled) {
			throw new NotFoundError('This deployment has no roll-outs.', 'Set the limits of roll-outs in its settings.');
		}
	}

	/** Calls the leader, or `runHere` if this coordinator leads. Throws `NotLeaderError` if no leader is known. */
	async #callLeader<Reply>(method: string, parameters: unknown, runHere: () => Promise<Reply>): Promise<Reply> {
		const {name, log, transport, getAddress} = this.#options;
		const {leader} = log;
		if (leader === undefined) {
			throw new NotLeaderError(undefined);
		}

		return leader === name ? runHere() : transport.call<Reply>(getAddress(leader), method, parameters, {timeoutMs: forwardTimeoutMs});
	}
}
