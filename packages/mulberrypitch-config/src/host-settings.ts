/** Schema, loader and validator of the settings file of one host. */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import * as z from 'zod';
import {SettingsError} from '@mulberrypitch/errors/catalogue';
import {hostDefaults} from './defaults.js';
import {createUnknownNameError, parseSection, parseSections} from './ini-file.js';
import {
	hostRoles, type HostRole, type HostSettings, type ReplicaAddress,
} from './types.js';

const nameSchema = z.string().regex(/^[\w.\-]{1,64}$/v, 'use letters, digits, dot and dash');
const addressSchema = z.string().regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[\da-f:]+\]:\d{1,5}$/v, 'use an IP number and a port, like 127.0.0.1:8080');

const hostSchema = z.strictObject({
	name: nameSchema,
	site: nameSchema.default(hostDefaults.site),
	zone: nameSchema.default(hostDefaults.zone),
	region: nameSchema.default(hostDefaults.region),
	roles: z.string().default(hostDefaults.roles),
	data: z.string().optional(),
	'stop-timeout-seconds': z.coerce.number().int().min(1).max(3600).optional(),
});
const listenSchema = z.strictObject({
	http: addressSchema.default(hostDefaults.http),
	peer: addressSchema.default(hostDefaults.peer),
	public: z.url().optional(),
	'entries-ttl-seconds': z.coerce.number().int().min(1).max(3600).default(Number(hostDefaults.entriesTtlSeconds)),
});
const controlSchema = z.strictObject({
	group: nameSchema.default(hostDefaults.group),
	replicas: z.string(),
});
const securitySchema = z.strictObject({
	'peer-secret-file': z.string().optional(),
	'operator-token-file': z.string().optional(),
	'backend-token-file': z.string().optional(),
});
const tlsSchema = z.strictObject({key: z.string(), cert: z.string(), ca: z.string()});
const logSchema = z.strictObject({level: z.enum(['debug', 'info', 'warn', 'error']).default(hostDefaults.logLevel)});

const knownSections = ['host', 'listen', 'control', 'security', 'tls', 'log'];

/**
Loads and validates the settings file of a host. Throws a `SettingsError` that names the file, section and key, and how to fix
them.

@example
```
const settings = loadHostSettings('host.ini');
```
*/
export function loadHostSettings(file: string): HostSettings {
	return validateHostSettings(readText(file), file);
}

/**
Validates the text of a settings file and returns the settings, with defaults filled in. File names in the text are relative to
the folder of `file`. Throws `SettingsError`.

@example
```
const settings = validateHostSettings('[host]\nname = a', 'host.ini');
```
*/
export function validateHostSettings(text: string, file: string): HostSettings {
	const sections = parseSections(text, file);
	for (const section of Object.keys(sections)) {
		if (!knownSections.includes(section)) {
			throw createUnknownNameError(`section [${section}]`, section, knownSections, file);
		}
	}

	const host = parseSection(hostSchema, sections.host ?? {}, file, 'host');
	const listen = parseSection(listenSchema, sections.listen ?? {}, file, 'listen');
	const control = parseSection(controlSchema, sections.control ?? {}, file, 'control');
	const security = parseSection(securitySchema, sections.security ?? {}, file, 'security');
	const log = parseSection(logSchema, sections.log ?? {}, file, 'log');
	const folder = path.dirname(file);
	const roles = parseRoles(host.roles, file);
	if (roles.includes(hostRoles.control) && host.data === undefined) {
		throw new SettingsError(`${file}: a control host needs a data folder.`, 'Set "data" in section [host].');
	}

	const isLoopback = [listen.http, listen.peer].every(value => value.startsWith('127.') || value.startsWith('[::1]'));
	const readSecret = (key: keyof typeof security) => loadSecret(security[key], {
		folder, file, key, isLoopback,
	});
	return {
		name: host.name,
		site: host.site,
		zone: host.zone,
		region: host.region,
		roles,
		...(host.data !== undefined && {dataFolder: path.resolve(folder, host.data)}),
		...(host['stop-timeout-seconds'] !== undefined && {stopTimeoutSeconds: host['stop-timeout-seconds']}),
		httpListen: listen.http,
		peerListen: listen.peer,
		publicAddress: listen.public ?? `http://${listen.http}`,
		group: control.group,
		replicas: parseReplicas(control.replicas, file),
		peerSecret: readSecret('peer-secret-file'),
		operatorToken: readSecret('operator-token-file'),
		backendToken: readSecret('backend-token-file'),
		...(sections.tls !== undefined && {tls: loadCertificates(parseSection(tlsSchema, sections.tls, file, 'tls'), folder)}),
		logLevel: log.level,
		entriesTtlSeconds: listen['entries-ttl-seconds'],
	};
}

function parseRoles(value: string, file: string): HostRole[] {
	const known = Object.values(hostRoles);
	return splitList(value).map(role => {
		const found = known.find(candidate => candidate === role);
		if (found === undefined) {
			throw createUnknownNameError(`role "${role}"`, role, known, file);
		}

		return found;
	});
}

function parseReplicas(value: string, file: string): ReplicaAddress[] {
	return splitList(value).map(item => {
		const [replicaName, replicaAddress] = item.split('=');
		if (!nameSchema.safeParse(replicaName).success || !addressSchema.safeParse(replicaAddress).success) {
			throw new SettingsError(`${file}: section [control], key "replicas" can't hold "${item}".`, 'Write each replica as name=ip:port, with commas between.');
		}

		return {name: replicaName!, address: replicaAddress!};
	});
}

/**
Splits a comma-separated list, trims its items and drops empty ones.

@example
```
splitList('a, b'); // ['a', 'b']
```
*/
export function splitList(value: string): string[] {
	return value.split(',').map(item => item.trim()).filter(item => item !== '');
}

function loadSecret(secretFile: string | undefined, options: {folder: string; file: string; key: string; isLoopback: boolean}): string {
	if (secretFile !== undefined) {
		return readText(path.resolve(options.folder, secretFile)).trim();
	}

	if (options.isLoopback) {
		return hostDefaults.loopbackSecret;
	}

	throw new SettingsError(`${options.file}: a host that listens beyond loopback needs "${options.key}".`, `Set "${options.key}" in section [security].`);
}

function loadCertificates(files: {key: string; cert: string; ca: string}, folder: string): {key: string; cert: string; ca: string} {
	return {
		key: readText(path.resolve(folder, files.key)),
		cert: readText(path.resolve(folder, files.cert)),
		ca: readText(path.resolve(folder, files.ca)),
	};
}

function readText(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw new SettingsError(`${file} can't be read: ${getMessage(error)}.`, 'Check the file name and its permissions.');
	}
}
