/** Digests of the effective configuration of each site. */
import {createConfigurationTexts, getConfigurationDigest, validateSharedConfiguration} from '@mulberrypitch/config/shared-configuration';
import type {ConfigurationRevision} from './types.js';

/** Computes the digest of each site at most once for each revision. */
export class EffectiveDigests {
	readonly #digests = new Map<string, string>();
	#revision = 0;

	/** Returns the digest of a site, or an empty string before the first revision. */
	get(configuration: ConfigurationRevision | undefined, site: string): string {
		if (configuration === undefined) {
			return '';
		}

		if (configuration.revision !== this.#revision) {
			this.#digests.clear();
			this.#revision = configuration.revision;
		}

		let digest = this.#digests.get(site);
		if (digest === undefined) {
			digest = getConfigurationDigest(validateSharedConfiguration(createConfigurationTexts(configuration.files, site)));
			this.#digests.set(site, digest);
		}

		return digest;
	}
}
