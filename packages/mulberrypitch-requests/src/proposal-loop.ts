/** Commits the commands of one request, and retries for as long as the control group can't be reached. */
import {codes, StaleEpochError} from '@mulberrypitch/errors/catalogue';
import {hasCode} from '@mulberrypitch/errors/coded-error';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Command, CommandOf} from '@mulberrypitch/control/commands';
import type {CommandValue} from '@mulberrypitch/control/command-value';
import type {StandbyLinkContext} from './standby-link.js';

/** Delay before a command is proposed again, in milliseconds. */
const proposalRetryMs = 200;
/** Errors after which it is unknown whether a command was committed. The command is proposed again, because another leader may reply. */
const retriedCodes = [codes.timeout, codes.notLeader, codes.peerUnreachable, codes.protocol, codes.storage, codes.internal];

/** Dependencies of a `ProposalLoop`. */
export type ProposalLoopOptions = {
	readonly requestId: string;
	readonly control: StandbyLinkContext['control'];
	readonly clock: Clock;
	/** Aborts when this host abandons the request. */
	readonly signal: AbortSignal;
};

/**
Proposes each command to the control group until the group commits or refuses it.

@example
```
const loop = new ProposalLoop({requestId, control, clock, signal});
await loop.propose(command);
```
*/
export class ProposalLoop {
	readonly #options: ProposalLoopOptions;

	constructor(options: ProposalLoopOptions) {
		this.#options = options;
	}

	/** Returns the value of the committed command. Throws the error with which the group refuses it, or `StaleEpochError` when the request is abandoned meanwhile. */
	async propose<Kind extends Command['kind']>(command: CommandOf<Kind>): Promise<CommandValue<Kind>> {
		const {control, clock, signal, requestId} = this.#options;
		while (true) {
			try {
				return await control.propose(command);
			} catch (error) {
				if (!retriedCodes.some(code => hasCode(error, code))) {
					throw error;
				}
			}

			await clock.sleep(proposalRetryMs, signal);
			if (signal.aborted) {
				throw new StaleEpochError(`Request ${requestId} was abandoned by this host.`);
			}
		}
	}
}
