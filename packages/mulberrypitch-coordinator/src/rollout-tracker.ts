/** Measures on the monotonic clock how old each roll-out and its share are, also while this coordinator does not lead. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {rolloutStates, type Rollout, type RouteEvidence} from '@mulberrypitch/serving/rollout-messages';
import type {RolloutEvidenceStore} from './rollout-evidence.js';

/** What is measured of one roll-out. */
type Measurement = {
	readonly id: number;
	readonly revision: number;
	/** Time since the order in milliseconds at the monotonic time `measuredAt`. */
	readonly elapsedMs: number;
	readonly measuredAt: number;
	/** Monotonic time in milliseconds at which the present share was learned of. */
	readonly shareSince: number;
	/** Sums over all entries at that time. */
	readonly routesBefore: readonly RouteEvidence[];
	/** Number of reports with smaller sums up to that time. */
	readonly lossesBefore: number;
};

/** The age of a share, and what was known when it came into force. */
export type ShareHistory = {
	readonly shareAgeMs: number;
	readonly routesBefore: readonly RouteEvidence[];
	readonly lossesBefore: number;
};

/**
Time in milliseconds after its start for which a coordinator may not have heard of all entries: the time after which a silent entry is no
longer offered to callers.
*/
const learningMs = 1500;

/** Follows the table of roll-outs. */
export class RolloutTracker {
	readonly #clock: Clock;
	readonly #evidence: RolloutEvidenceStore;
	readonly #startedAt: number;
	readonly #measurements = new Map<string, Measurement>();

	constructor(clock: Clock, evidence: RolloutEvidenceStore) {
		this.#clock = clock;
		this.#evidence = evidence;
		this.#startedAt = clock.now();
	}

	/** Whether this coordinator has run long enough to have heard of all entries. */
	get hasHeardEntries(): boolean {
		return this.#clock.now() - this.#startedAt >= learningMs;
	}

	/**
	Takes over the table after a change, and returns whether it has another revision. A change that only commits a lower elapsed time
	than the measured one has no effect, so that the time never goes back.
	*/
	update(rollouts: readonly Rollout[]): boolean {
		let hasChanged = this.#measurements.size !== rollouts.length;
		for (const rollout of rollouts) {
			const known = this.#measurements.get(rollout.service);
			const isSame = known?.id === rollout.id && known.revision === rollout.revision;
			hasChanged ||= !isSame;
			const now = this.#clock.now();
			this.#measurements.set(rollout.service, {
				id: rollout.id,
				revision: rollout.revision,
				elapsedMs: Math.max(rollout.elapsedMs, known?.id === rollout.id ? getElapsed(known, now) : 0),
				measuredAt: now,
				...(isSame ? {shareSince: known.shareSince, routesBefore: known.routesBefore, lossesBefore: known.lossesBefore} : {shareSince: now, ...this.#capture(rollout.id)}),
			});
		}

		for (const service of this.#measurements.keys()) {
			if (!rollouts.some(rollout => rollout.service === service)) {
				this.#measurements.delete(service);
			}
		}

		const running = new Set(rollouts.filter(({state}) => state === rolloutStates.running).map(({id}) => id));
		const newest = Math.max(0, ...rollouts.map(({id}) => id));
		// Entries may report on a later roll-out before this coordinator applies its order.
		this.#evidence.retain(id => running.has(id) || id > newest);
		return hasChanged;
	}

	/** Returns the time in milliseconds since the order. */
	getElapsed({service, elapsedMs}: Rollout): number {
		const known = this.#measurements.get(service);
		return known === undefined ? elapsedMs : getElapsed(known, this.#clock.now());
	}

	/** Takes over the elapsed time that another coordinator measured, if it is higher. */
	raiseElapsed(id: number, elapsedMs: number): void {
		const now = this.#clock.now();
		for (const [service, known] of this.#measurements) {
			if (known.id === id && elapsedMs > getElapsed(known, now)) {
				this.#measurements.set(service, {...known, elapsedMs, measuredAt: now});
			}
		}
	}

	/**
	Returns the history of the present share. A coordinator that has just started does not know what entries observed before the share came
	into force; none of it then counts as observed at the share until all entries have been heard.
	*/
	getShareHistory({service, id}: Rollout): ShareHistory {
		const known = this.#measurements.get(service);
		if (known === undefined || !this.hasHeardEntries) {
			return {shareAgeMs: 0, ...this.#capture(id)};
		}

		const heardAt = this.#startedAt + learningMs;
		if (known.shareSince < heardAt) {
			// The first call after all entries have been heard fixes what was known by then.
			const fixed = {...known, shareSince: this.#clock.now(), ...this.#capture(id)};
			this.#measurements.set(service, fixed);
			return {shareAgeMs: 0, routesBefore: fixed.routesBefore, lossesBefore: fixed.lossesBefore};
		}

		return {shareAgeMs: this.#clock.now() - known.shareSince, routesBefore: known.routesBefore, lossesBefore: known.lossesBefore};
	}

	#capture(rollout: number): Pick<Measurement, 'routesBefore' | 'lossesBefore'> {
		const {routes, losses} = this.#evidence.sum(rollout);
		return {routesBefore: routes, lossesBefore: losses};
	}
}

function getElapsed({elapsedMs, measuredAt}: Measurement, now: number): number {
	return elapsedMs + now - measuredAt;
}
