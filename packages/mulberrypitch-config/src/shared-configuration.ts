/** The configuration shared by all hosts: a base text and an optional overlay for each site. */
import {createHash} from 'node:crypto';
import * as z from 'zod';
import {SettingsError} from '@mulberrypitch/errors/catalogue';
import {
	reclaimDefaults, retryDefaults, serviceDefaults, workspaceDefaults,
} from './defaults.js';
import {splitList} from './host-settings.js';
import {
	createUnknownNameError, parseSection, parseSections, type Sections,
} from './ini-file.js';
import type {
	EffectiveValue, ServiceConfiguration, SharedConfiguration, Workspace,
} from './types.js';

const knownSections = ['service.NAME', 'workspace.NAME', 'retry', 'reclaim'];

const millisecondsSchema = z.coerce.number().int().min(1).max(86_400_000);
const serviceSchema = z.strictObject({
	kind: z.enum(['engine', 'plain']),
	'first-token-ms': millisecondsSchema.default(serviceDefaults['first-token-ms']),
	'between-tokens-ms': millisecondsSchema.default(serviceDefaults['between-tokens-ms']),
	'deadline-ms': millisecondsSchema.default(serviceDefaults['deadline-ms']),
	'queue-limit': z.coerce.number().int().min(1).default(serviceDefaults['queue-limit']),
	'idempotent-paths': z.string().default(serviceDefaults['idempotent-paths']),
});
const workspaceSchema = z.strictObject({
	'key-sha256': z.string().regex(/^[\da-f]{64}$/v, 'use 64 hex digits'),
	share: z.coerce.number().min(0.01).max(1000).default(workspaceDefaults.share),
	'max-in-flight': z.coerce.number().int().min(1).default(workspaceDefaults['max-in-flight']),
	services: z.string().default(workspaceDefaults.services),
});
const retrySchema = z.strictObject({
	'max-attempts': z.coerce.number().int().min(1).max(20).default(retryDefaults['max-attempts']),
	'budget-ratio': z.coerce.number().min(0).max(10).default(retryDefaults['budget-ratio']),
});
const reclaimSchema = z.strictObject({
	'cost-weight': z.coerce.number().min(0).default(reclaimDefaults['cost-weight']),
	'recompute-weight': z.coerce.number().min(0).default(reclaimDefaults['recompute-weight']),
});

/** An INI text and the file name that error messages use for it. */
export type NamedText = {
	readonly file: string;
	readonly text: string;
};

/** The base text and the overlay of one site, if it has one. */
export type ConfigurationTexts = {
	readonly base: NamedText;
	readonly overlay?: NamedText;
};

/** The texts of one configuration revision: the base, and overlays by site name. */
export type ConfigurationFiles = {
	readonly base: string;
	readonly overlays: Readonly<Record<string, string>>;
};

/**
Returns the texts that apply to one site: the base, and the overlay if the site has one.

@example
```
const texts = createConfigurationTexts(revision.files, 'palermo');
```
*/
export function createConfigurationTexts({base, overlays}: ConfigurationFiles, site: string): ConfigurationTexts {
	const overlay = Object.hasOwn(overlays, site) ? overlays[site] : undefined;
	return {
		base: {file: 'base', text: base},
		...(overlay !== undefined && {overlay: {file: site, text: overlay}}),
	};
}

/**
Validates the base alone and with each overlay, and returns one digest, SHA-256 in hex, over all resulting configurations. Throws
`SettingsError`, also for an overlay of an unknown site, unless `knownSites` is empty because no host has opened a session yet.

@example
```
const digest = validateConfigurationFiles(files, new Set(['palermo', 'catania']));
```
*/
export function validateConfigurationFiles(files: ConfigurationFiles, knownSites: ReadonlySet<string>): string {
	const digests = [['', getConfigurationDigest(validateSharedConfiguration({base: {file: 'base', text: files.base}}))]];
	for (const site of Object.keys(files.overlays).toSorted()) {
		if (knownSites.size > 0 && !knownSites.has(site)) {
			throw createUnknownNameError(`site "${site}"`, site, [...knownSites], site);
		}

		digests.push([site, getConfigurationDigest(validateSharedConfiguration(createConfigurationTexts(files, site)))]);
	}

	return createHash('sha256').update(JSON.stringify(digests)).digest('hex');
}

