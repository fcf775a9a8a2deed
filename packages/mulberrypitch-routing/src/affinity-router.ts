/** Routes requests by the prefix of their prompts within a load bound, or by load alone when the prefix decides nothing. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import {BackendLoad} from './backend-load.js';
import {OutlierEjection} from './outlier-ejection.js';
import {PrefixHints} from './prefix-hints.js';
import {hashText, rankNodes} from './rendezvous.js';
import {RetryBudget} from './retry-budget.js';
import {countSlots} from './router.js';
import {getSubset} from './subset.js';
import type {
	Candidate, Dispatch, Router, RoutingRequest,
} from './types.js';

/** Maximum load of a back end chosen by prefix, relative to the mean load. */
const maxLoadFactor = 1.25;
/** Largest share of a pause by which it is extended at random. */
const pauseSpreadShare = 0.2;
/** Number of top-ranked back ends that are preferred for a prefix. */
const affinityCandidates = 2;

/** Dependencies and settings of the router. */
export type AffinityRouterOptions = {
	/** Name of this host, which determines its subset of the back ends. */
	readonly host: string;
	/** Availability zone of this host. */
	readonly zone: string;
	readonly clock: Clock;
	readonly random: Random;
	/** Returns the number of retries allowed per first dispatch. */
	readonly getRetryRatio: () => number;
};

/**
Chooses back ends for the requests of one host: by prefix affinity within a load bound, else by the lower load of two random
back ends.

@example
```
const router = new AffinityRouter({host, zone, clock, random, getRetryRatio: () => 0.2});
const dispatch = router.choose(candidates, {service, prefix, excluded: new Set()});
```
*/
export class AffinityRouter implements Router {
	readonly #options: AffinityRouterOptions;
	readonly #load = new BackendLoad();
	readonly #ejection: OutlierEjection;
	readonly #hints: PrefixHints;
	readonly #budget: RetryBudget;
	/** Monotonic time in milliseconds until which a back end asked for no requests. */
	readonly #pausedUntil = new Map<string, number>();

	constructor(options: AffinityRouterOptions) {
		this.#options = options;
		this.#ejection = new OutlierEjection(options.clock);
		this.#hints = new PrefixHints(options.clock);
		this.#budget = new RetryBudget(options.clock, options.getRetryRatio);
	}

	/** Starts a dispatch to a back end. Returns `undefined` if no back end is usable, or if a retry finds the retry budget empty. */
	choose(candidates: readonly Candidate[], request: RoutingRequest): Dispatch | undefined {
		const staying = this.#filterAccepting(candidates);
		const healthy = this.#ejection.removeEjected(getSubset(this.#options.host, staying));
		const usable = healthy.filter(({id}) => !request.excluded.has(id));
		if (usable.length === 0 || !this.#tryDispatch(request)) {
			return undefined;
		}

		const fingerprint = hashText(request.prefix);
		const best = request.prefix === '' ? undefined : this.#chooseByPrefix(usable, fingerprint);
		return this.#begin((best ?? this.#chooseByLoad(usable)).id, fingerprint);
	}

	/** Returns the number of slots of the candidates that neither leave nor pause and that outlier detection does not leave out. */
	getSlots(candidates: readonly Candidate[]): number {
		return countSlots(this.#ejection.removeEjected(this.#filterAccepting(candidates)));
	}

	/** Records that a back end cached or evicted a prompt prefix at a time. Events may arrive late. */
	recordCacheEvent(event: {readonly prefix: string; readonly backend: string; readonly isCached: boolean; readonly at: number}): void {
		this.#hints.record(hashText(event.prefix), event.backend, event.isCached, event.at);
	}

	/** Returns the candidates that neither leave nor have asked this host for a pause. */
	#filterAccepting(candidates: readonly Candidate[]): readonly Candidate[] {
		const now = this.#options.clock.now();
		return candidates.filter(({id, isLeaving}) => !isLeaving && (this.#pausedUntil.get(id) ?? now) <= now);
	}

	/** Sends a back end nothing for a while, and a little longer, so that hosts return one after the other. A longer pause stays. */
	#pause(backend: string, pauseMs: number): void {
		const {clock, random} = this.#options;
		const until = clock.now() + (pauseMs * (1 + (random.next() * pauseSpreadShare)));
		this.#pausedUntil.set(backend, Math.max(until, this.#pausedUntil.get(backend) ?? until));
	}

	/** Credits the retry budget for a first dispatch, or takes a retry from it. Returns whether the dispatch is allowed. */
	#tryDispatch(request: RoutingRequest): boolean {
		if (request.isRetry === true) {
			return this.#budget.tryRetry();
		}

		this.#budget.addDispatch();
		return true;
	}

	/** Returns a highly ranked back end within the load bound, preferably one that is believed to cache the prefix. */
	#chooseByPrefix(usable: readonly Candidate[], fingerprint: number): Candidate | undefined {
		const meanLoad = usable.reduce((sum, candidate) => sum + this.#load.getLoad(candidate), 0) / usable.length;
		const isWithinBound = (candidate: Candidate) => {
			const nextLoad = this.#load.getLoad(candidate) + (1 / candidate.slots);
			return nextLoad <= Math.max(maxLoadFactor * meanLoad, 2 / candidate.slots);
		};

		const ranked = rankNodes(fingerprint, usable, ({id}) => id).filter(candidate => isWithinBound(candidate));
		const preferred = ranked.slice(0, affinityCandidates);
		return preferred.find(({id}) => this.#hints.has(fingerprint, id))
			?? ranked.find(({id}) => this.#hints.has(fingerprint, id))
			?? preferred[0];
	}

	/** Returns the less costly of two random back ends. */
	#chooseByLoad(usable: readonly Candidate[]): Candidate {
		const {random, zone} = this.#options;
		const first = Math.floor(random.next() * usable.length);
		const step = 1 + Math.floor(random.next() * (usable.length - 1));
		const left = usable[first]!;
		const right = usable[(first + step) % usable.length]!;
		return this.#load.getCost(right, zone) < this.#load.getCost(left, zone) ? right : left;
	}

	/** Starts a dispatch, whose first `finish()` updates the load, the health and the hints. */
	#begin(backend: string, fingerprint: number): Dispatch {
		this.#load.begin(backend);
		let isFinished = false;
		return {
			backend,
			finish: ({isFailure, cachedTokens, pauseMs}) => {
				if (isFinished) {
					return;
				}

				isFinished = true;
				this.#load.finish(backend);
				if (pauseMs === undefined) {
					this.#ejection.report(backend, isFailure);
				} else {
					this.#pause(backend, pauseMs);
				}

				this.#recordResult(fingerprint, backend, isFailure, cachedTokens);
			},
		};
	}

	/**
	Updates the prefix hint: after a successful request the engine has the prompt in its cache, after a failed one it may not.
	A success whose report has no number of cached tokens changes nothing.
	*/
	#recordResult(fingerprint: number, backend: string, isFailure: boolean, cachedTokens: number | undefined): void {
		if (cachedTokens !== undefined || isFailure) {
			this.#hints.record(fingerprint, backend, !isFailure);
		}
	}
}
