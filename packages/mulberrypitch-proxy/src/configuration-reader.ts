/** Reads configurations from the coordinators in parts, beside the polls. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {NotFoundError, ProtocolError, codes} from '@mulberrypitch/errors/catalogue';
import {getMessage, hasCode} from '@mulberrypitch/errors/coded-error';
import {BackgroundTask, Notification} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore, type Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {applyDelta, type ConfigurationDelta} from '@mulberrypitch/serving/configuration-delta';
import {countBlocks, decodeDelta} from '@mulberrypitch/serving/configuration-encoding';
import {configurationMethod, type ConfigurationPart, type ConfigurationPartRequest} from '@mulberrypitch/serving/configuration-messages';
import type {ServingConfiguration} from '@mulberrypitch/serving/types';
import type {ViewRequest} from '@mulberrypitch/serving/view-messages';
import type {Address, Transport} from '@mulberrypitch/transport/types';
import {ConfigurationTransfer} from './configuration-transfer.js';

/** Dependencies of a reader. */
export type ConfigurationReaderOptions = {
	readonly transport: Transport;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: MetricsRegistry;
	/** Returns the coordinator that is polled now, or `undefined` before the first reply. */
	readonly getCoordinator: () => Address | undefined;
	/** Returns the configuration in force, or `undefined` before the first one. */
	readonly getConfiguration: () => ServingConfiguration | undefined;
	/** Puts a newer configuration in force. */
	readonly onConfiguration: (configuration: ServingConfiguration) => void;
	/** Called when a configuration that took several calls is in force, of which the poll in progress says nothing. */
	readonly onTransferred: () => void;
};

/** Timeout in milliseconds of the call for one part. It exceeds that of a poll, so that polls decide which coordinator is asked. */
const partTimeoutMs = 600;
/** Pause in milliseconds after a failed call. */
const retryPauseMs = 50;
/** Number of refusals by coordinators in a row after which a transfer is dropped, so that a poll offers the newest version again. */
const maxRefusals = 3;
/** Time in milliseconds for which a whole configuration that can't be used is not read again, and polls ask only for newer ones. */
const rejectedPauseMs = 1000;

/** Puts the newest configuration in force that a poll has offered. */
export class ConfigurationReader implements Resource {
	readonly #options: ConfigurationReaderOptions;
	readonly #resources = new DisposableStore();
	readonly #started = new Notification();
	#transfer: ConfigurationTransfer | undefined;
	/** Newest version offered since the last time that no transfer was in progress. */
	#offeredVersion = 0;
	/** Whether the transfer in progress replaced one that was dropped. It is then not dropped in turn, so that frequent versions don't keep the entry from all of them. */
	#hasDropped = false;
	/** Version in force when the last poll was sent. */
	#polledVersion = 0;
	#failures = 0;
	#refusals = 0;
	/** Monotonic time in milliseconds at which the transfer began. */
	#startedAt = 0;
	/** Version and digest of the last configuration that was put in force here. */
	#known = {version: 0, digest: ''};
	/** Version of the last whole configuration that could not be used, and the monotonic time in milliseconds of its rejection. */
	#rejected = {version: 0, at: Number.NEGATIVE_INFINITY};

