/** Runs the duties, which one coordinator holds at a time, and confirms before each action that it still holds them. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {codes} from '@mulberrypitch/errors/catalogue';
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {ProposedCommand} from '@mulberrypitch/control/types';
import type {DutyHolder, ServingState} from './serving-state.js';

/** The holder and its fencing token, which are sent with each action so that the receiver can reject a former holder. */
export type FencingStamp = DutyHolder & {
	/**
	Reports whether the confirmation is recent, counting time for which the machine was suspended. Must be asked when the action's bytes are
	written: connecting takes time, and another coordinator may have acted during a suspension.
	*/
	isCurrent(): boolean;
};

/** The operations that a duty may use while this coordinator holds the duties. */
export type DutyContext = {
	/** Commits a command. Throws when the command may not have been committed. */
	propose(command: ProposedCommand): Promise<unknown>;
	/** Returns the stamp for one action, which must follow at once. Throws when this coordinator may have lost the duties. */
	confirm(): Promise<FencingStamp>;
};

/** A recurring job of the duty holder. */
export type Duty = {
	/** Does the work that is due and returns. */
	step(context: DutyContext): Promise<void>;
};

/** Dependencies and settings of a duty runner. */
export type DutyRunnerOptions = {
	/** Name of this coordinator as a holder of the duties. */
	readonly holder: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly state: ServingState;
	readonly duties: readonly Duty[];
	/** Reports whether this coordinator leads the replica group. */
	readonly isLeader: () => boolean;
	/** Commits a command. Throws when the command may not have been committed. */
	readonly propose: (command: ProposedCommand) => Promise<unknown>;
	/** Resolves once a quorum has confirmed that this coordinator leads; rejects otherwise. */
	readonly confirmLeadership: () => Promise<void>;
	/** Time in milliseconds within which a former holder must not act again after another one took the duties. */
	readonly leaseMs: number;
	/** Returns the time since boot in milliseconds, which also advances while the machine is suspended. */
	readonly getBootTime: () => number;
};

/** Interval between steps in milliseconds. */
const stepIntervalMs = 250;
/** Time in milliseconds for which actions of the previous holder may still be in flight. */
const inFlightActionMs = 800;
/** Safety margin beyond the lease in milliseconds. */
const leaseMarginMs = 500;
/** Maximum age in milliseconds of a leadership confirmation when the action is sent. */
const maxConfirmationAgeMs = 400;

/** Takes the duties when this coordinator leads and runs them one after another. */
export class DutyRunner implements Resource {
	readonly #options: DutyRunnerOptions;
	readonly #resources = new DisposableStore();
	/** Monotonic time in milliseconds at which another coordinator was last seen taking the duties. */
	#lostAt = Number.NEGATIVE_INFINITY;
	#lastHolder: DutyHolder | undefined;
	/** Monotonic time in milliseconds at which this coordinator last took the duties. */
	#takenAt = Number.NEGATIVE_INFINITY;

	constructor(options: DutyRunnerOptions) {
		this.#options = options;
	}

	/** Starts running the duties in the background. */
	start(): void {
		this.#resources.add(new BackgroundTask(async signal => this.#run(signal), error => {
			this.#options.logger.log(events.taskFailed, {task: 'duties', reason: getMessage(error)});
		}));
	}

	/** Records the current holder of the duties. */
	updateHolder(duties: DutyHolder): void {
		const {holder, clock, logger} = this.#options;
		if (this.#lastHolder?.token === duties.token) {
			return;
		}

		if (duties.holder === holder) {
			this.#takenAt = clock.now();
		} else {
			this.#lostAt = clock.now();
		}

		this.#lastHolder = duties;
		logger.log(events.dutiesTaken, {holder: duties.holder, token: duties.token});
	}

	async dispose(): Promise<void> {
		await this.#resources.dispose();
	}

	async #run(signal: AbortSignal): Promise<void> {
		const {clock, duties, isLeader} = this.#options;
		while (!signal.aborted) {
			if (isLeader()) {
				for (const duty of duties) {
					await this.#step(duty);
				}
			}

			await clock.sleep(stepIntervalMs, signal);
		}
	}

	async #step(duty: Duty): Promise<void> {
		const {holder, state, propose, logger} = this.#options;
		try {
			if (state.duties?.holder !== holder) {
				await propose({kind: 'takeDuties', holder});
			}

			if (this.#canAct()) {
				await duty.step({propose, confirm: async () => this.#confirm()});
			}
		} catch (error) {
			// This holder's next step, or the next holder, repeats the work that is still due.
			logger.log(events.dutyPostponed, {code: error instanceof CodedError ? error.code : codes.internal, reason: getMessage(error)});
		}
	}

	/**
	Reports whether this coordinator may act: actions of the previous holder can no longer be in flight, and the lease has expired
	since another coordinator was last seen taking the duties.
	*/
	#canAct(): boolean {
		const {clock, leaseMs} = this.#options;
		const now = clock.now();
		return now - this.#takenAt > inFlightActionMs && now - this.#lostAt > leaseMs + leaseMarginMs;
	}

	/** Confirms with a quorum that this coordinator leads and holds the duties, and returns the stamp of the next action. */
	async #confirm(): Promise<FencingStamp> {
		const {holder, state, confirmLeadership, getBootTime} = this.#options;
		const startedAt = getBootTime();
		await confirmLeadership();
		const {duties} = state;
		// If the machine was suspended during the confirmation, another coordinator may have taken the duties.
		if (duties?.holder !== holder || getBootTime() - startedAt > maxConfirmationAgeMs) {
			throw new CodedError('duty_lost', 'The duties may have passed to another coordinator.', 'Wait for its next step.');
		}

		return {...duties, isCurrent: () => getBootTime() - startedAt <= maxConfirmationAgeMs};
	}
}
