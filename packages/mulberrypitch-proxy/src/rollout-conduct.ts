/**
 * Decides, by the last roll-out of each service, which software versions may be sent requests. It acts on a view only: a roll-out
 * whose view is old no longer sends requests to its target, since it may have been rolled back meanwhile.
 */
import {rolloutStates, type Rollout} from '@mulberrypitch/serving/rollout-messages';
import type {AnnouncedBackend} from '@mulberrypitch/serving/types';
import type {StreamOrigin} from '@mulberrypitch/serving/view-messages';

/** Age of the view in milliseconds beyond which no request goes to the target of a running roll-out. */
const maxViewAgeMs = 1500;

/** Dependencies of the conduct. */
export type RolloutConductOptions = {
	/** Returns the time in milliseconds, which counts the suspension of the process. */
	readonly now: () => number;
	/** Returns the serving back ends of all services. */
	readonly listServing: () => ReadonlyArray<Pick<AnnouncedBackend, 'service' | 'version'>>;
};

/** Where the roll-outs of a view come from. */
export type RolloutSource = {
	/** Whether the coordinator hears a leader. */
	readonly isInTouch: boolean;
	/** Time in milliseconds, by the same clock, at which the view was asked for. What it says may be as old as that. */
	readonly askedAt: number;
};

type KnownRollout = {
	readonly rollout: Rollout;
	/** Time in milliseconds at which a coordinator that hears a leader was asked for the newest view that holds the roll-out. */
	readonly confirmedAt: number;
};

/** Knows the last roll-out of each service. */
export class RolloutConduct {
	readonly #options: RolloutConductOptions;
	readonly #known = new Map<string, KnownRollout>();
	/** Versions of each service that were rolled back and that no later roll-out has named. */
	readonly #withdrawn = new Map<string, Set<string>>();

	constructor(options: RolloutConductOptions) {
		this.#options = options;
	}

	/**
	Applies the roll-outs of a view, and returns those that changed. Of each service the newest one stays: a coordinator may be
	behind, and one of an earlier version names none.
	*/
	apply(rollouts: readonly Rollout[], source: RolloutSource): readonly Rollout[] {
		return rollouts.filter(rollout => this.#applyOne(rollout, source));
	}

	/** Returns the last roll-out of a service, or `undefined` if none is known. */
	getRollout(service: string): Rollout | undefined {
		return this.#known.get(service)?.rollout;
	}

	/** Returns the last roll-out of each service that has had one. */
	list(): readonly Rollout[] {
		return [...this.#known.values()].map(({rollout}) => rollout);
	}

	/** Reports whether the view is too old for requests to go to the target of a service's running roll-out. */
	isHeld(service: string): boolean {
		const known = this.#known.get(service);
		if (known?.rollout.state !== rolloutStates.running) {
			return false;
		}

		const isWholeShare = known.rollout.share >= 1 && Number.isFinite(known.confirmedAt);
		return !isWholeShare && this.#options.now() - known.confirmedAt > maxViewAgeMs;
	}

	/** Reports whether a version was rolled back, so that it gets no request until a new roll-out names it. */
	isWithdrawn(service: string, version: string | undefined): boolean {
		return version !== undefined && this.#withdrawn.get(service)?.has(version) === true;
	}

	/** Reports whether a version of a service gets no request now: it was rolled back or replaced, or the view is too old to tell. */
	isClosed({service, version}: Partial<StreamOrigin> & Pick<StreamOrigin, 'service'>): boolean {
		const rollout = this.getRollout(service);
		if (rollout === undefined) {
			return false;
		}

		const {state, target} = rollout;
		if (state === rolloutStates.completed && version !== target) {
			return this.#options.listServing().some(backend => backend.service === service && backend.version === target);
		}

		return this.isWithdrawn(service, version) || (version === target && this.isHeld(service));
	}

	/** Applies one roll-out, unless a newer one is known. Returns whether anything changed. */
	#applyOne(rollout: Rollout, {isInTouch, askedAt}: RolloutSource): boolean {
		const {service, id, revision, target, state, withdrawn: earlier = []} = rollout;
		const known = this.#known.get(service);
		const isSame = known?.rollout.id === id;
		if (known !== undefined && (isSame ? revision < known.rollout.revision : id < known.rollout.id)) {
			return false;
		}

		const confirmedBefore = isSame ? known.confirmedAt : Number.NEGATIVE_INFINITY;
		const isChanged = !isSame || revision !== known.rollout.revision;
		this.#known.set(service, {
			rollout: isChanged ? rollout : known.rollout, confirmedAt: isInTouch ? Math.max(askedAt, confirmedBefore) : confirmedBefore,
		});
		const withdrawn = new Set([...this.#withdrawn.get(service) ?? [], ...earlier]);
		if (state === rolloutStates.rolledBack) {
			withdrawn.add(target);
		} else {
			withdrawn.delete(target);
		}

		this.#withdrawn.set(service, withdrawn);
		return isChanged;
	}
}
