/**
 * The replicated state of a deployment: its configuration, the holder of the duties, the usage, the fleet orders, the roll-outs and the back ends that
 * departed.
 */
import type {AccountRecord, ChainHead} from '@mulberrypitch/account/types';
import {emptyHead} from '@mulberrypitch/account/chain';
import type {
	Applied, CommandResult, ProposedCommand, StateMachine,
} from '@mulberrypitch/control/types';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {Rollout} from '@mulberrypitch/serving/rollout-messages';
import type {Incarnation, StoredConfiguration, UsageCount} from '@mulberrypitch/serving/view-messages';
import type {LogEntry} from '@mulberrypitch/storage/types';
import {DepartureTable} from './departure-table.js';
import {RolloutTable, type RolloutCommand} from './rollout-table.js';

/** Stores a configuration. It has no effect unless its version is higher than that of the stored one. */
export type PutConfiguration = ProposedCommand & {
	readonly kind: 'putConfiguration';
	readonly version: number;
	readonly document: string;
};

/** Makes a coordinator the holder of all duties. */
export type TakeDuties = ProposedCommand & {
	readonly kind: 'takeDuties';
	readonly holder: string;
};

/** Fixes the usage of one window. Only the first command for a window has an effect. */
export type RecordUsage = ProposedCommand & {
	readonly kind: 'recordUsage';
	readonly window: number;
	readonly counts: Readonly<Record<string, number>>;
};

/** Counts of one window by incarnation of an entry, then by workspace. */
export type EntryUsage = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Saves the counts of entries so far, so that they survive a failure of the entries and of all coordinators. */
export type CheckpointUsage = ProposedCommand & {
	readonly kind: 'noteUsage';
	readonly window: number;
	/** Counts by incarnation of an entry; they replace earlier ones of the same incarnations. */
	readonly entries: EntryUsage;
};

/** An order for a number of back ends that was sent or is about to be sent. */
export type FleetOrder = {
	readonly service: string;
	readonly zone: string;
	readonly isSpot: boolean;
	/** Total number of back ends to have, not a difference. */
	readonly desired: number;
};

/** Records an order before it is sent. */
export type RecordOrder = ProposedCommand & {
	readonly kind: 'recordOrder';
	readonly order: FleetOrder;
};

/** Records that an incarnation of a back end leaves, before this is acknowledged. */
export type RecordDeparture = ProposedCommand & Incarnation & {
	readonly kind: 'recordDeparture';
};

/** Marks the start of a leader's term. It has no effect on this state. */
export type LeaderStart = ProposedCommand & {
	readonly kind: 'leaderStarted';
};

/** A command that this state machine applies. */
export type ServingCommand = PutConfiguration | TakeDuties | CheckpointUsage | RecordUsage | RecordOrder | RecordDeparture | RolloutCommand | LeaderStart;

/** The holder of all duties. */
export type DutyHolder = {
	readonly holder: string;
	/** Fencing token, which increases each time the holder changes. */
	readonly token: number;
};

/** Saved counts of one window. */
type UsageCheckpoint = {
	readonly window: number;
	readonly entries: EntryUsage;
};

/** The state as it is stored in a snapshot. */
type StateSnapshot = {
	readonly configuration?: StoredConfiguration;
	readonly duties?: DutyHolder;
	readonly usage: readonly UsageCount[];
	readonly notes: readonly UsageCheckpoint[];
	readonly orders: readonly FleetOrder[];
	/** Absent from a snapshot of an earlier version. */
	readonly rollouts?: readonly Rollout[];
	/** Absent from a snapshot of an earlier version. */
	readonly departures?: readonly Incarnation[];
};

/** Functions that are called when a part of the state has changed. */
type StateListeners = {
	readonly onConfiguration: (configuration: StoredConfiguration) => void;
	readonly onDuties: (duties: DutyHolder) => void;
	readonly onRollouts?: () => void;
	readonly onDeparture?: (incarnation: Incarnation) => void;
};

/** Number of windows whose fixed usage is kept. */
const maxReportedWindows = 16;
/** Number of windows whose saved counts are kept until they are reported. */
const maxCheckpoints = 5;

/** The state machine that applies the replicated log of a deployment. */
export class ServingState implements StateMachine {
	/** Head of the audit log; it never changes, because this state writes no audit records. */
	readonly head: ChainHead = emptyHead;
	/** The last roll-out of each service. */
	readonly rollouts: RolloutTable;
	/** The back ends that departed. */
	readonly departures: DepartureTable;
	readonly #onConfiguration: (configuration: StoredConfiguration) => void;
	readonly #onDuties: (duties: DutyHolder) => void;
	readonly #orders = new Map<string, FleetOrder>();
	#configuration: StoredConfiguration | undefined;
	#duties: DutyHolder | undefined;
	#usage: UsageCount[] = [];
	#checkpoints: readonly UsageCheckpoint[] = [];