/**
Validates base and overlay and returns the effective configuration. Throws `SettingsError` for the first error found.

@example
```
const configuration = validateSharedConfiguration({base: {file: 'base.ini', text}});
```
*/
export function validateSharedConfiguration(texts: ConfigurationTexts): SharedConfiguration {
	const merged = mergeSections(texts);
	const services: ServiceConfiguration[] = [];
	const workspaces: Workspace[] = [];
	for (const [section, values] of Object.entries(merged.sections)) {
		const [sectionType, ...nameParts] = section.split('.');
		const name = nameParts.join('.');
		const file = merged.getFile(section);
		if (sectionType === 'service' && name !== '') {
			services.push(createService(name, parseSection(serviceSchema, values, file, section)));
		} else if (sectionType === 'workspace' && name !== '') {
			workspaces.push(createWorkspace(name, parseSection(workspaceSchema, values, file, section)));
		} else if (section !== 'retry' && section !== 'reclaim') {
			throw createUnknownNameError(`section [${section}]`, section, knownSections, file);
		}
	}

	validateServices(workspaces, services, texts.base.file);
	const retry = parseSection(retrySchema, merged.sections.retry ?? {}, merged.getFile('retry'), 'retry');
	const reclaim = parseSection(reclaimSchema, merged.sections.reclaim ?? {}, merged.getFile('reclaim'), 'reclaim');
	return {
		services,
		workspaces,
		retry: {maxAttempts: retry['max-attempts'], budgetRatio: retry['budget-ratio']},
		reclaim: {costWeight: reclaim['cost-weight'], recomputeWeight: reclaim['recompute-weight']},
	};
}

/**
Returns all values that the texts set, each with the file that it comes from: the overlay where it sets the key, else the base.
Defaults are not included.

@example
```
for (const {section, key, value, file} of listEffectiveValues(texts)) { … }
```
*/
export function listEffectiveValues(texts: ConfigurationTexts): EffectiveValue[] {
	const merged = mergeSections(texts);
	return Object.entries(merged.sections).flatMap(([section, values]) =>
		Object.entries(values).map(([key, value]) => ({
			section, key, value, file: merged.getFile(section, key),
		})));
}

/**
Returns the SHA-256 digest of an effective configuration in hex. Equal configurations have equal digests.

@example
```
const digest = getConfigurationDigest(configuration);
```
*/
export function getConfigurationDigest(configuration: SharedConfiguration): string {
	return createHash('sha256').update(JSON.stringify(configuration)).digest('hex');
}

/** The sections of base and overlay, merged key by key. */
type MergedSections = {
	readonly sections: Sections;
	/** Returns the name of the overlay file when the overlay sets the section or key, else that of the base file. */
	getFile(section: string, key?: string): string;
};

function mergeSections({base, overlay}: ConfigurationTexts): MergedSections {
	const baseSections = parseSections(base.text, base.file);
	const overlaySections = overlay === undefined ? {} : parseSections(overlay.text, overlay.file);
	const names = new Set([...Object.keys(baseSections), ...Object.keys(overlaySections)]);
	const sections: Record<string, Record<string, string>> = {};
	for (const name of [...names].toSorted()) {
		sections[name] = {...baseSections[name], ...overlaySections[name]};
	}

	return {
		sections,
		getFile(section, key) {
			const values = overlaySections[section];
			const isSetByOverlay = key === undefined ? values !== undefined : values?.[key] !== undefined;
			return isSetByOverlay ? overlay!.file : base.file;
		},
	};
}

function createService(name: string, values: z.infer<typeof serviceSchema>): ServiceConfiguration {
	return {
		name,
		kind: values.kind,
		firstTokenMs: values['first-token-ms'],
		betweenTokensMs: values['between-tokens-ms'],
		deadlineMs: values['deadline-ms'],
		queueLimit: values['queue-limit'],
		idempotentPaths: splitList(values['idempotent-paths']),
	};
}

function createWorkspace(name: string, values: z.infer<typeof workspaceSchema>): Workspace {
	return {
		name,
		keyDigest: values['key-sha256'],
		share: values.share,
		maxInFlight: values['max-in-flight'],
		services: splitList(values.services),
	};
}

function validateServices(workspaces: readonly Workspace[], services: readonly ServiceConfiguration[], file: string): void {
	const knownServices = services.map(service => service.name);
	for (const workspace of workspaces) {
		for (const service of workspace.services) {
			if (!knownServices.includes(service)) {
				throw createUnknownNameError(`service "${service}" of workspace "${workspace.name}"`, service, knownServices, file);
			}
		}
	}

	if (knownServices.length === 0) {
		throw new SettingsError(`${file}: no service is configured.`, 'Add a section [service.NAME].');
	}
}
