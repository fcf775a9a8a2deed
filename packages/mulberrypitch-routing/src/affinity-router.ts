/** Routing by prompt prefix with bounded load, and by load where the prefix does not decide. */
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

const boundFactor = 1.25;
const affinityTries = 2;

/** What the router is made of. */
export type AffinityRouterOptions = {
	readonly host: string;
	readonly zone: string;
	readonly clock: Clock;
	readonly random: Random;
	/** Retries allowed per first dispatch. */
	readonly getRetryRatio: () => number;
};

/**
Chooses back ends for one host.

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

	constructor(options: AffinityRouterOptions) {
		this.#options = options;
		this.#ejection = new OutlierEjection(options.clock);
		this.#hints = new PrefixHints(options.clock);
		this.#budget = new RetryBudget(options.clock, options.getRetryRatio);
	}

	choose(candidates: readonly Candidate[], request: RoutingRequest): Dispatch | undefined {
		const staying = candidates.filter(candidate => !candidate.isLeaving);
		const healthy = this.#ejection.filter(getSubset(this.#options.host, staying));
		const usable = healthy.filter(({id}) => !request.excluded.has(id));
		if (usable.length === 0 || !this.#mayDispatch(request)) {
			return undefined;
		}

		const fingerprint = hashText(request.prefix);
		const best = request.prefix === '' ? undefined : this.#chooseByPrefix(usable, fingerprint);
		return this.#begin((best ?? this.#chooseByLoad(usable)).id, fingerprint);
	}

	getSlots(candidates: readonly Candidate[]): number {
		return countSlots(this.#ejection.filter(candidates.filter(candidate => !candidate.isLeaving)));
	}

	/** Takes a cache event of a back end, which may be late. */
	noteCacheEvent(event: {readonly prefix: string; readonly backend: string; readonly isCached: boolean; readonly at: number}): void {
		this.#hints.note(hashText(event.prefix), event.backend, event.isCached, event.at);
	}

	#mayDispatch(request: RoutingRequest): boolean {
		if (request.isRetry === true) {
			return this.#budget.tryRetry();
		}

		this.#budget.addDispatch();
		return true;
	}

	/** Gives a back end that ranks high for the prefix and is not above the load bound, one with the prefix first. */
	#chooseByPrefix(usable: readonly Candidate[], fingerprint: number): Candidate | undefined {
		const meanLoad = usable.reduce((sum, candidate) => sum + this.#load.getLoad(candidate), 0) / usable.length;
		const isBounded = (candidate: Candidate) => {
			const next = this.#load.getLoad(candidate) + (1 / candidate.slots);
			return next <= Math.max(boundFactor * meanLoad, 2 / candidate.slots);
		};

		const ranked = rankNodes(fingerprint, usable, ({id}) => id).filter(candidate => isBounded(candidate));
		const preferred = ranked.slice(0, affinityTries);
		return preferred.find(({id}) => this.#hints.has(fingerprint, id))
			?? ranked.find(({id}) => this.#hints.has(fingerprint, id))
			?? preferred[0];
	}

	/** Gives the cheaper of two drawn at random. */
	#chooseByLoad(usable: readonly Candidate[]): Candidate {
		const {random, zone} = this.#options;
		const first = Math.floor(random.next() * usable.length);
		const step = 1 + Math.floor(random.next() * (usable.length - 1));
		const left = usable[first]!;
		const right = usable[(first + step) % usable.length]!;
		return this.#load.getCost(right, zone) < this.#load.getCost(left, zone) ? right : left;
	}

	#begin(backend: string, fingerprint: number): Dispatch {
		this.#load.begin(backend);
		let isFinished = false;
		return {
			backend,
			finish: ({isFailure, cachedTokens}) => {
				if (isFinished) {
					return;
				}

				isFinished = true;
				this.#load.finish(backend);
				this.#ejection.report(backend, isFailure);
				this.#noteAnswer(fingerprint, backend, isFailure, cachedTokens);
			},
		};
	}

	/** A finished prompt is in the cache of its engine, whether it was before or not. */
	#noteAnswer(fingerprint: number, backend: string, isFailure: boolean, cachedTokens: number | undefined): void {
		if (cachedTokens !== undefined || isFailure) {
			this.#hints.note(fingerprint, backend, !isFailure);
		}
	}
}
