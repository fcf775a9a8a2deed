/**
 * Updates an entry's view (configuration, roster and loads) by long polling one coordinator, and fails over to another one when the
 * poll fails.
 */
import {BackgroundTask, Notification} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import type {Random} from '@mulberrypitch/lifecycle/random';
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {
	defaultWaitMs, methods, type ViewReply, type ViewRequest,
} from '@mulberrypitch/serving/view-messages';
import type {Transport} from '@mulberrypitch/transport/types';
import {PollTimeout} from './poll-timeout.js';

/** Dependencies and settings of a view client. */
export type ViewClientOptions = {
	/** Returns the currently configured peer addresses of the coordinators. */
	readonly getSeeds: () => readonly string[];
	readonly transport: Transport;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	/** Returns the request for the next poll. */
	readonly createRequest: () => ViewRequest;
	readonly onReply: (reply: ViewReply) => void;
};

/** Time in milliseconds for which a coordinator that did not reply is asked only after all others. */
const unresponsiveMs = 3000;
/** Time in milliseconds for which an entry does not return to a coordinator of its zone whose poll has failed. */
const returnAfterMs = 15_000;
/** Part of the entries that move to a coordinator of their zone at each poll, so that they don't all do so at once. */
const moveShare = 0.25;
/** Shortest time in milliseconds between the starts of two polls of which the second one is in a hurry. */
const minPollGapMs = 40;
/** Pause in milliseconds before the next coordinator is asked. */
const nextCoordinatorPauseMs = 30;
/** Part of its timeout after which a failed poll counts as one without a reply in time: timers fire a little early, and connecting may use up the time. */
const timeoutShare = 0.95;
/** Pause in milliseconds after all coordinators have failed. */
const allFailedPauseMs = 200;

/** Polls coordinators in the background and passes each reply to `onReply`. */
export class ViewClient implements Resource {
	readonly #options: ViewClientOptions;
	readonly #resources = new DisposableStore();
	readonly #timeout: PollTimeout;
	#addresses: readonly string[];
	/** Addresses of the coordinators in the zone of the entry, as last told. */
	#nearby: readonly string[] = [];
	/** Address of the coordinator whose last poll succeeded; absent after a failed poll. */
	#current: string | undefined;
	/** Monotonic time in milliseconds of the last reply of a coordinator that was in contact with a leader. */
	#inTouchAt = Number.NEGATIVE_INFINITY;
	#repliedAt = Number.NEGATIVE_INFINITY;
	/** Number of polls that have failed since the last one that did not. */
	#failures = 0;
	/** Address of the coordinator that replied last. */
	#replied: string | undefined;
	readonly #unresponsiveUntil = new Map<string, number>();
	readonly #hurry = new Notification();
	/** Monotonic time in milliseconds of the last failed poll, by the address of the coordinator. */
	readonly #failedAt = new Map<string, number>();
	/** Number of polls so far. Only what the last one brings is used. */
	#polls = 0;
	/** Whether the last poll was given up for the one in progress, which is then not given up in turn: a silent coordinator would never be left. */
	#hasHurried = false;

	constructor(options: ViewClientOptions) {
		this.#options = options;
		this.#timeout = new PollTimeout(options.clock);
		this.#addresses = options.getSeeds();
	}

	/** Time in milliseconds since the last reply of a coordinator that is in contact with a leader. */
	get ageMs(): number {
		return this.#options.clock.now() - this.#inTouchAt;
	}

	/** Time in milliseconds since the last reply of any coordinator. */
	get replyAgeMs(): number {
		return this.#options.clock.now() - this.#repliedAt;
	}

	/** Address of the coordinator that is polled, or of the one that replied last; absent before the first reply. */
	get coordinator(): string | undefined {
		return this.#current ?? this.#replied;
	}

