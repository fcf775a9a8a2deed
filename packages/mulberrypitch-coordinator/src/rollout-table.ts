/** The last roll-out of each service, as part of the replicated state. */
import type {CommandResult, ProposedCommand} from '@mulberrypitch/control/types';
import {ConflictError} from '@mulberrypitch/errors/catalogue';
import {rolloutStates, type Rollout} from '@mulberrypitch/serving/rollout-messages';

/** An operator's order to move a service's traffic to the back ends of a version. */
export type RolloutOrder = {
	readonly service: string;
	/** Version of the software to which the traffic is moved. */
	readonly target: string;
	/** Time in milliseconds by which the roll-out is to be completed. */
	readonly durationMs: number;
};

/** Starts a roll-out, unless one of the service is running or the order repeats the last one. */
export type StartRollout = ProposedCommand & RolloutOrder & {
	readonly kind: 'startRollout';
};

/**
Replaces a roll-out by its next revision, or only raises its elapsed time. The command has the whole roll-out, so that a replica that
lacks it, since it applied the order with a build of an earlier version, learns it.
*/
export type AdvanceRollout = ProposedCommand & {
	readonly kind: 'advanceRollout';
	readonly rollout: Rollout;
	/** The revision that the command was derived from. It has no effect on any other. */
	readonly fromRevision: number;
};

/** A command that the table applies. */
export type RolloutCommand = StartRollout | AdvanceRollout;

/** What became of an order. */
export type RolloutStart = {
	readonly rollout: Rollout;
	/** Whether the order had been accepted before. */
	readonly isRepeat: boolean;
};

/**
Time in milliseconds after an order for which an equal one counts as its repeat even if the roll-out has ended. An operator sends an order
again for up to 5,000 ms; this is twice as long.
*/
export const repeatMs = 10_000;
/** Number of versions that were rolled back and are remembered through later roll-outs. Each poll's reply names them. */
const maxWithdrawn = 4;

/** Holds the last roll-out of each service. All replicas that apply the same commands hold the same ones. */
export class RolloutTable {
	readonly #onChange: () => void;
	readonly #rollouts = new Map<string, Rollout>();

	constructor(onChange: () => void) {
		this.#onChange = onChange;
	}

	/** Returns the last roll-out of a service. */
	get(service: string): Rollout | undefined {
		return this.#rollouts.get(service);
	}

	/** Returns the last roll-out of each service. */
	list(): readonly Rollout[] {
		return [...this.#rollouts.values()];
	}

	/** Replaces all roll-outs by those of a snapshot. */
	restore(rollouts: readonly Rollout[]): void {
		this.#rollouts.clear();
		for (const rollout of rollouts) {
			this.#rollouts.set(rollout.service, rollout);
		}

		this.#onChange();
	}

	/** Applies a committed command. The result has a `RolloutStart`, a failure, or whether an advance had an effect. */
	apply(command: RolloutCommand, index: number): CommandResult {
		return command.kind === 'startRollout' ? this.#start(command, index) : {value: this.#advance(command)};
	}

	#start({service, target, durationMs}: StartRollout, id: number): CommandResult {
		const known = this.#rollouts.get(service);
		if (known !== undefined && isRepeat(known, {service, target, durationMs})) {
			return {value: {rollout: known, isRepeat: true} satisfies RolloutStart};
		}

		if (known?.state === rolloutStates.running) {
			const details = {target: known.target, durationMs: known.durationMs};
			return {failure: new ConflictError(`A roll-out of service ${service} to ${known.target} is running.`, 'Wait until it has ended.', details).toWire()};
		}

		const withdrawn = known === undefined ? [] : listWithdrawn(known, target);
		const rollout: Rollout = {
			id, service, target, durationMs, state: rolloutStates.running, share: 0, revision: 1, elapsedMs: 0, reason: 'ordered', ...(withdrawn.length > 0 && {withdrawn}),
		};
		this.#set(rollout);
		return {value: {rollout, isRepeat: false} satisfies RolloutStart};
	}

	#advance({rollout, fromRevision}: AdvanceRollout): boolean {
		const known = this.#rollouts.get(rollout.service);
		if (known === undefined || known.id < rollout.id) {
			this.#set(rollout);
			return true;
		}

		if (known.id !== rollout.id || known.revision !== fromRevision) {
			return false;
		}

		const elapsedMs = Math.max(known.elapsedMs, rollout.elapsedMs);
		this.#set(known.state === rolloutStates.running ? {...rollout, elapsedMs} : {...known, elapsedMs});
		return true;
	}

	#set(rollout: Rollout): void {
		this.#rollouts.set(rollout.service, rollout);
		this.#onChange();
	}
}

/** Returns the versions that were rolled back by the end of a roll-out, without the one that the next order names. */
function listWithdrawn({state, target, withdrawn = []}: Rollout, ordered: string): readonly string[] {
	const all = state === rolloutStates.rolledBack ? [...withdrawn, target] : withdrawn;
	return all.filter(version => version !== ordered).slice(-maxWithdrawn);
}

/** Reports whether an order equals that of a roll-out and may be its repeat. The time is the committed one, so that all replicas agree. */
function isRepeat({target, durationMs, state, elapsedMs}: Rollout, order: RolloutOrder): boolean {
	return target === order.target && durationMs === order.durationMs && (state === rolloutStates.running || elapsedMs < repeatMs);
}