	constructor(options: ConfigurationReaderOptions) {
		this.#options = options;
		const {metrics} = options;
		metrics.gauge('mulberrypitch_entry_transfer_version', 'Version of the configuration that is being read; zero for none.', () => this.#transfer?.version ?? 0);
		metrics.gauge('mulberrypitch_entry_transfer_received_bytes', 'Bytes that have arrived of the configuration that is being read.', () => this.#transfer?.receivedBytes ?? 0);
		metrics.gauge('mulberrypitch_entry_transfer_total_bytes', 'Size of the configuration that is being read.', () => this.#transfer?.totalBytes ?? 0);
	}

	/** Returns the fields of the next poll that state what the entry reads. */
	createPollFields(): Pick<ViewRequest, 'readsParts' | 'readingVersion'> {
		this.#polledVersion = this.#versionInForce;
		const readingVersion = Math.max(this.#transfer === undefined ? 0 : this.#offeredVersion, this.#unusableVersion);
		return {readsParts: true, ...(readingVersion > 0 && {readingVersion})};
	}

	/** Starts to read what polls offer. */
	start(): void {
		this.#resources.add(new BackgroundTask(async signal => this.#run(signal), error => {
			this.#options.logger.log(events.taskFailed, {task: 'configuration', reason: getMessage(error)});
		}));
	}

	async dispose(): Promise<void> {
		await this.#resources.dispose();
	}

	/** Takes the first part of a newer version, which a poll has brought. A small configuration is in force when the method returns. */
	offer(part: ConfigurationPart): void {
		if (part.version <= Math.max(this.#versionInForce, this.#offeredVersion, this.#unusableVersion)) {
			return;
		}

		this.#offeredVersion = part.version;
		const previous = this.#transfer;
		if (previous !== undefined && (this.#hasDropped || previous.isMostlyDone)) {
			return;
		}

		this.#hasDropped = previous !== undefined;
		if (this.#versionInForce !== this.#polledVersion || !this.#isUsable(part.baseVersion)) {
			this.#begin(part.version, this.#known.version === this.#versionInForce ? this.#known.version : 0);
			return;
		}

		const transfer = this.#begin(part.version, part.baseVersion);
		try {
			transfer.add(part);
			const bytes = transfer.isComplete ? transfer.concatenate() : undefined;
			if (bytes !== undefined && countBlocks(bytes) === 1) {
				this.#apply(transfer, runToEnd(decodeDelta(bytes)));
				return;
			}
		} catch (error) {
			this.#reject(transfer, error);
		}

		this.#logStart();
	}

	get #versionInForce(): number {
		return this.#options.getConfiguration()?.version ?? 0;
	}

	/** Version that was rejected a short time ago; zero if there is none. */
	get #unusableVersion(): number {
		const {version, at} = this.#rejected;
		return this.#options.clock.now() - at < rejectedPauseMs ? version : 0;
	}

	/** Reports whether changes since a version can be applied. */
	#isUsable(baseVersion: number): boolean {
		return baseVersion === 0 || (baseVersion === this.#versionInForce && baseVersion === this.#known.version);
	}

	#begin(version: number, baseVersion: number): ConfigurationTransfer {
		this.#transfer = new ConfigurationTransfer(version, baseVersion);
		this.#startedAt = this.#options.clock.now();
		this.#failures = 0;
		this.#refusals = 0;
		this.#started.notify();
		return this.#transfer;
	}

