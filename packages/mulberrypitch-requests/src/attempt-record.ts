/** What the control group is told of the attempts to run one request. */
import {codes} from '@mulberrypitch/errors/catalogue';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import type {BackendServer} from '@mulberrypitch/control/types';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {ProposalLoop} from './proposal-loop.js';
import type {HeldCopy} from './types.js';

/** An attempt that is about to be sent. */
export type AttemptIntent = {
	readonly attempt: number;
	/** Identifier of the back end. */
	readonly backend: string;
	/** The content may have killed a back end. */
	readonly isSuspect: boolean;
};

export type AttemptRecordOptions = {
	readonly copy: HeldCopy;
	readonly proposals: ProposalLoop;
	readonly clock: Clock;
};

/** Commits intents and what became of them. */
export class AttemptRecord {
	readonly #options: AttemptRecordOptions;

	constructor(options: AttemptRecordOptions) {
		this.#options = options;
	}

	/** Resolves once the intent is committed. */
	async noteIntent(intent: AttemptIntent): Promise<void> {
		const {copy, proposals, clock} = this.#options;
		await proposals.propose({
			kind: 'recordIntent', requestId: copy.requestId, epoch: copy.epoch, ...intent, entryTime: clock.wallTime(),
		});
	}

	/** Notes that an attempt is proved not to have reached its back end. */
	async noteNotSent(attempt: number): Promise<void> {
		const {copy, proposals} = this.#options;
		await proposals.propose({
			kind: 'recordNotSent', requestId: copy.requestId, epoch: copy.epoch, attempt,
		});
	}

	/** Charges the content with the death of a back end that ran it. */
	async chargeContent({id, incarnation}: BackendServer): Promise<void> {
		const {copy, proposals} = this.#options;
		await proposals.propose({
			kind: 'chargeFingerprint', fingerprint: copy.fingerprint, backend: id, incarnation,
		});
	}
}

/**
Gives the failure of an intent that the control group refuses because the content may kill back ends. Other failures are thrown.

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
