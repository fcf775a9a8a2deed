/** The requests of one service in this entry: their queue, the choice of their back ends, and the cost of their prompts. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {Route, ServiceProfile} from '@mulberrypitch/serving/types';
import type {ServicePressure} from '@mulberrypitch/serving/view-messages';
import {chooseEngine, choosePlainBackend, type SpeedLookup} from './backend-choice.js';
import type {BackendPermit} from './backend-place.js';
import type {BackendSpeeds} from './backend-speeds.js';
import type {BackendFilter, BackendView} from './backend-view.js';
import type {Prompt} from './caller-request.js';
import type {KnownBackend} from './known-backend.js';
import {minRetryAfterSeconds} from './local-replies.js';
import {PermitQueue, type EndedWait} from './permit-queue.js';
import {PromptCostEstimate} from './prompt-cost.js';
import {RecentSum} from './recent-sum.js';
import {WaitBudgets} from './wait-budget.js';

/** Dependencies and settings of a service's traffic. */
export type ServiceTrafficOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Availability zone of this entry. */
	readonly zone: string;
	readonly backends: BackendView;
	readonly speeds: BackendSpeeds;
	readonly logger: Logger;
	readonly metrics: MetricsRegistry;
};

/** Parameters of `ServiceTraffic.acquirePermit`. */
export type PermitParameters = {
	/** Absent when the service is no longer configured. */
	readonly service: ServiceProfile | undefined;
	readonly route: Route;
	readonly workspace: string | undefined;
	/** Identifier that the caller gave the request, for the log. */
	readonly attemptId: string | undefined;
	readonly prompt: Prompt;
	/** Zero is the most urgent. */
	readonly priority: number;
	/** Identifiers of back ends that have been tried already. They are chosen only when no other one is available. */
	readonly excludedIds: ReadonlySet<string>;
	/** Reports whether the request may be sent to a back end. */
	readonly isMatching: BackendFilter;
	/** Monotonic times in milliseconds. */
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	/** Ends the wait without a permit when it is aborted. */
	readonly signal: AbortSignal;
};

/** Holds the queue and the load statistics of one service. */
export class ServiceTraffic {
	readonly #options: ServiceTrafficOptions;
	readonly #queue: PermitQueue<BackendPermit>;
	readonly #tokens: RecentSum;
	readonly #cost = new PromptCostEstimate();
	readonly #budgets = new WaitBudgets();
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
	async place(parameters: PermitParameters): Promise<BackendPermit | undefined> {
		const {
			service, route, workspace, prompt, priority, isMatching, arrivedAt, deadlineAt, signal,
		} = parameters;
		if (service === undefined) {
			return undefined;
		}

		const now = this.#options.clock.now();
		const budget = this.#budgets.get({
			route: route.name, tokens: prompt.tokens, targetMs: route.targetLatencyMs, elapsedMs: now - arrivedAt, leftMs: deadlineAt - now,
		});

		// A request is refused at once if, by what the back ends have stated, none accepts it within the time in which a refusal costs its caller nothing.
		const {backends} = this.#options;
		const isHopeless = backends.isWithoutBackends(service.name, isMatching) || backends.getStatedWaitMs(service.name, isMatching) > budget.freeWaitMs;
		return this.#queue.acquire({
			...budget,
			maxWaitMs: isHopeless ? 0 : budget.maxWaitMs,
			kind: `${route.name} ${workspace ?? ''}`,
			priority,
			signal,
			tryAcquire: () => this.#acquireFree(service, parameters),
			onWaitEnded: wait => {
				this.#logWait(parameters, wait, budget.maxWaitMs);
			},
		});
	}

	/** Records the end of an attempt, with what its permit observed. */
	recordAttempt({name: route}: Route, {tokens}: Prompt, {permit, isSuccess}: {readonly permit: BackendPermit | undefined; readonly isSuccess: boolean}): void {
		const times = permit?.observation?.end(isSuccess);
		if (times !== undefined) {
			this.#budgets.record({route, tokens}, times);
		}
	}

	/** Time in seconds until one more request is expected to get a permit; absent if that is not known. It is spread at random, so that callers don't all come back at once. */
	getRetryAfterSeconds(): number | undefined {
		const {expectedMs} = this.#queue;
		return expectedMs === undefined ? undefined : Math.max(minRetryAfterSeconds, expectedMs * (1 + this.#options.random.next()) / 1000);
	}

	/** Grants free permits to the waiting requests. */
	grantPermits(): void {
		this.#queue.grantPermits();
	}

	/** Returns the load figures from which the coordinators scale the fleet. */
	getPressure(): ServicePressure {
		return {refused: this.#refused, tokensPerSecond: this.#tokens.readPerSecond(), ...this.#cost.read()};
	}

	#logWait({service, route, attemptId}: PermitParameters, {end, waitedMs, expectedMs, waiting, grantsPerSecond}: EndedWait, budgetMs: number): void {
		const {logger, metrics} = this.#options;
		metrics.count('mulberrypitch_waits_total', 'Requests that found no back end with room, by what became of them.', {route: route.name, end});
		metrics.observe('mulberrypitch_wait_seconds', 'Time for which requests waited for a back end with room.', waitedMs, {route: route.name, end});
		logger.log(events.waitEnded, {
			request: attemptId,
			service: service?.name,
			route: route.name,
			end,
			waitedMs: Math.round(waitedMs),
			expectedMs: expectedMs === undefined ? undefined : Math.round(expectedMs),
			budgetMs: Math.round(budgetMs),
			waiting,
			grantsPerSecond,
		});
	}

	/** Takes a permit for the chosen back end, and begins to observe how fast that is. */
	#acquireFree(service: ServiceProfile, parameters: Pick<PermitParameters, 'route' | 'prompt' | 'excludedIds' | 'isMatching'>): BackendPermit | undefined {
		const backend = this.#choose(service, parameters);
		const permit = backend?.acquirePermit(estimateUncachedTokens(parameters.prompt));
		if (backend !== undefined && permit !== undefined) {
			permit.observation = this.#options.speeds.observe(backend, {route: parameters.route.name, prompt: parameters.prompt});
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
