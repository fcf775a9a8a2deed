/** Keeps an entry's view: asks one coordinator for news again and again, and another one when that fails. */
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import type {Random} from '@mulberrypitch/lifecycle/random';
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {methods, type ViewReply, type ViewRequest} from '@mulberrypitch/serving/view-messages';
import type {Transport} from '@mulberrypitch/transport/types';

export type ViewClientOptions = {
	/** Gives the addresses of coordinators for calls between processes that the settings name now. */
	readonly getSeeds: () => readonly string[];
	readonly transport: Transport;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly createRequest: () => ViewRequest;
	readonly onReply: (reply: ViewReply) => void;
};

/** Time in which a coordinator answers, with or without news. It doubles while none does. */
const watchTimeoutMs = 400;
const maxTimeoutDoublings = 2;
/** Time for which a coordinator that did not answer is asked after all others. */
const unresponsiveMs = 3000;
/** Pause before the next coordinator is asked. */
const nextCoordinatorPauseMs = 30;
/** Pause after all of them were asked in vain. */
const allFailedPauseMs = 200;

/** Resolves nothing by itself: `onReply` gets each answer. */
export class ViewClient implements Resource {
	readonly #options: ViewClientOptions;
	readonly #resources = new DisposableStore();
	#addresses: readonly string[];
	#current: string | undefined;
	#inTouchAt = Number.NEGATIVE_INFINITY;
	#repliedAt = Number.NEGATIVE_INFINITY;
	readonly #unresponsiveUntil = new Map<string, number>();

	constructor(options: ViewClientOptions) {
		this.#options = options;
		this.#addresses = options.getSeeds();
	}

	/** Time since the last answer of a coordinator that hears from a leader, in milliseconds. */
	get ageMs(): number {
		return this.#options.clock.now() - this.#inTouchAt;
	}

	/** Time since the last answer of any coordinator, in milliseconds. */
	get replyAgeMs(): number {
		return this.#options.clock.now() - this.#repliedAt;
	}

	start(): void {
		this.#resources.add(new BackgroundTask(async signal => this.#run(signal), error => {
			this.#options.logger.log(events.taskFailed, {task: 'view', reason: getMessage(error)});
		}));
	}

	async dispose(): Promise<void> {
		await this.#resources.dispose();
	}

	async #run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		let failures = 0;
		while (!signal.aborted) {
			const address = this.#current ?? this.#chooseNext(failures);
			if (await this.#watch(address, watchTimeoutMs * (2 ** Math.min(maxTimeoutDoublings, Math.floor(failures / this.#addresses.length))))) {
				this.#current = address;
				failures = 0;
				continue;
			}

			this.#current = undefined;
			this.#addresses = [...new Set([...this.#addresses, ...this.#options.getSeeds()])];
			failures += 1;
			await clock.sleep(failures % this.#addresses.length === 0 ? allFailedPauseMs : nextCoordinatorPauseMs, signal);
		}
	}

	#chooseNext(failures: number): string {
		const {random, clock} = this.#options;
		const responsive = this.#addresses.filter(address => (this.#unresponsiveUntil.get(address) ?? 0) <= clock.now());
		const choices = responsive.length > 0 ? responsive : this.#addresses;
		const position = failures === 0 ? Math.floor(random.next() * choices.length) : failures % choices.length;
		return choices[position]!;
	}

	/** Asks once; tells whether the coordinator is in touch with the others. */
	async #watch(address: string, timeoutMs: number): Promise<boolean> {
		const {transport, createRequest, onReply, logger, clock, getSeeds} = this.#options;
		try {
			const reply = await transport.call<ViewReply>(address, methods.watch, createRequest(), {timeoutMs});
			this.#repliedAt = clock.now();
			this.#unresponsiveUntil.delete(address);
			onReply(reply);
			this.#addresses = [...new Set([...reply.coordinators, ...getSeeds()])];

			if (reply.isInTouch) {
				this.#logRegained(address);
				this.#inTouchAt = clock.now();
			}

			return reply.isInTouch;
		} catch (error) {
			if (!(error instanceof CodedError)) {
				throw error;
			}

			this.#unresponsiveUntil.set(address, clock.now() + unresponsiveMs);
			if (this.#current !== undefined) {
				logger.log(events.viewStale, {coordinator: address, code: error.code, ageMs: Math.round(this.ageMs)});
			}

			return false;
		}
	}

	#logRegained(address: string): void {
		if (this.#current === undefined) {
			const {ageMs} = this;
			this.#options.logger.log(events.viewRegained, {coordinator: address, ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined});
		}
	}
}
