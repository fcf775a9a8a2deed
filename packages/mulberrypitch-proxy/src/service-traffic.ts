/** The traffic of one service through this entry: who waits for a place, where requests go, and what their prompts cost. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {ServiceProfile} from '@mulberrypitch/serving/types';
import type {ServicePressure} from '@mulberrypitch/serving/view-messages';
import {chooseEngine, choosePlainBackend} from './backend-choice.js';
import type {BackendPermit} from './backend-place.js';
import type {BackendView} from './backend-view.js';
import type {Prompt} from './caller-request.js';
import type {KnownBackend} from './known-backend.js';
import {PermitQueue} from './place-queue.js';
import {PromptCostEstimate} from './prompt-cost.js';
import {RecentSum} from './recent-sum.js';

export type ServiceTrafficOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Zone of this entry. */
	readonly zone: string;
	readonly backends: BackendView;
};

/** What a request asks for. */
export type PlacementRequest = {
	/** Absent when the service is no longer configured. */
	readonly service: ServiceProfile | undefined;
	readonly prompt: Prompt;
	readonly priority: number;
	/** Back ends that have been tried; others go first. */
	readonly excludedIds: ReadonlySet<string>;
	readonly maxWaitMs: number;
	readonly signal: AbortSignal;
};

/** Keeps the queue of one service. */
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

	/** Notes a request that was admitted. */
	add({tokens}: Prompt): void {
		this.#tokens.add(tokens);
	}

	/** Notes that the first event of a prompt took a time in milliseconds. */
	recordFirstEvent({tokens}: Prompt, ms: number): void {
		this.#cost.add(tokens, ms);
	}

	/** Notes a request that got no place. */
	recordRefused(): void {
		this.#refused += 1;
	}

	/** Resolves with a place at a back end, or with nothing when none came free in time. */
	async place({service, prompt, priority, excludedIds, maxWaitMs, signal}: PlacementRequest): Promise<BackendPermit | undefined> {
		if (service === undefined) {
			return undefined;
		}

		return this.#queue.acquire({
			priority, maxWaitMs, signal, tryAcquire: () => this.#choose(service, prompt, excludedIds)?.acquirePermit(estimateUncachedTokens(prompt)),
		});
	}

	/** Gives places that came free to those who wait. */
	grantWaiting(): void {
		this.#queue.grantWaiting();
	}

	/** Gives what the coordinators decide the fleet by. */
	getPressure(): ServicePressure {
		return {refused: this.#refused, tokensPerSecond: this.#tokens.readPerSecond(), ...this.#cost.read()};
	}

	#choose({name, engine}: ServiceProfile, prompt: Prompt, excludedIds: ReadonlySet<string>): KnownBackend | undefined {
		const {backends, random, zone} = this.#options;
		const candidates = backends.getCandidates(name).filter(backend => backend.isAvailable);
		const untried = candidates.filter(({id}) => !excludedIds.has(id));
		const choices = untried.length > 0 ? untried : candidates;
		if (engine === undefined) {
			return choosePlainBackend(choices, random);
		}

		return chooseEngine(choices, {...prompt, zone}, random);
	}
}

/** Gives the tokens that are likely to be read: shared parts are cached about half of the time. */
function estimateUncachedTokens({tokens, sharedTokens}: Prompt): number {
	return tokens - (sharedTokens / 2);
}
