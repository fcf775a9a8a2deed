/**
 * Advances the roll-outs while this coordinator leads. It does not wait for the lease of the other duties: a command of a former leader has no
 * effect on a roll-out that has another revision.
 */
import type {CommandResult} from '@mulberrypitch/control/types';
import {codes} from '@mulberrypitch/errors/catalogue';
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {BackendRoster} from '@mulberrypitch/serving/backend-roster';
import {
	rolloutStates, type Rollout, type RolloutDecision, type RolloutLimits, type RolloutObservation,
} from '@mulberrypitch/serving/rollout-messages';
import type {EntryStatus} from '@mulberrypitch/serving/view-messages';
import type {EntryDirectory} from './entry-directory.js';
import {sumRoutes} from './rollout-evidence.js';
import {confirmTimeoutMs, type RolloutLog} from './rollout-orders.js';
import {repeatMs, type AdvanceRollout, type RolloutTable} from './rollout-table.js';
import type {RolloutTracker} from './rollout-tracker.js';

/** Decides on the next step of a roll-out. */
export type RolloutDecider = (observation: RolloutObservation, limits: RolloutLimits) => RolloutDecision;

/** The limits of the roll-outs of a deployment, and what decides on them. */
export type RolloutConduct = {
	readonly limits: RolloutLimits;
	readonly decide: RolloutDecider;
};

/** Dependencies of the duty. */
export type RolloutDutyOptions = RolloutConduct & {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly log: RolloutLog;
	readonly table: RolloutTable;
	readonly tracker: RolloutTracker;
	readonly directory: EntryDirectory;
	readonly roster: BackendRoster;
};

const stepIntervalMs = 100;
/** Least difference in milliseconds between the measured elapsed time and the committed one at which the measured one is committed. */
const checkpointMs = 900;
/** Time in milliseconds before the deadline from which on a roll-out is completed although requests still run at old back ends. */
const completionReserveMs = 1500;
/**
Time in milliseconds for which an entry that has stopped reporting still counts. It may be cut off and still send requests to old back
ends; a killed one must not hold up the completion for long.
*/
const silentEntryMs = 5000;

/** Observes and advances the running roll-outs, one after another. */
export class RolloutDuty implements Resource {
	readonly #options: RolloutDutyOptions;
	readonly #resources = new DisposableStore();

	constructor(options: RolloutDutyOptions) {
		this.#options = options;
	}

