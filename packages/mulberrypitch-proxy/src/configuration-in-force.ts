/** The configuration in force at an entry, and how newer ones come into force. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {RouteTable} from '@mulberrypitch/serving/route-table';
import type {ConfigurationDecoder, ServingConfiguration} from '@mulberrypitch/serving/types';
import type {StoredConfiguration, ViewReply, ViewRequest} from '@mulberrypitch/serving/view-messages';
import type {Transport} from '@mulberrypitch/transport/types';
import {ConfigurationReader} from './configuration-reader.js';

/** Dependencies of the configuration in force. */
export type ConfigurationInForceOptions = {
	readonly transport: Transport;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: MetricsRegistry;
	/** Decodes the documents of coordinators of an earlier version. */
	readonly decode: ConfigurationDecoder;
	/** Returns the coordinator that is polled now, or `undefined` before the first reply. */
	readonly getCoordinator: () => string | undefined;
	/** Called when a newer configuration is in force. */
	readonly onChange: (configuration: ServingConfiguration) => void;
	/** Called when a configuration that took several calls is in force, of which the poll in progress says nothing. */
	readonly onTransferred: () => void;
};

/** Takes configurations from the replies to polls, whole or in parts. Within one process, the version in force never decreases. */
export class ConfigurationInForce implements Resource {
	readonly #options: ConfigurationInForceOptions;
	readonly #reader: ConfigurationReader;
	#table: RouteTable | undefined;

	constructor(options: ConfigurationInForceOptions) {
		this.#options = options;
		this.#reader = new ConfigurationReader({
			...options,
			getConfiguration: () => this.#table?.configuration,
			onConfiguration: configuration => {
				this.#replace(configuration);
			},
		});
	}

	/** Index of the configuration in force; absent before the first one. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	/** Version in force; zero before the first one. */
	get version(): number {
		return this.#table?.configuration.version ?? 0;
	}

	/** Returns the fields of the next poll that state which configurations the entry has and reads. */
	createPollFields(): Pick<ViewRequest, 'configurationVersion' | 'readsParts' | 'readingVersion'> {
		return {configurationVersion: this.version, ...this.#reader.createPollFields()};
	}

	/** Starts to read in parts what polls offer. */
	start(): void {
		this.#reader.start();
	}

	async dispose(): Promise<void> {
		await this.#reader.dispose();
	}

	/** Takes the configuration of a reply if it is newer. One that comes in one part is in force when the method returns. */
	apply({configuration, configurationPart}: Pick<ViewReply, 'configuration' | 'configurationPart'>): void {
		if (configuration !== undefined) {
			this.#applyDocument(configuration);
		}

		if (configurationPart !== undefined) {
			this.#reader.offer(configurationPart);
		}
	}

	/** Applies the document that a coordinator of an earlier version sends. */
	#applyDocument({version, document}: StoredConfiguration): void {
		if (version > this.version) {
			this.#replace(this.#options.decode(document));
			this.#options.logger.log(events.configurationInForce, {version});
		}
	}

	#replace(configuration: ServingConfiguration): void {
		if (configuration.version > this.version) {
			this.#table = new RouteTable(configuration);
			this.#options.onChange(configuration);
		}
	}
}
