/** Commits the commands of one request, however long the control group can't be reached. */
import {codes, StaleEpochError} from '@mulberrypitch/errors/catalogue';
import {hasCode} from '@mulberrypitch/errors/coded-error';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Command, CommandOf} from '@mulberrypitch/control/commands';
import type {CommandValue} from '@mulberrypitch/control/command-value';
import type {StandbyLinkContext} from './standby-link.js';

const proposalRetryMs = 200;
/** Errors after which a command may or may not be committed, and is proposed again: the next leader may do better. */
const retriedCodes = [codes.timeout, codes.notLeader, codes.peerUnreachable, codes.protocol, codes.storage, codes.internal];

export type ProposalLoopOptions = {
	readonly requestId: string;
	readonly control: StandbyLinkContext['control'];
	readonly clock: Clock;
	/** Aborts when the request is given up here. */
	readonly signal: AbortSignal;
};

/** Proposes again until the group answers. */
export class ProposalLoop {
	readonly #options: ProposalLoopOptions;

	constructor(options: ProposalLoopOptions) {
		this.#options = options;
	}

	/** Resolves with the value of the committed command. Throws `StaleEpochError` when the request is given up meanwhile. */
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
				throw new StaleEpochError(`Request ${requestId} was given up here.`);
			}
		}
	}
}
