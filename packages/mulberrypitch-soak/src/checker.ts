/** Checks the invariants of a run and collects each violation as one line of text. */
import {verifyChain} from '@mulberrypitch/account/chain';
import {ControlState} from '@mulberrypitch/control/control-state';
import type {Applied, StateMachine} from '@mulberrypitch/control/types';
import type {LogEntry} from '@mulberrypitch/storage/types';
import type {SimulatedHost} from './simulated-host.js';

/** A change of the configuration that was acknowledged to its operator. */
export type AcknowledgedChange = {
	readonly changeId: string;
	readonly expectedRevision: number;
	readonly revision: number;
};

/** Records acknowledgements and applied entries during a run and checks the state of the hosts against them. */
export class Checker {
	/** Violated invariants, one line each. */
	readonly violations: string[] = [];
	readonly #committed = new Map<number, string>();
	readonly #changes = new Map<string, AcknowledgedChange>();
	readonly #changeIdsByRevision = new Map<number, string>();
	readonly #requests = new Map<string, string>();
	#lastRevision = 0;

	/** Highest revision that was acknowledged to an operator. */
	get lastRevision(): number {
		return this.#lastRevision;
	}

	/** Number of log entries applied by any replica. */
	get committedEntries(): number {
		return this.#committed.size;
	}

	/** Number of configuration changes that were acknowledged. */
	get acknowledgedChanges(): number {
		return this.#changes.size;
	}

	/** Number of idempotency keys whose request was acknowledged. */
	get acknowledgedRequests(): number {
		return this.#requests.size;
	}

	/** Records an entry that a replica applies. All replicas must apply the same entry at an index. */
	recordApplied(host: string, entry: LogEntry): void {
		const text = JSON.stringify(entry);
		const known = this.#committed.get(entry.index);
		if (known === undefined) {
			this.#committed.set(entry.index, text);
		} else if (known !== text) {
			this.#fail(`${host} applied another entry at ${entry.index}: ${text}, not ${known}`);
		}
	}

	/** Records an acknowledged change. A change has one revision, directly after the one that it expected, and a revision has one change. */
	recordChange(change: AcknowledgedChange): void {
		const {changeId, revision, expectedRevision} = change;
		const first = this.#changes.get(changeId);
		if (first !== undefined && first.revision !== revision) {
			this.#fail(`change ${changeId} got revision ${revision} after ${first.revision}`);
		}

		const winner = this.#changeIdsByRevision.get(revision);
		if (winner !== undefined && winner !== changeId) {
			this.#fail(`revision ${revision} went to ${winner} and ${changeId}`);
		}

		if (revision !== expectedRevision + 1) {
			this.#fail(`change ${changeId} expected ${expectedRevision} but got ${revision}`);
		}

		this.#changes.set(changeId, change);
		this.#changeIdsByRevision.set(revision, changeId);
		this.#lastRevision = Math.max(this.#lastRevision, revision);
	}

	/** Records the request that was acknowledged for an idempotency key. All acknowledgements of a key must name the same request. */
	recordRequest(key: string, requestId: string): void {
		const known = this.#requests.get(key);
		if (known !== undefined && known !== requestId) {
			this.#fail(`key ${key} stands for ${known} and ${requestId}`);
		}

		this.#requests.set(key, requestId);
	}

	/** Checks the hosts at one point in time: at most one holds the lease, and its configuration has every acknowledged revision. */
	checkCurrentState(hosts: readonly SimulatedHost[]): void {
		const leaseHolders = hosts.filter(host => host.replica?.hasLease());
		if (leaseHolders.length > 1) {
			this.#fail(`${leaseHolders.map(host => host.name).join(' and ')} hold the lease at once`);
		}

		for (const {name, state} of leaseHolders) {
			const revision = state?.configuration?.revision ?? 0;
			if (revision < this.#lastRevision) {
				this.#fail(`${name} holds the lease with revision ${revision}, but ${this.#lastRevision} was acknowledged`);
			}
		}
	}

	/** Checks the hosts after recovery: their states agree, their audit logs are intact and no acknowledged change or request is lost. */
	checkFinalState(hosts: readonly SimulatedHost[]): void {
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

/** The state machine of a replica, which reports each applied entry to the checker. */
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
