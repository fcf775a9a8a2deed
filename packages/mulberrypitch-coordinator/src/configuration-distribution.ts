/** Encodes configurations once for all entries and hands them out in parts. */
import {Buffer} from 'node:buffer';
import {NotFoundError, ProtocolError} from '@mulberrypitch/errors/catalogue';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {createDelta, createWholeDelta, type DigestedConfiguration} from '@mulberrypitch/serving/configuration-delta';
import {encodeDelta, getDigest} from '@mulberrypitch/serving/configuration-encoding';
import type {ConfigurationPart, ConfigurationPartRequest} from '@mulberrypitch/serving/configuration-messages';
import type {ServingConfiguration} from '@mulberrypitch/serving/types';
import type {Schema} from '@mulberrypitch/transport/types';

/** Maximum size of a part in bytes. The slowest link carries it in 40 ms, for which a poll may have to wait. */
export const maxPartBytes = 16 * 1024;
/** Number of versions that are held: the newest one, and earlier ones that entries may still read. */
const maxHeldVersions = 17;
/** Number of encoded forms that are kept. */
const maxEncodedForms = 32;

/** Dependencies of the distribution. */
export type ConfigurationDistributionOptions = {
	readonly logger: Logger;
	readonly metrics: MetricsRegistry;
};

type EncodedForm = {
	readonly baseVersion: number;
	readonly bytes: Uint8Array;
	readonly digest: string;
};

/** Schema of the request for a part. */
export const partRequestSchema: Schema<ConfigurationPartRequest> = {
	parse(value) {
		const {version, baseVersion, offset} = assumeType<Partial<Record<string, unknown>>>(value ?? {});
		if ([version, baseVersion, offset].some(number => !Number.isSafeInteger(number) || Number(number) < 0)) {
			throw new ProtocolError('A request for a part of a configuration is malformed.');
		}

		return assumeType<ConfigurationPartRequest>(value);
	},
};

/** The last configurations of a coordinator and their encoded forms. */
export class ConfigurationDistribution {
	readonly #options: ConfigurationDistributionOptions;
	/** Configurations by version, the oldest first. */
	readonly #held = new Map<number, DigestedConfiguration>();
	/** Encoded forms by version and requested base version, the oldest first. */
	readonly #encoded = new Map<string, EncodedForm>();
	#newest = 0;

	constructor(options: ConfigurationDistributionOptions) {
		this.#options = options;
	}

	/** Version of the newest configuration; zero before the first one. */
	get version(): number {
		return this.#newest;
	}

	/** Adds the newest configuration. */
	add(configuration: ServingConfiguration): void {
		this.#held.set(configuration.version, {configuration, digest: getDigest(JSON.stringify(configuration))});
		this.#newest = configuration.version;
		removeOldest(this.#held, maxHeldVersions);
	}

	/** Returns a part of an encoded configuration, which is empty at its end. Throws `NotFoundError` if the version is not held. */
	getPart({version, baseVersion, offset}: ConfigurationPartRequest): ConfigurationPart {
		const form = this.#getForm(version, baseVersion);
		const data = Buffer.from(form.bytes.subarray(offset, offset + maxPartBytes));
		const labels = {form: form.baseVersion === 0 ? 'whole' : 'delta'};
		this.#options.metrics.count('mulberrypitch_coordinator_configuration_bytes_total', 'Bytes of encoded configurations that were handed out.', labels, data.length);
		return {
			version, baseVersion: form.baseVersion, totalBytes: form.bytes.length, digest: form.digest, offset, data: data.toString('base64'),
		};
	}

	#getForm(version: number, baseVersion: number): EncodedForm {
		const target = this.#held.get(version);
		if (target === undefined) {
			throw new NotFoundError(`This coordinator does not hold version ${version} of the configuration.`, 'Poll the coordinator for the newest version.');
		}

		const base = this.#held.has(baseVersion) && baseVersion < version ? baseVersion : 0;
		const key = `${version} ${base}`;
		const known = this.#encoded.get(key);
		if (known !== undefined) {
			return known;
		}

		const form = this.#encode(target, this.#held.get(base));
		this.#encoded.set(key, form);
		removeOldest(this.#encoded, maxEncodedForms);
		return form;
	}

	#encode(target: DigestedConfiguration, base: DigestedConfiguration | undefined): EncodedForm {
		const delta = (base === undefined ? undefined : createDelta(base, target)) ?? createWholeDelta(target);
		const bytes = encodeDelta(delta);
		const {baseVersion} = delta.header;
		this.#options.logger.log(events.configurationEncoded, {
			version: target.configuration.version, baseVersion, bytes: bytes.length, routes: target.configuration.routes.length,
		});
		return {baseVersion, bytes, digest: getDigest(bytes)};
	}
}

/** Removes the entries of a map that were added first, down to a number of them. */
function removeOldest<Key>(map: Map<Key, unknown>, maxSize: number): void {
	for (const key of map.keys()) {
		if (map.size <= maxSize) {
			return;
		}

		map.delete(key);
	}
}
