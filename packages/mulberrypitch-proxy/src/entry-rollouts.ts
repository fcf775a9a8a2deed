/** The roll-outs at one entry: what the coordinators say of them, what the entry observes of them, and how it shows both. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {rolloutStates, type Rollout, type RolloutEvidence} from '@mulberrypitch/serving/rollout-messages';
import type {StreamOrigin, ViewReply} from '@mulberrypitch/serving/view-messages';
import type {BackendView} from './backend-view.js';
import {BootTime} from './boot-time.js';
import {RequestVersions, type RequestVersionsOptions} from './request-versions.js';
import {RolloutConduct} from './rollout-conduct.js';
import {RolloutRecorder} from './rollout-recorder.js';

/** Dependencies of the roll-outs. */
export type EntryRolloutsOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly metrics: MetricsRegistry;
	readonly backends: Pick<BackendView, 'listServing' | 'countRequests'>;
	/** Returns the time in milliseconds since a fixed moment, which counts the suspension of the process; the entry's clock if absent. */
	readonly getBootTime?: () => number;
};

/** A request that is to be sent. */
export type VersionedRequest = Pick<RequestVersionsOptions, 'service' | 'route' | 'attemptId' | 'deadlineAt' | 'binding'>;

/** Numbers that stand for the states in the metrics; zero stands for no roll-out. */
const stateNumbers = {running: 1, completed: 2, rolledBack: 3} as const;

/** Applies the roll-outs of views, and collects the evidence on those in progress. */
export class EntryRollouts {
	readonly #conduct: RolloutConduct;
	readonly #options: EntryRolloutsOptions;
	readonly #bootTime: BootTime;
	/** Recorders of the running roll-outs, by service. */
	readonly #recorders = new Map<string, RolloutRecorder>();
	/** Services whose running roll-out was last seen with a view that is too old. */
	readonly #held = new Set<string>();
	readonly #shown = new Set<string>();
	readonly #inProgress = new Set<RequestVersions>();
	#askedAt = Number.NEGATIVE_INFINITY;

	constructor(options: EntryRolloutsOptions) {
		const {clock, backends, getBootTime = () => clock.now()} = options;
		this.#options = options;
		this.#bootTime = new BootTime(clock, getBootTime);
		this.#conduct = new RolloutConduct({now: () => this.#bootTime.now(), listServing: () => backends.listServing()});
	}

	/** Records that the next view is asked for. */
	recordPoll(): void {
		this.#askedAt = this.#bootTime.now();
	}

	/** Applies the roll-outs of the reply to the last poll. */
	apply({rollouts = [], isInTouch}: Pick<ViewReply, 'rollouts' | 'isInTouch'>): void {
		for (const rollout of this.#conduct.apply(rollouts, {isInTouch, askedAt: this.#askedAt})) {
			this.#follow(rollout);
		}

		this.check();
	}

	/** Logs the services whose view has become too old for a roll-out, or new enough again. */
	check(): void {
		for (const {service, target, share} of this.#conduct.list()) {
			const isHeld = this.#conduct.isHeld(service);
			if (isHeld !== this.#held.has(service)) {
				this.#options.logger.log(isHeld ? events.rolloutHeld : events.rolloutResumed, {service, target, share});
				this.#setHeld(service, isHeld);
			}
		}
	}

	/** Returns what was observed of the running roll-outs. */
	getEvidence(): readonly RolloutEvidence[] {
		const {backends} = this.#options;
		return this.#conduct.list().flatMap(({service, target, revision}) => {
			const recorder = this.#recorders.get(service);
			if (recorder === undefined) {
				return [];
			}

			const isOther = (version: string | undefined) => version !== target;
			const permits = backends.countRequests(({announced}) => announced.service === service && isOther(announced.version));
			// Between two sends, a stream that another version began holds no permit, but goes on there.
			const streams = [...this.#inProgress].filter(request => request.service === service && request.boundVersion !== undefined && isOther(request.boundVersion));
			return [recorder.report({revision, othersRunning: Math.max(permits, streams.length)})];
		});
	}

	/** Reports whether the version that began a stream gets no request now, so that the stream can't go on. */
	isClosed(origin: StreamOrigin): boolean {
		return this.#conduct.isClosed(origin);
	}

	/** Counts a request that has arrived, and returns what decides on the version of its back ends. */
	begin(request: VersionedRequest): RequestVersions {
		const {random, clock} = this.#options;
		const getRecorder = () => this.#recorders.get(request.service);
		getRecorder()?.addRequest();
		return new RequestVersions({
			...request, conduct: this.#conduct, getRecorder, random, now: () => clock.now(),
		});
	}

	/** Counts a request as in progress until its handling has ended. Resolves with the result of that. */
	async track<Result>(request: RequestVersions, handling: Promise<Result>): Promise<Result> {
		this.#inProgress.add(request);
		try {
			return await handling;
		} finally {
			this.#inProgress.delete(request);
		}
	}

	#follow(rollout: Rollout): void {
		const {
			service, target, state, share, revision, reason, id,
		} = rollout;
		this.#options.logger.log(events.rolloutInForce, {
			service, target, state, share, revision, reason,
		});
		if (state !== rolloutStates.running) {
			this.#recorders.delete(service);
		} else if (this.#recorders.get(service)?.rollout !== id) {
			this.#recorders.set(service, new RolloutRecorder(id, target));
		}

		this.#addGauges(service);
	}

	#setHeld(service: string, isHeld: boolean): void {
		if (isHeld) {
			this.#held.add(service);
		} else {
			this.#held.delete(service);
		}
	}

	#addGauges(service: string): void {
		if (this.#shown.has(service)) {
			return;
		}

		const {metrics} = this.#options;
		const getRollout = () => this.#conduct.getRollout(service)!;
		const getShare = () => this.#conduct.isHeld(service) ? 0 : getRollout().share;
		this.#shown.add(service);
		metrics.gauge('mulberrypitch_entry_rollout_state', 'Last roll-out of a service: 1 running, 2 completed, 3 rolled back.', () => stateNumbers[getRollout().state], {service});
		metrics.gauge('mulberrypitch_entry_rollout_share', 'Part of the requests that the entry assigns to the target of the roll-out.', getShare, {service});
		metrics.gauge('mulberrypitch_entry_rollout_held', 'One while the view is too old for requests to the target of a running roll-out.', () => this.#conduct.isHeld(service) ? 1 : 0, {service});
	}
}
