/** Stand-ins for back ends that take orders: one checks fencing numbers, one ignores them. */
import {CodedError} from '@mulberrypitch/errors/coded-error';

/** The state of a back end, as orders name it. */
export type TargetState = {
	readonly role: string;
	readonly models: readonly string[];
	readonly adapters: readonly string[];
};

/** An order as it arrives. */
export type TargetOrder = {
	readonly fencing: number;
	readonly desired: TargetState;
};

/** Takes every order, whoever gave it. */
export class IgnoringOrderTarget {
	state: TargetState = {role: 'idle', models: [], adapters: []};
	readonly taken: number[] = [];

	take({fencing, desired}: TargetOrder): void {
		this.taken.push(fencing);
		this.state = desired;
	}
}

/** Refuses an order whose fencing number is not above the last one it took. */
export class CheckingOrderTarget extends IgnoringOrderTarget {
	readonly refused: number[] = [];

	override take(order: TargetOrder): void {
		if (order.fencing <= (this.taken.at(-1) ?? 0)) {
			this.refused.push(order.fencing);
			throw new CodedError('stale_fencing', `Order ${order.fencing} is old.`, 'Stop giving orders.');
		}

		super.take(order);
	}
}

/** A way to one target that can hold the orders sent through it, as a frozen sender would. */
export class HeldOrderPort {
	isHolding = false;
	readonly #held: Array<() => void> = [];

	constructor(readonly target: IgnoringOrderTarget) {
		// All back ends are this one target.
	}

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

	/** Lets all held orders arrive now. */
	release(): void {
		this.isHolding = false;
		for (const resolve of this.#held.splice(0)) {
			resolve();
		}
	}
}
