/** What must hold in every run; each violation is kept as one line. */
import {verifyChain} from '@mulberrypitch/account/chain';
import {ControlState} from '@mulberrypitch/control/control-state';
import type {Applied, StateMachine} from '@mulberrypitch/control/types';
import type {LogEntry} from '@mulberrypitch/storage/types';
import type {SimulatedHost} from './simulated-host.js';

/** An accepted change of the configuration, as its operator was told. */
export type AcknowledgedChange = {
	readonly changeId: string;
	readonly expectedRevision: number;
	readonly revision: number;
};

/** Gathers facts during a run and judges them. */
export class Checker {
	readonly violations: string[] = [];
	readonly #committed = new Map<number, string>();
	readonly #changes = new Map<string, AcknowledgedChange>();
	readonly #winners = new Map<number, string>();
	readonly #requests = new Map<string, string>();
	#lastRevision = 0;

	/** Highest revision that an operator was told of. */
	get lastRevision(): number {
		return this.#lastRevision;
	}

	/** Entries applied by any replica. */
	get committedEntries(): number {
		return this.#committed.size;
	}

	get acknowledgedChanges(): number {
		return this.#changes.size;
	}

	get acknowledgedRequests(): number {
		return this.#requests.size;
	}

	/** A replica applies an entry; all replicas must apply the same one at an index. */
	recordApplied(host: string, entry: LogEntry): void {
		const text = JSON.stringify(entry);
		const known = this.#committed.get(entry.index);
		if (known === undefined) {
			this.#committed.set(entry.index, text);
		} else if (known !== text) {
			this.#fail(`${host} applied another entry at ${entry.index}: ${text}, not ${known}`);
		}
	}

	/** An operator was told that a change is in force. */
	recordChange(change: AcknowledgedChange): void {
		const {changeId, revision, expectedRevision} = change;
		const first = this.#changes.get(changeId);
		if (first !== undefined && first.revision !== revision) {
			this.#fail(`change ${changeId} got revision ${revision} after ${first.revision}`);
		}

		const winner = this.#winners.get(revision);
		if (winner !== undefined && winner !== changeId) {
			this.#fail(`revision ${revision} went to ${winner} and ${changeId}`);
		}

		if (revision !== expectedRevision + 1) {
			this.#fail(`change ${changeId} expected ${expectedRevision} but got ${revision}`);
		}

		this.#changes.set(changeId, change);
		this.#winners.set(revision, changeId);
		this.#lastRevision = Math.max(this.#lastRevision, revision);
	}

	/** A caller was told which request its idempotency key stands for. */
	recordRequest(key: string, requestId: string): void {
		const known = this.#requests.get(key);
		if (known !== undefined && known !== requestId) {
			this.#fail(`key ${key} stands for ${known} and ${requestId}`);
		}

		this.#requests.set(key, requestId);
	}

	/** Looks at all hosts at one moment. */
	checkMoment(hosts: readonly SimulatedHost[]): void {
		const holders = hosts.filter(host => host.replica?.hasLease());
		if (holders.length > 1) {
			this.#fail(`${holders.map(host => host.name).join(' and ')} hold the lease at once`);
		}

		for (const {name, state} of holders) {
			const revision = state?.configuration?.revision ?? 0;
			if (revision < this.#lastRevision) {
				this.#fail(`${name} holds the lease with revision ${revision}, but ${this.#lastRevision} was acknowledged`);
			}
		}
	}

	/** Looks at all hosts after the last fault is mended. */
	checkEnd(hosts: readonly SimulatedHost[]): void {
		const states = hosts.map(host => JSON.stringify(host.state!.capture()));
		if (new Set(states).size > 1) {
			this.#fail('the states of the replicas differ');
		}

		for (const host of hosts) {
			this.#checkAccount(host);
			this.#checkAcknowledged(host);
		}
	}

	#checkAccount({name, account, state}: SimulatedHost): void {
		try {
			const head = verifyChain(account!.read(1, Number.MAX_SAFE_INTEGER));
			if (head.hash !== state!.head.hash) {
				this.#fail(`${name} has an account up to ${head.sequence}, its state up to ${state!.head.sequence}`);
			}
		} catch (error) {
			this.#fail(`${name}: ${String(error)}`);
		}
	}

	#checkAcknowledged({name, state}: SimulatedHost): void {
		if ((state!.configuration?.revision ?? 0) < this.#lastRevision) {
			this.#fail(`${name} lost revision ${this.#lastRevision}`);
		}

		for (const [key, requestId] of this.#requests) {
			if (state!.findByKey('customer', 'service', key)?.requestId !== requestId) {
				this.#fail(`${name} lost request ${requestId}`);
			}
		}
	}

	#fail(violation: string): void {
		if (!this.violations.includes(violation)) {
			this.violations.push(violation);
		}
	}
}

/** The state of a replica, with each applied entry shown to the checker. */
export class CheckedState extends ControlState implements StateMachine {
	readonly #checker: Checker;
	readonly #host: string;

	constructor(checker: Checker, host: string) {
		super();
		this.#checker = checker;
		this.#host = host;
	}

	override apply(entry: LogEntry): Applied {
		this.#checker.recordApplied(this.#host, entry);
		return super.apply(entry);
	}
}
