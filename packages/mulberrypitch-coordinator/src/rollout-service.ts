/** The roll-outs at one coordinator: orders and reads, what entries are told, and the duty of the leader. */
import type {Notification} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import type {BackendRoster} from '@mulberrypitch/serving/backend-roster';
import {rolloutStates} from '@mulberrypitch/serving/rollout-messages';
import type {RolloutAge} from '@mulberrypitch/serving/view-messages';
import type {EntryDirectory} from './entry-directory.js';
import {RolloutDuty, type RolloutConduct} from './rollout-duty.js';
import {RolloutFeed} from './rollout-feed.js';
import {RolloutOrders, type RolloutOrdersOptions} from './rollout-orders.js';
import {RolloutTracker} from './rollout-tracker.js';

/** Dependencies of the roll-outs. */
export type RolloutServiceOptions = Omit<RolloutOrdersOptions, 'isEnabled'> & {
	readonly clock: Clock;
	readonly metrics: MetricsRegistry;
	readonly directory: EntryDirectory;
	readonly roster: BackendRoster;
	/** Notified when entries have to be told of a change. */
	readonly changes: Notification;
	/** Absent if the deployment has no roll-outs: orders and reads then fail, and no duty runs. */
	readonly conduct: RolloutConduct | undefined;
};

/** Values of the gauge of the state. */
const stateNumbers = {[rolloutStates.running]: 0, [rolloutStates.completed]: 1, [rolloutStates.rolledBack]: 2};

/** Follows the table of roll-outs, from `start` until `dispose`. */
export class RolloutService implements Resource {
	readonly orders: RolloutOrders;
	/** What entries are told. */
	readonly feed: RolloutFeed;
	readonly #options: RolloutServiceOptions;
	readonly #resources = new DisposableStore();
	readonly #tracker: RolloutTracker;

	constructor(options: RolloutServiceOptions) {
		const {clock, directory, table, conduct} = options;
		this.#options = options;
		this.orders = new RolloutOrders({...options, isEnabled: conduct !== undefined});
		this.feed = new RolloutFeed(() => table.list());
		this.#tracker = new RolloutTracker(clock, directory.rolloutEvidence);
	}

	/** Times since the orders of the running roll-outs, as measured here, for the other coordinators. */
	get ages(): readonly RolloutAge[] {
		const running = this.#options.table.list().filter(({state}) => state === rolloutStates.running);
		return running.map(rollout => ({rollout: rollout.id, elapsedMs: this.#tracker.getElapsed(rollout)}));
	}

	/** Registers the call handlers, and starts the duty if the deployment has roll-outs. */
	start(): void {
		const {conduct} = this.#options;
		this.orders.register();
		if (conduct !== undefined) {
			const duty = this.#resources.add(new RolloutDuty({...this.#options, ...conduct, tracker: this.#tracker}));
			duty.start();
		}
	}

	/** Takes over the times that another coordinator measured. */
	mergeAges(ages: readonly RolloutAge[]): void {
		for (const {rollout, elapsedMs} of ages) {
			this.#tracker.raiseElapsed(rollout, elapsedMs);
		}
	}

	/** Takes over the table after a change, and wakes the entries that wait for changes unless only elapsed times were committed. */
	update(): void {
		const {table, metrics, changes} = this.#options;
		if (!this.#tracker.update(table.list())) {
			return;
		}

		for (const {service} of table.list()) {
			const getState = () => table.get(service)?.state ?? rolloutStates.running;
			metrics.gauge('mulberrypitch_coordinator_rollout_share', 'Part of the requests for a service that go to the target of its last roll-out.', () => table.get(service)?.share ?? 0, {service});
			metrics.gauge('mulberrypitch_coordinator_rollout_state', 'State of the last roll-out of a service: 0 running, 1 completed, 2 rolled back.', () => stateNumbers[getState()], {service});
		}

		this.feed.noteChange();
		changes.notify();
	}

	async dispose(): Promise<void> {
		await this.#resources.dispose();
	}
}