	/** Starts polling. */
	start(): void {
		this.#resources.add(new BackgroundTask(async signal => this.#run(signal), error => {
			this.#options.logger.log(events.taskFailed, {task: 'view', reason: getMessage(error)});
		}));
	}

	/** Sends the next poll without waiting for the reply to the one in progress, since the entry has something to report or to ask that can't wait. */
	hurry(): void {
		this.#hurry.notify();
	}

	/** Stops polling. */
	async dispose(): Promise<void> {
		await this.#resources.dispose();
	}

	async #run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted) {
			const address = this.#current ?? this.#chooseNext(this.#failures);
			const outcome = await this.#poll(address);
			if (outcome !== 'failed') {
				this.#current = outcome === 'replied' ? this.#chooseNearby(address) : this.#current;
				this.#failures = 0;
				continue;
			}

			this.#failedAt.set(address, clock.now());
			this.#current = undefined;
			this.#addresses = [...new Set([...this.#addresses, ...this.#options.getSeeds()])];
			this.#failures += 1;
			await clock.sleep(this.#failures % this.#addresses.length === 0 ? allFailedPauseMs : nextCoordinatorPauseMs, signal);
		}
	}

	/** Polls a coordinator until it has replied, the poll has failed, or the next one is in a hurry. */
	async #poll(address: string): Promise<'replied' | 'failed' | 'hurried'> {
		const {clock} = this.#options;
		const ended = new AbortController();
		const startedAt = clock.now();
		this.#polls += 1;
		const waitForHurry = async () => {
			await this.#hurry.wait(ended.signal);
			return 'hurried' as const;
		};

		const canHurry = this.#current !== undefined && !this.#hasHurried;
		const outcome = await Promise.race([this.#watch(address, this.#polls), ...(canHurry ? [waitForHurry()] : [])]);
		ended.abort();
		this.#hasHurried = outcome === 'hurried';
		if (outcome === 'hurried') {
			await clock.sleep(minPollGapMs - (clock.now() - startedAt));
		}

		return outcome;
	}

	#chooseNext(failures: number): string {
		const {random, clock} = this.#options;
		const responsive = this.#addresses.filter(address => (this.#unresponsiveUntil.get(address) ?? 0) <= clock.now());
		const choices = responsive.length > 0 ? responsive : this.#addresses;
		const position = failures === 0 ? Math.floor(random.next() * choices.length) : failures % choices.length;
		return choices[position]!;
	}

	/** Returns the coordinator to poll after one that has replied: one of the entry's zone if there is any, so that most polls stay in it. */
	#chooseNearby(address: string): string {
		const {random, clock} = this.#options;
		const before = clock.now() - returnAfterMs;
		const choices = this.#nearby.filter(other => (this.#failedAt.get(other) ?? Number.NEGATIVE_INFINITY) <= before);
		if (choices.length === 0 || choices.includes(address) || random.next() >= moveShare) {
			return address;
		}

		return choices[Math.floor(random.next() * choices.length)]!;
	}

	/** Polls a coordinator once. Fails unless its reply was applied and it is in contact with a leader. */
	async #watch(address: string, poll: number): Promise<'replied' | 'failed'> {
		const {transport, createRequest, onReply, logger, clock, getSeeds} = this.#options;
		const startedAt = clock.now();
		let limitMs = this.#timeout.currentMs;
		try {
			const request = createRequest();
			const {waitMs = defaultWaitMs} = request;
			limitMs += waitMs - defaultWaitMs;
			const reply = await transport.call<ViewReply>(address, methods.watch, request, {timeoutMs: limitMs});
			if (poll !== this.#polls) {
				return 'replied';
			}

			this.#repliedAt = clock.now();
			this.#replied = address;
			this.#timeout.recordReply(Math.max(0, this.#repliedAt - startedAt - waitMs));
			this.#unresponsiveUntil.delete(address);
			onReply(reply);
			this.#addresses = [...new Set([...reply.coordinators, ...getSeeds()])];
			this.#nearby = reply.nearby ?? [];

			if (reply.isInTouch) {
				this.#logRegained(address);
				this.#inTouchAt = clock.now();
			}

			return reply.isInTouch ? 'replied' : 'failed';
		} catch (error) {
			if (poll !== this.#polls) {
				return 'failed';
			}

			this.#unresponsiveUntil.set(address, clock.now() + unresponsiveMs);
			const tookMs = clock.now() - startedAt;
			if (tookMs >= timeoutShare * limitMs) {
				this.#timeout.recordTimeout();
			}

			if (!(error instanceof CodedError)) {
				// The reply is malformed or can't be applied. The next one, or that of another coordinator, may be sound.
				logger.log(events.taskFailed, {task: 'view', coordinator: address, reason: getMessage(error)});
			} else if (this.#current !== undefined) {
				logger.log(events.viewStale, {
					coordinator: address, code: error.code, ageMs: Math.round(this.ageMs), timeoutMs: limitMs, tookMs: Math.round(tookMs),
				});
			}

			return 'failed';
		}
	}

	#logRegained(address: string): void {
		if (this.#current === undefined) {
			const {ageMs} = this;
			this.#options.logger.log(events.viewRegained, {coordinator: address, ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined, failures: this.#failures});
		}
	}
}
