/** Commits the departures that a coordinator learned from the responses of back ends, and that no notice asked it to acknowledge. */
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {Incarnation} from '@mulberrypitch/serving/view-messages';

/** Dependencies of the recorder. */
export type DepartureRecorderOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** Reports whether this coordinator leads; the others leave it to the leader, which hears of the same leaves. */
	readonly isLeader: () => boolean;
	/** Returns the incarnations that leave, as this coordinator knows. */
	readonly getLeaving: () => readonly Incarnation[];
	/** Resolves once a departure is committed; at once for one that is. */
	readonly record: (departure: Incarnation) => Promise<void>;
};

const intervalMs = 500;

/** Commits, at an interval, the departures that are not in the log yet. */
export class DepartureRecorder implements Resource {
	readonly #options: DepartureRecorderOptions;
	readonly #resources = new DisposableStore();

	constructor(options: DepartureRecorderOptions) {
		this.#options = options;
	}

	/** Starts to record in the background. */
	start(): void {
		this.#resources.add(new BackgroundTask(async signal => this.#run(signal), error => {
			this.#options.logger.log(events.taskFailed, {task: 'departures', reason: getMessage(error)});
		}));
	}

	async dispose(): Promise<void> {
		await this.#resources.dispose();
	}

	async #run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#options.clock.sleep(intervalMs, signal);
			if (!signal.aborted && this.#options.isLeader()) {
				await this.#recordAll();
			}
		}
	}

	async #recordAll(): Promise<void> {
		const {getLeaving, record} = this.#options;
		try {
			await Promise.all(getLeaving().map(async departure => record(departure)));
		} catch (error) {
			// What could not be committed is tried again in the next round, by the leader of that time.
			if (!(error instanceof CodedError)) {
				throw error;
			}
		}
	}
}
