/** An entry that reports on roll-outs, for tests. */
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import {rolloutStates, type Rollout, type RolloutEvidence} from '@mulberrypitch/serving/rollout-messages';
import {methods, type EntryStatus, type ViewReply} from '@mulberrypitch/serving/view-messages';
import type {CoordinatorGroup} from './coordinator-group.js';

const timeoutMs = 1500;

/** What an entry reports beside the defaults. */
export type Report = Partial<Pick<RolloutEvidence, 'requests' | 'othersRunning' | 'routes'>>;

/** How an entry differs from the default. */
export type EntryOptions = {
	readonly name?: string;
	readonly incarnation?: string;
	/** Time in milliseconds between two polls. */
	readonly intervalMs?: number;
	/** Time in milliseconds for which a poll waits for changes. */
	readonly waitMs?: number;
};

/** Polls the coordinators one after the other, and acts on the newest roll-outs that it was told of. */
export class ReportingEntry {
	/** What it reports of each roll-out. */
	report: Report = {};
	/** Revision that it reports in place of the one that it was told. */
	fixedRevision: number | undefined;
	isReady = true;
	/** The roll-outs that it was told, with the times in milliseconds. */
	readonly told: Array<{readonly at: number; readonly askedAt: number; readonly isCurrent: boolean | undefined; readonly rollouts: readonly Rollout[]}> = [];
	readonly #group: CoordinatorGroup;
	readonly #name: string;
	readonly #incarnation: string;
	readonly #task: BackgroundTask;
	readonly #startedAt: number;
	#polls = 0;

	constructor(group: CoordinatorGroup, coordinators: readonly string[], {
		name = 'front', incarnation = 'x', intervalMs = 20, waitMs = 100,
	}: EntryOptions = {}) {
		this.#group = group;
		this.#name = name;
		this.#incarnation = incarnation;
		this.#startedAt = group.clock.now();
		const transport = group.network.join(name);
		this.#task = new BackgroundTask(async signal => {
			while (!signal.aborted) {
				const to = coordinators[this.#polls % coordinators.length]!;
				this.#polls += 1;
				try {
					const request = {
						status: this.#createStatus(), configurationVersion: 1, rosterEpoch: '', rosterVersion: 0, waitMs,
					};
					const askedAt = group.clock.now();
					const {rollouts = [], isCurrent} = await transport.call<ViewReply>(to, methods.watch, request, {timeoutMs});
					this.told.push({
						at: group.clock.now(), askedAt, isCurrent, rollouts,
					});
				} catch {
					// The next poll asks another coordinator.
				}

				await group.clock.sleep(intervalMs, signal);
			}
		}, error => {
			throw error;
		});
	}

	/** Ends the process of the entry. */
	stop(): void {
		this.#task.abort();
	}

	#createStatus(): EntryStatus {
		const running = (this.told.at(-1)?.rollouts ?? []).filter(({state}) => state === rolloutStates.running);
		return {
			name: this.#name,
			incarnation: this.#incarnation,
			upMs: this.#group.clock.now() - this.#startedAt,
			address: '10.0.0.9:80',
			zone: 'z',
			isReady: this.isReady,
			loads: {},
			pressure: {},
			spent: {},
			usage: [],
			crashes: {charges: [], answered: [], quarantined: []},
			rollouts: running.map(({id, revision}) => ({
				rollout: id, revision: this.fixedRevision ?? revision, requests: 0, othersRunning: 0, routes: [], ...this.report,
			})),
		};
	}
}
