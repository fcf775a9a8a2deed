/** Chooses the back end for an attempt of a recorded request, from the back ends that its host knows. */
import {assertInvariant} from '@mulberrypitch/errors/catalogue';
import type {BackendServer} from '@mulberrypitch/control/types';
import type {Dispatch, Router} from '@mulberrypitch/routing/types';
import type {StandbyLinkContext} from './standby-link.js';
import type {HeldCopy} from './types.js';

/** The back end that was chosen for an attempt. */
export type Target = {
	readonly backend: BackendServer;
	readonly dispatch: Dispatch;
	/** Number of answer tokens whose KV cache the back end already has. */
	readonly cachedTokens: number;
};

/** Dependencies of a `TargetChoice`. */
export type TargetChoiceOptions = {
	readonly copy: HeldCopy;
	readonly control: StandbyLinkContext['control'];
	readonly router: Router;
};

/**
Chooses back ends for the attempts of one request.

@example
```
const choice = new TargetChoice({copy, control, router});
const target = choice.choose(new Set(), false);
```
*/
export class TargetChoice {
	readonly #options: TargetChoiceOptions;

	constructor(options: TargetChoiceOptions) {
		this.#options = options;
	}

	/**
	Returns a back end for the next attempt, or `undefined` when none may be used. Back ends in a zone where another one is being
	reclaimed, and those tried already, are used only when there are no others.
	*/
	choose(tried: ReadonlySet<string>, isRetry: boolean): Target | undefined {
		const {control, router, copy} = this.#options;
		if (!control.isFresh()) {
			return undefined;
		}

		const candidates = control.backends.filter(backend => backend.services.includes(copy.service));
		const zonesWithReclaims = new Set(candidates.filter(backend => backend.isLeaving).map(backend => backend.zone));
		const excluded = new Set(tried);
		const isPreferred = (backend: BackendServer) => !zonesWithReclaims.has(backend.zone) && !excluded.has(backend.id);
		if (candidates.some(backend => isPreferred(backend))) {
			for (const backend of candidates.filter(candidate => !isPreferred(candidate))) {
				excluded.add(backend.id);
			}
		}

		const dispatch = router.choose(candidates.map(backend => ({
			id: backend.id, zone: backend.zone, slots: backend.capabilities.slots, isLeaving: backend.isLeaving,
		})), {
			service: copy.service, prefix: copy.prefix, excluded, isRetry,
		});
		if (dispatch === undefined) {
			return undefined;
		}

		const backend = candidates.find(candidate => candidate.id === dispatch.backend)!;
		assertInvariant(!backend.isLeaving, `Back end ${backend.id} is leaving.`);
		return {backend, dispatch, cachedTokens: 0};
	}

	/** Reports whether the same incarnation of a back end is still registered and not being reclaimed. */
	isUsable({id, incarnation}: BackendServer): boolean {
		const {control} = this.#options;
		const known = control.backends.find(backend => backend.id === id);
		return control.isFresh() && known?.incarnation === incarnation && !known.isLeaving;
	}

	/** Reports whether this incarnation of a back end is gone or being reclaimed. */
	isLeaving({id, incarnation}: BackendServer): boolean {
		const known = this.#options.control.backends.find(backend => backend.id === id && backend.incarnation === incarnation);
		return known?.isLeaving !== false;
	}
}