	constructor(listeners: StateListeners) {
		this.#onConfiguration = listeners.onConfiguration;
		this.#onDuties = listeners.onDuties;
		this.rollouts = new RolloutTable(() => listeners.onRollouts?.());
		this.departures = new DepartureTable(incarnation => listeners.onDeparture?.(incarnation));
	}

	/** The committed configuration with the highest version. */
	get configuration(): StoredConfiguration | undefined {
		return this.#configuration;
	}

	/** The current holder of the duties. */
	get duties(): DutyHolder | undefined {
		return this.#duties;
	}

	/** The fixed usage of the last windows, in the order in which they were recorded. */
	get usage(): readonly UsageCount[] {
		return this.#usage;
	}

	/** The last order for each service, zone and kind of back end. */
	get orders(): readonly FleetOrder[] {
		return [...this.#orders.values()];
	}

	/** Returns the last saved counts of a window by incarnation of an entry. */
	getCheckpoint(window: number): EntryUsage {
		return this.#checkpoints.find(checkpoint => checkpoint.window === window)?.entries ?? {};
	}

	/** Applies a committed log entry and returns its result. A command of a later version has no effect and no result. */
	apply({index, command}: LogEntry): Applied {
		const records: readonly AccountRecord[] = [];
		return {result: this.#applyCommand(assumeType<ServingCommand>(command), index), records};
	}

	/** Returns the state for a snapshot. */
	capture(): StateSnapshot {
		return {
			...(this.#configuration !== undefined && {configuration: this.#configuration}),
			...(this.#duties !== undefined && {duties: this.#duties}),
			usage: this.#usage,
			notes: this.#checkpoints,
			orders: this.orders,
			rollouts: this.rollouts.list(),
			departures: this.departures.list(),
		};
	}

	/** Replaces the state by that of a snapshot. */
	restore(state: unknown): void {
		const {
			configuration, duties, usage, notes, orders, rollouts = [], departures = [],
		} = assumeType<StateSnapshot>(state);
		this.#usage = [...usage];
		this.#checkpoints = notes;
		this.#orders.clear();
		for (const order of orders) {
			this.#orders.set(getOrderKey(order), order);
		}

		this.rollouts.restore(rollouts);
		this.departures.restore(departures);
		this.#setDuties(duties);
		if (configuration !== undefined) {
			this.#setConfiguration(configuration);
		}
	}

	#applyCommand(command: ServingCommand, index: number): CommandResult {
		switch (command.kind) {
			case 'putConfiguration': {
				this.#setConfiguration({version: command.version, document: command.document});
				return {value: this.#configuration!.version};
			}

			case 'takeDuties': {
				if (this.#duties?.holder !== command.holder) {
					this.#setDuties({holder: command.holder, token: index});
				}

				return {value: this.#duties!.token};
			}

			case 'noteUsage': {
				this.#checkpointUsage({window: command.window, entries: command.entries});
				return {};
			}

			case 'recordUsage': {
				return {value: this.#recordUsage({window: command.window, counts: command.counts})};
			}

			case 'recordOrder': {
				this.#orders.set(getOrderKey(command.order), command.order);
				return {};
			}

			case 'recordDeparture': {
				this.departures.add({backend: command.backend, startedAt: command.startedAt});
				return {};
			}

			case 'startRollout':
			case 'advanceRollout': {
				return this.rollouts.apply(command, index);
			}

			case 'leaderStarted': {
				return {};
			}
		}
	}

	#setConfiguration(configuration: StoredConfiguration): void {
		if (configuration.version <= (this.#configuration?.version ?? 0)) {
			return;
		}

		this.#configuration = configuration;
		this.#onConfiguration(configuration);
	}

	#setDuties(duties: DutyHolder | undefined): void {
		this.#duties = duties;
		if (duties !== undefined) {
			this.#onDuties(duties);
		}
	}

	#checkpointUsage({window, entries}: UsageCheckpoint): void {
		const known = this.getCheckpoint(window);
		const others = this.#checkpoints.filter(checkpoint => checkpoint.window !== window);
		this.#checkpoints = [...others, {window, entries: {...known, ...entries}}].slice(-maxCheckpoints);
	}

	#recordUsage(usage: UsageCount): UsageCount {
		const known = this.#usage.find(({window}) => window === usage.window);
		if (known !== undefined) {
			return known;
		}

		this.#usage = [...this.#usage, usage].slice(-maxReportedWindows);
		return usage;
	}
}

/**
Returns the key of an order: an order replaces the previous one for the same service, zone and kind of back end.

@example
```
const key = getOrderKey(order);
```
*/
export function getOrderKey({service, zone, isSpot}: Omit<FleetOrder, 'desired'>): string {
	return `${service} ${zone} ${isSpot}`;
}