	#drop(): void {
		this.#transfer = undefined;
		this.#offeredVersion = 0;
		this.#hasDropped = false;
	}

	async #run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const transfer = this.#transfer;
			if (transfer === undefined) {
				await this.#started.wait(signal);
			} else if (transfer.version <= this.#versionInForce) {
				// A coordinator of an earlier version has sent the whole document in the meantime.
				this.#drop();
			} else if (transfer.isComplete) {
				await this.#finish(transfer);
			} else {
				await this.#readPart(transfer, signal);
			}
		}
	}

	async #readPart(transfer: ConfigurationTransfer, signal: AbortSignal): Promise<void> {
		const {transport, clock, getCoordinator} = this.#options;
		const address = getCoordinator();
		if (address === undefined) {
			await clock.sleep(retryPauseMs, signal);
			return;
		}

		const request: ConfigurationPartRequest = {version: transfer.version, baseVersion: transfer.baseVersion, offset: transfer.receivedBytes};
		try {
			const part = await transport.call<ConfigurationPart>(address, configurationMethod, request, {timeoutMs: partTimeoutMs});
			if (transfer === this.#transfer) {
				transfer.add(part);
				this.#failures = 0;
				this.#refusals = 0;
			}
		} catch (error) {
			if (transfer === this.#transfer) {
				this.#recordFailure(transfer, address, error);
				await clock.sleep(retryPauseMs, signal);
			}
		}
	}

	/** Counts a failed call. A coordinator that can't be reached is left by the polls; one that refuses may lack the version or the method. */
	#recordFailure(transfer: ConfigurationTransfer, coordinator: Address, error: unknown): void {
		this.#failures += 1;
		const isRefusal = !hasCode(error, codes.timeout) && !hasCode(error, codes.peerUnreachable);
		this.#refusals = isRefusal ? this.#refusals + 1 : 0;
		if (this.#failures === 1) {
			this.#options.logger.log(events.transferInterrupted, {
				version: transfer.version, coordinator, receivedBytes: transfer.receivedBytes, totalBytes: transfer.totalBytes, reason: getMessage(error),
			});
		}

		if (this.#refusals >= maxRefusals) {
			this.#drop();
		}
	}

	/** Decodes a complete transfer, one block in each turn of the event loop, so that requests of callers don't wait for it. */
	async #finish(transfer: ConfigurationTransfer): Promise<void> {
		try {
			const steps = decodeDelta(transfer.concatenate());
			let step = steps.next();
			while (!step.done) {
				await nextTurn();
				step = steps.next();
			}

			if (transfer === this.#transfer && transfer.version > this.#versionInForce) {
				this.#apply(transfer, step.value);
				this.#options.onTransferred();
			}
		} catch (error) {
			if (transfer === this.#transfer) {
				this.#reject(transfer, error);
			}
		}
	}

	#apply(transfer: ConfigurationTransfer, delta: ConfigurationDelta): void {
		const {clock, logger, getConfiguration, onConfiguration} = this.#options;
		const {header} = delta;
		if (header.settings.version !== transfer.version || header.baseVersion !== transfer.baseVersion) {
			throw new ProtocolError(`Version ${header.settings.version} on base ${header.baseVersion} is encoded in place of ${transfer.version} on base ${transfer.baseVersion}.`);
		}

		if (header.baseVersion !== 0 && (header.baseDigest !== this.#known.digest || header.baseVersion !== this.#versionInForce)) {
			throw new NotFoundError(`The configuration in force is not the version ${header.baseVersion} that the change applies to.`, 'The whole configuration is read.');
		}

		onConfiguration(applyDelta(delta, getConfiguration()));
		this.#known = {version: transfer.version, digest: header.digest};
		logger.log(events.configurationInForce, {
			version: transfer.version, baseVersion: transfer.baseVersion, bytes: transfer.totalBytes, transferMs: Math.round(clock.now() - this.#startedAt),
		});
		const newest = this.#offeredVersion;
		this.#drop();
		if (newest > transfer.version) {
			this.#offeredVersion = newest;
			this.#begin(newest, transfer.version);
			this.#logStart();
		}
	}

	/** Reads the whole configuration after changes that can't be used. After a whole one, polls offer the newest version again when the pause is over. */
	#reject(transfer: ConfigurationTransfer, error: unknown): void {
		const {version, baseVersion} = transfer;
		this.#options.logger.log(events.configurationRejected, {version, baseVersion, reason: getMessage(error)});
		if (baseVersion === 0) {
			this.#rejected = {version, at: this.#options.clock.now()};
			this.#drop();
		} else {
			this.#begin(version, 0);
		}
	}

	#logStart(): void {
		const {version, baseVersion, totalBytes} = this.#transfer ?? {};
		if (version !== undefined) {
			this.#options.logger.log(events.transferStarted, {version, baseVersion, totalBytes});
		}
	}
}

function runToEnd<Value>(steps: Generator<void, Value>): Value {
	let step = steps.next();
	while (!step.done) {
		step = steps.next();
	}

	return step.value;
}
