/** Clients of a run: operators that compete for the next revision, and callers that retry requests under one idempotency key. */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {codes} from '@mulberrypitch/errors/catalogue';
import type {Acceptance} from '@mulberrypitch/control/command-value';
import type {Command} from '@mulberrypitch/control/commands';
import type {CommandResult, ConfigurationRevision, Session} from '@mulberrypitch/control/types';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {getRandomBetween, type Random} from '@mulberrypitch/lifecycle/random';
import type {Checker} from './checker.js';
import type {SimulatedHost} from './simulated-host.js';

const retryDelayMs = 80;
const maxPauseMs = 300;

/** Dependencies that the clients of a run share. */
export type ClientOptions = {
	readonly hosts: readonly SimulatedHost[];
	readonly clock: Clock;
	readonly random: Random;
	readonly checker: Checker;
};

/** Proposes the commands of one client until its signal aborts. */
export class Client {
	readonly #options: ClientOptions;
	readonly #name: string;
	#count = 0;
	#session: Session | undefined;

	constructor(name: string, options: ClientOptions) {
		this.#name = name;
		this.#options = options;
	}

	/** Applies one configuration after another, each based on the latest revision seen. */
	async runOperator(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const expectedRevision = this.#readRevision();
			const changeId = this.#createId();
			const command: Command = {
				kind: 'applyConfiguration', changeId, expectedRevision, operator: this.#name, digest: changeId, files: {base: '', overlays: {}},
			};
			const result = await this.#proposeUntilAnswered(command, signal);
			if (result?.failure === undefined && result !== undefined) {
				const {revision} = assumeType<ConfigurationRevision>(result.value);
				this.#options.checker.recordChange({changeId, expectedRevision, revision});
				await this.#resend(command, signal);
			}

			await this.#pause(signal);
		}
	}

	/** Sends each request twice under one idempotency key, with a different request id the second time. */
	async runCaller(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const key = this.#createId();
			await this.#accept(key, `${key}-first`, signal);
			await this.#accept(key, `${key}-second`, signal);
			await this.#pause(signal);
		}
	}

	/** Sends an acknowledged change again. The checker requires that it gets the same revision. */
	async #resend(command: Command & {kind: 'applyConfiguration'}, signal: AbortSignal): Promise<void> {
		const repeated = await this.#proposeUntilAnswered(command, signal);
		if (repeated?.value !== undefined) {
			const {revision} = assumeType<ConfigurationRevision>(repeated.value);
			this.#options.checker.recordChange({changeId: command.changeId, expectedRevision: command.expectedRevision, revision});
		}
	}

	async #accept(key: string, requestId: string, signal: AbortSignal): Promise<void> {
		this.#session ??= await this.#openSession(signal);
		if (this.#session === undefined) {
			return;
		}

		const result = await this.#proposeUntilAnswered({
			kind: 'acceptRequest',
			requestId,
			customer: 'customer',
			service: 'service',
			digest: key,
			fingerprint: key,
			idempotencyKey: key,
			isIdempotent: true,
			holder: this.#name,
			holderEpoch: this.#session.epoch,
			entryTime: 0,
		}, signal);
		if (result?.value !== undefined) {
			this.#options.checker.recordRequest(key, assumeType<Acceptance>(result.value).request.requestId);
		}
	}

	async #openSession(signal: AbortSignal): Promise<Session | undefined> {
		const result = await this.#proposeUntilAnswered({
			kind: 'openSession', node: this.#name, incarnation: '1', peerAddress: 'p', publicAddress: 'p', zone: 'z', region: 'r', site: 's',
		}, signal);
		return assumeType<Session | undefined>(result?.value);
	}

	/** Sends a command to random hosts until one returns its result; a lost answer leads to a retry. */
	async #proposeUntilAnswered(command: Command, signal: AbortSignal): Promise<CommandResult | undefined> {
		const {hosts, random, clock} = this.#options;
		while (!signal.aborted) {
			const host = hosts[Math.floor(random.next() * hosts.length)]!;
			const result = await this.#tryPropose(host, command);
			if (result !== undefined) {
				return result;
			}

			await clock.sleep(retryDelayMs, signal);
		}

		return undefined;
	}

	async #tryPropose(host: SimulatedHost, command: Command): Promise<CommandResult | undefined> {
		if (host.isFrozen) {
			return undefined;
		}

		try {
			return await host.replica?.propose(command);
		} catch (error) {
			if (error instanceof CodedError && error.code !== codes.invariant) {
				return undefined;
			}

			throw error;
		}
	}

	#readRevision(): number {
		const {hosts, checker} = this.#options;
		const leader = hosts.find(host => host.replica?.hasLease());
		return leader?.state?.configuration?.revision ?? checker.lastRevision;
	}

	#createId(): string {
		this.#count += 1;
		return `${this.#name}-${this.#count}`;
	}

	async #pause(signal: AbortSignal): Promise<void> {
		await this.#options.clock.sleep(getRandomBetween(this.#options.random, 0, maxPauseMs), signal);
	}
}
