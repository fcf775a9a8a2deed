/** Stand-ins for back ends that receive orders: one checks fencing tokens, the other ignores them. */
import {CodedError} from '@mulberrypitch/errors/coded-error';

/** The state of a back end, as described in an order. */
export type TargetState = {
	readonly role: string;
	readonly models: readonly string[];
	readonly adapters: readonly string[];
};

/** An order as a back end receives it; `fencing` is the fencing token. */
export type TargetOrder = {
	readonly fencing: number;
	readonly desired: TargetState;
};

/** Accepts every order, without a check of its fencing token. */
export class UnfencedOrderTarget {
	/** The state that the last accepted order set. */
	state: TargetState = {role: 'idle', models: [], adapters: []};
	/** Fencing tokens of the accepted orders, oldest first. */
	readonly taken: number[] = [];

	/** Applies an order. */
	take({fencing, desired}: TargetOrder): void {
		this.taken.push(fencing);
		this.state = desired;
	}
}

/** Rejects an order whose fencing token is not higher than that of the last accepted order. */
export class FencedOrderTarget extends UnfencedOrderTarget {
	/** Fencing tokens of the rejected orders, oldest first. */
	readonly refused: number[] = [];

	/** Applies an order, or throws a `CodedError` with code `stale_fencing` when the fencing token is too low. */
	override take(order: TargetOrder): void {
		if (order.fencing <= (this.taken.at(-1) ?? 0)) {
			this.refused.push(order.fencing);
			throw new CodedError('stale_fencing', `Fencing token ${order.fencing} is not higher than that of the last accepted order.`, 'Stop sending orders.');
		}

		super.take(order);
	}
}

/** An order port that can delay the orders to its target, like a sender process that is paused just before it sends. */
export class HeldOrderPort {
	/** Whether new orders wait until `release` is called. */
	isHolding = false;
	readonly #held: Array<() => void> = [];

	constructor(readonly target: UnfencedOrderTarget) {
		// Orders to any back end go to this one target.
	}

	/** Number of orders that wait for `release`. */
	get held(): number {
		return this.#held.length;
	}

	async send(_backend: unknown, order: TargetOrder): Promise<void> {
		if (this.isHolding) {
			await new Promise<void>(resolve => {
				this.#held.push(resolve);
			});
		}

		this.target.take(order);
	}

	async read(): Promise<TargetState> {
		return this.target.state;
	}

	/** Delivers all held orders. */
	release(): void {
		this.isHolding = false;
		for (const resolve of this.#held.splice(0)) {
			resolve();
		}
	}
}
