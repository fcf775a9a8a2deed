/** Records the attempts of one request in the control group. */
import {codes} from '@mulberrypitch/errors/catalogue';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import type {BackendServer} from '@mulberrypitch/control/types';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {ProposalLoop} from './proposal-loop.js';
import type {HeldCopy} from './types.js';

/** An attempt that is about to be dispatched. */
export type AttemptIntent = {
	readonly attempt: number;
	/** Identifier of the back end. */
	readonly backend: string;
	/** Whether the content may have crashed a back end. */
	readonly isSuspect: boolean;
};

/** Dependencies of an `AttemptRecord`. */
export type AttemptRecordOptions = {
	readonly copy: HeldCopy;
	readonly proposals: ProposalLoop;
	readonly clock: Clock;
};

/**
Commits the intent of each attempt, and later that the attempt was not sent or that its content may have crashed the back end.

@example
```
const record = new AttemptRecord({copy, proposals, clock});
await record.recordIntent({attempt: 1, backend: 'engine-1', isSuspect: false});
```
*/
export class AttemptRecord {
	readonly #options: AttemptRecordOptions;

	constructor(options: AttemptRecordOptions) {
		this.#options = options;
	}

	/** Commits the intent to dispatch an attempt. */
	async recordIntent(intent: AttemptIntent): Promise<void> {
		const {copy, proposals, clock} = this.#options;
		await proposals.propose({
			kind: 'recordIntent', requestId: copy.requestId, epoch: copy.epoch, ...intent, entryTime: clock.wallTime(),
		});
	}

	/** Commits that an attempt provably never reached its back end. */
	async recordNotSent(attempt: number): Promise<void> {
		const {copy, proposals} = this.#options;
		await proposals.propose({
			kind: 'recordNotSent', requestId: copy.requestId, epoch: copy.epoch, attempt,
		});
	}

	/** Commits that the content may have crashed an incarnation of a back end. Several such charges quarantine the content. */
	async chargeContent({id, incarnation}: BackendServer): Promise<void> {
		const {copy, proposals} = this.#options;
		await proposals.propose({
			kind: 'chargeFingerprint', fingerprint: copy.fingerprint, ...(copy.parts.length > 0 && {parts: copy.parts}), backend: id, incarnation,
		});
	}
}

/**
Returns the error with which the control group refused an intent because the content may crash back ends, or `undefined` when the
intent was committed. Other errors are thrown.

@example
```
const refusal = await findRefusal(intent);
```
*/
export async function findRefusal(intent: Promise<void>): Promise<CodedError | undefined> {
	try {
		await intent;
	} catch (error) {
		if (error instanceof CodedError && (error.code === codes.quarantined || error.code === codes.conflict)) {
			return error;
		}

		throw error;
	}

	return undefined;
}
