/** Chooses the back end for an attempt of an accepted request, among the back ends in the holder's view (its copy of the configuration and the membership). */
import {assertInvariant} from '@mulberrypitch/errors/catalogue';
import type {BackendServer} from '@mulberrypitch/control/types';
import type {Dispatch, Router} from '@mulberrypitch/routing/types';
import type {AnswerLog, AnswerOrigin} from './answer-log.js';
import type {StandbyLinkContext} from './standby-link.js';
import type {HeldCopy} from './types.js';

/** The back end that was chosen for an attempt. */
export type Target = {
	readonly backend: BackendServer;
	readonly dispatch: Dispatch;
	/** Number of answer tokens whose KV cache was moved to the back end. `choose` returns zero; the holder sets the number after it has moved the cache. */
	readonly cachedTokens: number;
};

/** Dependencies of a `TargetChoice`. */
export type TargetChoiceOptions = {
	/** The request for which back ends are chosen. */
	readonly copy: HeldCopy;
	/** The client of the control group, with this host's view of the configuration and the membership. */
	readonly control: StandbyLinkContext['control'];
	readonly router: Router;
	/** The answer of the request, which only back ends with the software version of its first chunk continue. */
	readonly answer: AnswerLog;
};

/**
Chooses back ends for the attempts of one request.

@example
```
const choice = new TargetChoice({
	copy, control, router, answer,
});
const target = choice.choose(new Set(), false);
```
*/
export class TargetChoice {
	readonly #options: TargetChoiceOptions;

	constructor(options: TargetChoiceOptions) {
		this.#options = options;
	}

	/**
	Starts a dispatch to a back end for the next attempt. Returns `undefined` when no back end may be used, when this host's view isn't
	fresh, or when a retry finds the retry budget empty. Back ends in `tried` are excluded. Back ends in a zone where a back end of the
	service is leaving are used only when there are no others. A retry counts against the router's retry budget. Only back ends with the
	software version of `origin` are used: that of the answer so far, unless the caller states another one.
	*/
	choose(tried: ReadonlySet<string>, isRetry: boolean, origin: AnswerOrigin | undefined = this.#options.answer.origin): Target | undefined {
		const {control, router, copy} = this.#options;
		if (!control.isFresh()) {
			return undefined;
		}

		const servers = this.#listServers();
		const candidates = servers.filter(({version}) => origin === undefined || version === origin.version);
		const leavingZones = new Set(servers.filter(backend => backend.isLeaving).map(backend => backend.zone));
		const excluded = new Set(tried);
		const isPreferred = (backend: BackendServer) => !leavingZones.has(backend.zone) && !excluded.has(backend.id);
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

	/**
	Reports whether the service has back ends in a fresh view, and none of them has the software version of the answer so far. While the
	service has no back end at all, one of that version may be starting again.
	*/
	isVersionGone(): boolean {
		const {control, answer: {origin}} = this.#options;
		const servers = this.#listServers();
		return control.isFresh() && origin !== undefined && servers.length > 0 && servers.every(({version}) => version !== origin.version);
	}

	/** Reports whether this host's view is fresh and the same incarnation of a back end is registered in it, not leaving, and may continue the answer. */
	isUsable({id, incarnation}: BackendServer): boolean {
		const {control, answer: {origin}} = this.#options;
		const known = control.backends.find(backend => backend.id === id);
		return control.isFresh() && known?.incarnation === incarnation && !known.isLeaving && (origin === undefined || known.version === origin.version);
	}

	/** Reports whether this incarnation of a back end is leaving or no longer registered. The field `isLeaving` covers only the first case. */
	isLeaving({id, incarnation}: BackendServer): boolean {
		const known = this.#options.control.backends.find(backend => backend.id === id && backend.incarnation === incarnation);
		return known?.isLeaving !== false;
	}

	#listServers(): readonly BackendServer[] {
		const {control, copy} = this.#options;
		return control.backends.filter(backend => backend.services.includes(copy.service));
	}
}
