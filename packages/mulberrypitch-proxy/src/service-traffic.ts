/** The requests of one service in this entry: their queue, the choice of their back ends, and the cost of their prompts. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {ServiceProfile} from '@mulberrypitch/serving/types';
import type {ServicePressure} from '@mulberrypitch/serving/view-messages';
import {chooseEngine, choosePlainBackend, type SpeedLookup} from './backend-choice.js';
import type {BackendPermit} from './backend-place.js';
import type {BackendSpeeds} from './backend-speeds.js';
import type {BackendFilter, BackendView} from './backend-view.js';
import type {Prompt} from './caller-request.js';
import type {KnownBackend} from './known-backend.js';
import {PermitQueue} from './permit-queue.js';
import {PromptCostEstimate} from './prompt-cost.js';
import {RecentSum} from './recent-sum.js';

/** Dependencies and settings of a service's traffic. */
export type ServiceTrafficOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Availability zone of this entry. */
	readonly zone: string;
	readonly backends: BackendView;
	readonly speeds: BackendSpeeds;
};

/** Parameters of `ServiceTraffic.acquirePermit`. */
export type PermitParameters = {
	/** Absent when the service is no longer configured. */
	readonly service: ServiceProfile | undefined;
	/** Name of the route. */
	readonly route: string;
	readonly prompt: Prompt;
	/** Zero is the most urgent. */
	readonly priority: number;
	/** Identifiers of back ends that have been tried already. They are chosen only when no other one is available. */
	readonly excludedIds: ReadonlySet<string>;
	/** Reports whether the request may be sent to a back end. */
	readonly isMatching: BackendFilter;
	/** Longest wait in milliseconds. */
	readonly maxWaitMs: number;
	/** Ends the wait without a permit when it is aborted. */
	readonly signal: AbortSignal;
};

/** Holds the queue and the load statistics of one service. */
export class ServiceTraffic {
	readonly #options: ServiceTrafficOptions;
	readonly #queue: PermitQueue<BackendPermit>;
	readonly #tokens: RecentSum;
	readonly #cost = new PromptCostEstimate();
	#refused = 0;

	constructor(options: ServiceTrafficOptions) {
		this.#options = options;
		this.#queue = new PermitQueue(options.clock);
		this.#tokens = new RecentSum(options.clock);
	}

	/** Counts an admitted request. */
	add({tokens}: Prompt): void {
		this.#tokens.add(tokens);
	}

	/** Records the time in milliseconds until the first event of a response. */
	recordFirstEvent({tokens}: Prompt, ms: number): void {
		this.#cost.add(tokens, ms);
	}

	/** Counts a request that got no permit. */
	recordRefused(): void {
		this.#refused += 1;
	}

	/** Resolves with a permit for a back end, or `undefined` when none became free in time or the signal was aborted. */
	async place({
		service, route, prompt, priority, excludedIds, isMatching, maxWaitMs, signal,
	}: PermitParameters): Promise<BackendPermit | undefined> {
		if (service === undefined) {
			return undefined;
		}

		// A request waits only if a back end can accept it in time by what the back ends have stated.
		const {backends} = this.#options;
		const isHopeless = backends.isWithoutBackends(service.name, isMatching) || backends.getStatedWaitMs(service.name, isMatching) > maxWaitMs;
		return this.#queue.acquire({
			priority, maxWaitMs: isHopeless ? 0 : maxWaitMs, signal, tryAcquire: () => this.#acquireFree(service, {
				route, prompt, excludedIds, isMatching,
			}),
		});
	}

	/** Grants free permits to the waiting requests. */
	grantPermits(): void {
		this.#queue.grantPermits();
	}

	/** Returns the load figures from which the coordinators scale the fleet. */
	getPressure(): ServicePressure {
		return {refused: this.#refused, tokensPerSecond: this.#tokens.readPerSecond(), ...this.#cost.read()};
	}

	/** Takes a permit for the chosen back end, and begins to observe how fast that is. */
	#acquireFree(service: ServiceProfile, parameters: Pick<PermitParameters, 'route' | 'prompt' | 'excludedIds' | 'isMatching'>): BackendPermit | undefined {
		const backend = this.#choose(service, parameters);
		const permit = backend?.acquirePermit(estimateUncachedTokens(parameters.prompt));
		if (backend !== undefined && permit !== undefined) {
			permit.observation = this.#options.speeds.observe(backend, parameters);
		}

		return permit;
	}

	/** Chooses the back end of each send: first ones, retries and resumed streams. */
	#choose({name, engine}: ServiceProfile, {prompt, excludedIds, isMatching}: Pick<PermitParameters, 'prompt' | 'excludedIds' | 'isMatching'>): KnownBackend | undefined {
		const {backends, random, zone, speeds} = this.#options;
		const getSpeed: SpeedLookup = id => speeds.getSpeed(id);
		const candidates = backends.getCandidates(name, isMatching).filter(backend => backend.isAvailable);
		const untried = candidates.filter(({id}) => !excludedIds.has(id));
		const choices = untried.length > 0 ? untried : candidates;
		if (engine === undefined) {
			return choosePlainBackend(choices, random, getSpeed);
		}

		return chooseEngine(choices, {...prompt, zone}, random, getSpeed);
	}
}

/** Returns the estimated number of tokens to prefill: shared prefixes are cached about half of the time. */
function estimateUncachedTokens({tokens, sharedTokens}: Prompt): number {
	return tokens - (sharedTokens / 2);
}
