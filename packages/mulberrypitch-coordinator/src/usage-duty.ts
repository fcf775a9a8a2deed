/** Reports the usage of each time window. The counts are committed to the log first, so that every holder of the duties sends the same report. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {UsageCount} from '@mulberrypitch/serving/view-messages';
import type {CommandResult} from '@mulberrypitch/control/types';
import type {Duty, DutyContext, FencingStamp} from './duty-runner.js';
import type {EntryDirectory} from './entry-directory.js';
import type {ServingState} from './serving-state.js';

/** Sends one report to the platform and resolves with whether it was accepted. */
export type UsageSender = (usage: UsageCount, stamp: FencingStamp) => Promise<boolean>;

/** Dependencies and settings of the usage duty. */
export type UsageDutyOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly state: ServingState;
	readonly directory: EntryDirectory;
	/** Sends one report to the platform. */
	readonly report: UsageSender;
	/** Length of a window in milliseconds. */
	readonly windowMs: number;
	/** Time in milliseconds after the end of a window by which its report is due. */
	readonly lateMs: number;
};

/** Fraction of `lateMs` for which the duty waits for the counts of entries before it reports a window. */
const settleFraction = 0.45;

/** Minimum interval between two checkpoints of the counts, in milliseconds. */
const checkpointIntervalMs = 900;

/** Reports each window once entries have had time to send their counts. */
export class UsageDuty implements Duty {
	readonly #options: UsageDutyOptions;
	/** Windows whose reports the platform accepted. */
	readonly #sent = new Set<number>();
	/** Monotonic time in milliseconds of the last checkpoint. */
	#checkpointedAt = Number.NEGATIVE_INFINITY;

	constructor(options: UsageDutyOptions) {
		this.#options = options;
	}

	/** Checkpoints the counts if it is time, and reports the windows that are due. */
	async step(context: DutyContext): Promise<void> {
		await this.#checkpointCounts(context);
		for (const window of this.#getDueWindows()) {
			await this.#report(window, context);
		}
	}

	/** Saves the counts of entries in the log, because all entries and coordinators may lose power at the same time. */
	async #checkpointCounts(context: DutyContext): Promise<void> {
		const {clock, windowMs, state, directory} = this.#options;
		if (clock.now() - this.#checkpointedAt < checkpointIntervalMs) {
			return;
		}

		this.#checkpointedAt = clock.now();
		const current = Math.floor(clock.wallTime() / windowMs);
		for (const window of [current - 1, current]) {
			const checkpoint = state.getCheckpoint(window);
			const entries = Object.fromEntries(Object.entries(directory.getUsage(window)).filter(([key, counts]) => sumCounts(counts) > sumCounts(checkpoint[key] ?? {})));
			if (Object.keys(entries).length > 0) {
				await context.propose({kind: 'noteUsage', window, entries});
			}
		}
	}

	/** Returns the counts of a window by workspace, from the larger of the reported and saved counts of each incarnation. */
	#sumUsage(window: number): Readonly<Record<string, number>> {
		const {state, directory} = this.#options;
		const reported = directory.getUsage(window);
		const checkpoint = state.getCheckpoint(window);
		const sums: Record<string, number> = {};
		for (const key of new Set([...Object.keys(reported), ...Object.keys(checkpoint)])) {
			const [first = {}, second = {}] = [reported[key], checkpoint[key]];
			for (const [workspace, count] of Object.entries(sumCounts(first) >= sumCounts(second) ? first : second)) {
				sums[workspace] = (sums[workspace] ?? 0) + count;
			}
		}

		return sums;
	}

	/**
	Returns the windows that this coordinator has not reported: from the newest one whose report is already due to the newest one
	whose counts have had time to arrive.
	*/
	#getDueWindows(): readonly number[] {
		const {clock, windowMs, lateMs} = this.#options;
		const settled = clock.wallTime() - (lateMs * settleFraction);
		const last = Math.floor(settled / windowMs) - 1;
		const first = Math.floor((clock.wallTime() - lateMs) / windowMs) - 1;
		const windows = [];
		for (let window = first; window <= last; window += 1) {
			if (!this.#sent.has(window)) {
				windows.push(window);
			}
		}

		return windows;
	}

	/** Reports one window, unless it has no usage. */
	async #report(window: number, context: DutyContext): Promise<void> {
		const {state, report, logger} = this.#options;
		let usage = state.usage.find(known => known.window === window);
		if (usage === undefined) {
			const counts = this.#sumUsage(window);
			if (Object.keys(counts).length === 0) {
				return;
			}

			const result = assumeType<CommandResult>(await context.propose({kind: 'recordUsage', window, counts}));
			usage = assumeType<UsageCount>(result.value);
		}

		const stamp = await context.confirm();
		const isTaken = await report(usage, stamp);
		if (isTaken) {
			this.#sent.add(window);
		}

		logger.log(events.usageReported, {
			window, isTaken, token: stamp.token, total: sumCounts(usage.counts),
		});
	}
}

function sumCounts(counts: Readonly<Record<string, number>>): number {
	return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
