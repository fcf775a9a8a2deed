/** `mulberrypitch config check|apply|show|status`: validates, applies and shows the shared configuration. */
import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import type {CAC} from 'cac';
import {SettingsError} from '@mulberrypitch/errors/catalogue';
import {
	createConfigurationTexts, getConfigurationDigest, listEffectiveValues, validateSharedConfiguration, type ConfigurationTexts,
} from '@mulberrypitch/config/shared-configuration';
import type {
	ConfigurationChange, ConfigurationRevision, NodeConfiguration, ReplicaStatus,
} from '@mulberrypitch/control/types';
import {callOperatorApi} from '../operator-client.js';
import {
	addOperatorApiOptions, getSiteName, parseOperatorEndpoint, readTextFile, type OperatorApiOptions,
} from '../options.js';
import {writeJson, writeLine, writeTable} from '../output.js';

type ConfigOptions = OperatorApiOptions & {
	readonly expect?: number;
	readonly changeId?: string;
	readonly operator?: string;
	readonly site?: string;
};

/**
Adds the `config` command to the program.

@example
```
addConfigCommand(program);
```
*/
export function addConfigCommand(program: CAC): void {
	const command = program.command('config <action> [...files]', 'Check, apply or show the shared configuration: check|apply base.ini [site.ini ...], show, status');
	addOperatorApiOptions(command)
		.option('--expect <revision>', 'Revision that the change is based on')
		.option('--change-id <id>', 'Identifier to send again after a lost answer')
		.option('--operator <name>', 'Name to record')
		.option('--site <site>', 'Show the effective values of one site')
		.action(async (action: string, files: string[], options: ConfigOptions) => runAction(action, files, options));
}

async function runAction(action: string, files: string[], options: ConfigOptions): Promise<void> {
	switch (action) {
		case 'check': {
			checkFiles(files, options);
			return;
		}

		case 'apply': {
			return applyFiles(files, options);
		}

		case 'show': {
			return showConfiguration(options);
		}

		case 'status': {
			return showStatus(options);
		}

		default: {
			throw new SettingsError(`"${action}" is not an action of config.`, 'Use check, apply, show or status.');
		}
	}
}

function checkFiles(files: string[], options: ConfigOptions): void {
	for (const texts of readConfigurationTexts(files)) {
		const digest = getConfigurationDigest(validateSharedConfiguration(texts));
		const site = texts.overlay === undefined ? '(base)' : getSiteName(texts.overlay.file);
		if (options.json === true) {
			writeJson({site, digest, values: listEffectiveValues(texts)});
			continue;
		}

		writeLine(`site ${site}, digest ${digest}`);
		writeValues(texts);
	}
}

function writeValues(texts: ConfigurationTexts): void {
	writeTable(['section', 'key', 'value', 'set by'], listEffectiveValues(texts).map(({section, key, value, file}) =>
		[section, key, key.includes('sha256') ? `${value.slice(0, 8)}…` : value, file]));
}

async function applyFiles(files: string[], options: ConfigOptions): Promise<void> {
	const texts = readConfigurationTexts(files);
	for (const siteTexts of texts) {
		validateSharedConfiguration(siteTexts);
	}

	const endpoint = parseOperatorEndpoint(options);
	const expectedRevision = options.expect ?? await fetchRevision(options);
	const changeId = options.changeId ?? randomUUID();
	const accepted = await callOperatorApi<ConfigurationChange>(endpoint, 'POST', '/v1/admin/configuration', {
		changeId,
		expectedRevision,
		operator: options.operator ?? userInfo().username,
		base: texts[0]!.base.text,
		overlays: Object.fromEntries(texts.flatMap(({overlay}) => overlay === undefined ? [] : [[getSiteName(overlay.file), overlay.text]])),
	});
	if (options.json === true) {
		writeJson({revision: accepted.revision, digest: accepted.digest, changeId});
		return;
	}

	writeLine(`Revision ${accepted.revision} accepted, digest ${accepted.digest}, change ${changeId}.`);
}

async function showConfiguration(options: ConfigOptions): Promise<void> {
	const {configuration} = await callOperatorApi<{configuration?: ConfigurationRevision}>(parseOperatorEndpoint(options), 'GET', '/v1/admin/configuration');
	if (options.site !== undefined && configuration !== undefined) {
		showSite(configuration, options.site, options);
		return;
	}

	if (options.json === true) {
		writeJson(configuration ?? {revision: 0});
		return;
	}

	writeLine(configuration === undefined ? 'No configuration was accepted yet.' : `Revision ${configuration.revision} by ${configuration.operator}\n\n${configuration.files.base}`);
}

function showSite(configuration: ConfigurationRevision, site: string, options: ConfigOptions): void {
	const texts = createConfigurationTexts(configuration.files, site);
	const digest = getConfigurationDigest(validateSharedConfiguration(texts));
	if (options.json === true) {
		writeJson({
			revision: configuration.revision, site, digest, values: listEffectiveValues(texts),
		});
		return;
	}

	writeLine(`revision ${configuration.revision}, site ${site}, digest ${digest}`);
	writeValues(texts);
}

async function showStatus(options: ConfigOptions): Promise<void> {
	const {leader} = await callOperatorApi<{leader?: ReplicaStatus}>(parseOperatorEndpoint(options), 'GET', '/v1/admin/status');
	const nodes = leader?.nodes ?? [];
	if (options.json === true) {
		writeJson(nodes);
		return;
	}

	writeTable(['node', 'site', 'revision', 'digest', 'age ms', 'state'], nodes.map(node =>
		[node.node, node.site, node.revision, node.digest.slice(0, 12), node.ageMs, formatState(node)]));
}

function formatState(node: NodeConfiguration): string {
	return node.digest === node.expectedDigest ? 'in force' : `MISMATCH, expected ${node.expectedDigest.slice(0, 12)}`;
}

async function fetchRevision(options: ConfigOptions): Promise<number> {
	const {configuration} = await callOperatorApi<{configuration?: ConfigurationRevision}>(parseOperatorEndpoint(options), 'GET', '/v1/admin/configuration');
	return configuration?.revision ?? 0;
}

/** Returns the base alone, followed by the base with each overlay. */
function readConfigurationTexts(files: string[]): ConfigurationTexts[] {
	const [baseFile, ...overlayFiles] = files;
	if (baseFile === undefined) {
		throw new SettingsError('No base file was given.', 'Give base.ini first, then the overlays.');
	}

	const base = {file: baseFile, text: readTextFile(baseFile)};
	return [{base}, ...overlayFiles.map(file => ({base, overlay: {file, text: readTextFile(file)}}))];
}