	/** Starts the steps in the background. */
	start(): void {
		this.#resources.add(new BackgroundTask(async signal => this.#run(signal), error => {
			this.#options.logger.log(events.taskFailed, {task: 'roll-outs', reason: getMessage(error)});
		}));
	}

	async dispose(): Promise<void> {
		await this.#resources.dispose();
	}

	async #run(signal: AbortSignal): Promise<void> {
		const {clock, log, table} = this.#options;
		while (!signal.aborted) {
			if (log.hasLease()) {
				for (const rollout of table.list()) {
					await this.#step(rollout);
				}
			}

			await clock.sleep(stepIntervalMs, signal);
		}
	}

	async #step(rollout: Rollout): Promise<void> {
		try {
			await (rollout.state === rolloutStates.running ? this.#advance(rollout) : this.#endRepeats(rollout));
		} catch (error) {
			// The next step of this leader, or of the next one, repeats what is still due.
			this.#options.logger.log(events.dutyPostponed, {
				service: rollout.service, rollout: rollout.id, code: error instanceof CodedError ? error.code : codes.internal, reason: getMessage(error),
			});
		}
	}

	async #advance(rollout: Rollout): Promise<void> {
		const {tracker} = this.#options;
		const observation = this.#observe(rollout);
		const next = this.#deriveNext(rollout, observation);
		if (next !== undefined) {
			const isInEffect = await this.#commit({...next, elapsedMs: tracker.getElapsed(rollout), revision: rollout.revision + 1}, rollout.revision);
			if (isInEffect) {
				this.#logChange(next, rollout, observation);
			}
		} else if (observation.elapsedMs - rollout.elapsedMs >= checkpointMs) {
			await this.#commit({...rollout, elapsedMs: observation.elapsedMs}, rollout.revision);
		}
	}

	/** Commits that an order equal to that of a roll-out which has ended is no repeat any more. */
	async #endRepeats(rollout: Rollout): Promise<void> {
		const elapsedMs = this.#options.tracker.getElapsed(rollout);
		if (rollout.elapsedMs < repeatMs && elapsedMs >= repeatMs) {
			await this.#commit({...rollout, elapsedMs}, rollout.revision);
		}
	}

	/** Returns the roll-out after the step that is due, or `undefined` if none is. */
	#deriveNext(rollout: Rollout, observation: RolloutObservation): Rollout | undefined {
		const {decide, limits} = this.#options;
		if (observation.elapsedMs >= rollout.durationMs) {
			return rollBack(rollout, 'The deadline passed before the roll-out was completed.');
		}

		const decision = decide(observation, limits);
		switch (decision.kind) {
			case 'hold': {
				return undefined;
			}

			case 'setShare': {
				const isNew = decision.share >= 0 && decision.share <= 1 && decision.share !== rollout.share;
				return isNew ? {...rollout, share: decision.share, reason: decision.reason} : undefined;
			}

			case 'complete': {
				const completed = {
					...rollout, state: rolloutStates.completed, share: 1, reason: decision.reason,
				};
				return canComplete(observation) ? completed : undefined;
			}

			case 'rollBack': {
				return rollBack(rollout, decision.reason);
			}
		}
	}

	#observe(rollout: Rollout): RolloutObservation {
		const {directory, roster, tracker} = this.#options;
		const {id, service, target, durationMs, share, revision} = rollout;
		const serving = roster.getServing().filter(backend => backend.service === service);
		const targetBackends = serving.filter(({version}) => version === target).length;
		const statuses = directory.getLastStatuses(silentEntryMs);
		const ready = statuses.filter(({isReady}) => isReady);
		const {requests, routes, losses} = directory.rolloutEvidence.sum(id);
		const {shareAgeMs, routesBefore, lossesBefore} = tracker.getShareHistory(rollout);
		const evidenceOf = (status: EntryStatus) => directory.rolloutEvidence.get(status, id);
		return {
			durationMs,
			elapsedMs: tracker.getElapsed(rollout),
			share,
			shareAgeMs,
			requests,
			routes,
			routesBefore,
			hasLostEvidence: losses > lossesBefore,
			othersRunning: statuses.reduce((sum, status) => sum + (evidenceOf(status)?.othersRunning ?? 0), 0),
			isAppliedEverywhere: tracker.hasHeardEntries && ready.length > 0 && ready.every(status => evidenceOf(status)?.revision === revision),
			targetBackends,
			otherBackends: serving.length - targetBackends,
		};
	}

	/** Commits a roll-out in place of a revision, and resolves with whether it took effect. */
	async #commit(rollout: Rollout, fromRevision: number): Promise<boolean> {
		const {log} = this.#options;
		const command: AdvanceRollout = {kind: 'advanceRollout', rollout, fromRevision};
		await log.confirmLeadership(confirmTimeoutMs);
		const {value}: CommandResult = await log.propose(command);
		return value === true;
	}

	#logChange(next: Rollout, {share: earlierShare}: Rollout, observation: RolloutObservation): void {
		const {elapsedMs, requests, routes, othersRunning, targetBackends, otherBackends} = observation;
		const target = sumRoutes(routes, 'target');
		const others = sumRoutes(routes, 'others');
		const changes = {
			[rolloutStates.running]: events.rolloutShareChanged,
			[rolloutStates.completed]: events.rolloutCompleted,
			[rolloutStates.rolledBack]: events.rolloutRolledBack,
		};
		this.#options.logger.log(changes[next.state], {
			service: next.service,
			target: next.target,
			rollout: next.id,
			reason: next.reason,
			share: next.share,
			earlierShare,
			elapsedMs: Math.round(elapsedMs),
			requests,
			targetSent: target.sent,
			targetFailed: target.failed,
			othersSent: others.sent,
			othersFailed: others.failed,
			othersRunning,
			targetBackends,
			otherBackends,
			routes: routes.map(route => `${route.route}:${route.target.failed}/${route.target.sent},${route.others.failed}/${route.others.sent}`).join(' '),
		});
	}
}

function rollBack(rollout: Rollout, reason: string): Rollout {
	return {
		...rollout, state: rolloutStates.rolledBack, share: 0, reason,
	};
}

/** The old back ends stop at once when a roll-out is completed, so nothing may run there, unless the deadline leaves no more time. */
function canComplete({durationMs, elapsedMs, share, isAppliedEverywhere, othersRunning}: RolloutObservation): boolean {
	return elapsedMs >= durationMs - completionReserveMs || (share === 1 && isAppliedEverywhere && othersRunning === 0);
}
