/** The traffic of one service through this entry: who waits for a place, where requests go, and what their prompts cost. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {ServiceProfile} from '@mulberrypitch/serving/types';
import type {ServicePressure} from '@mulberrypitch/serving/view-messages';
import {chooseEngine, choosePlainBackend} from './backend-choice.js';
import type {BackendPlace} from './backend-place.js';
import type {BackendView} from './backend-view.js';
import type {Prompt} from './caller-request.js';
import type {KnownBackend} from './known-backend.js';
import {PlaceQueue} from './place-queue.js';
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
export type PlaceWish = {
	/** Absent when the service is no longer configured. */
	readonly service: ServiceProfile | undefined;
	readonly prompt: Prompt;
	readonly priority: number;
	/** Back ends that have been tried; others go first. */
	readonly except: ReadonlySet<string>;
	readonly maxWaitMs: number;
	readonly signal: AbortSignal;
};

/** Keeps the queue of one service. */
export class ServiceTraffic {
	readonly #options: ServiceTrafficOptions;
	readonly #queue: PlaceQueue<BackendPlace>;
	readonly #tokens: RecentSum;
	readonly #cost = new PromptCostEstimate();
	#refused = 0;

	constructor(options: ServiceTrafficOptions) {
		this.#options = options;
		this.#queue = new PlaceQueue(options.clock);
		this.#tokens = new RecentSum(options.clock);
	}

	/** Notes a request that was admitted. */
	add({tokens}: Prompt): void {
		this.#tokens.add(tokens);
	}

	/** Notes that the first event of a prompt took a time in milliseconds. */
	noteFirstEvent({tokens}: Prompt, ms: number): void {
		this.#cost.add(tokens, ms);
	}

	/** Notes a request that got no place. */
	noteRefused(): void {
		this.#refused += 1;
	}

	/** Resolves with a place at a back end, or with nothing when none came free in time. */
	async place({service, prompt, priority, except, maxWaitMs, signal}: PlaceWish): Promise<BackendPlace | undefined> {
		if (service === undefined) {
			return undefined;
		}

		return this.#queue.wait({
			priority, maxWaitMs, signal, take: () => this.#choose(service, prompt, except)?.take(getUnreadTokens(prompt)),
		});
	}

	/** Gives places that came free to those who wait. */
	refresh(): void {
		this.#queue.refresh();
	}

	/** Gives what the coordinators decide the fleet by. */
	getPressure(): ServicePressure {
		return {refused: this.#refused, tokensPerSecond: this.#tokens.readPerSecond(), ...this.#cost.read()};
	}

	#choose({name, engine}: ServiceProfile, prompt: Prompt, except: ReadonlySet<string>): KnownBackend | undefined {
		const {backends, random, zone} = this.#options;
		const candidates = backends.getCandidates(name).filter(backend => backend.isOpen);
		const untried = candidates.filter(({id}) => !except.has(id));
		const choices = untried.length > 0 ? untried : candidates;
		if (engine === undefined) {
			return choosePlainBackend(choices, random);
		}

		return chooseEngine(choices, {...prompt, zone}, random);
	}
}

/** Gives the tokens that are likely to be read: shared parts are cached about half of the time. */
function getUnreadTokens({tokens, sharedTokens}: Prompt): number {
	return tokens - (sharedTokens / 2);
}
