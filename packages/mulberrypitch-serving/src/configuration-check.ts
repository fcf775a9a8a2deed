/** Validates a serving configuration. */
import {BadRequestError} from '@mulberrypitch/errors/catalogue';
import {getHeaderForms, isHeaderText} from '@mulberrypitch/lifecycle/header-text';
import type {Route, ServingConfiguration, Workspace} from './types.js';

/**
Throws `BadRequestError`, which names the first fault, if the configuration is invalid.

@example
```
validateServingConfiguration(configuration);
```
*/
export function validateServingConfiguration({routes, services, workspaces = []}: ServingConfiguration): void {
	const serviceNames = new Set(services.map(({name}) => name));
	if (serviceNames.size < services.length) {
		throw new BadRequestError('Two services have the same name.');
	}

	const seenPrefixes = new Set<string>();
	for (const route of routes) {
		validateRoute(route, serviceNames);
		const hostAndPrefix = `${route.host} ${route.pathPrefix}`;
		if (seenPrefixes.has(hostAndPrefix)) {
			throw new BadRequestError(`Two routes share host and prefix ${hostAndPrefix}.`);
		}

		seenPrefixes.add(hostAndPrefix);
	}

	validateWorkspaceNames(workspaces);
	validateKeys(workspaces);
}

function validateRoute({name, targets, timeoutMs, pathPrefix}: Route, serviceNames: ReadonlySet<string>): void {
	const unknown = targets.find(({service}) => !serviceNames.has(service));
	if (unknown !== undefined) {
		throw new BadRequestError(`Route ${name} names service ${unknown.service}, which is not defined.`);
	}

	if (targets.some(({weight}) => weight < 0) || targets.reduce((sum, {weight}) => sum + weight, 0) <= 0) {
		throw new BadRequestError(`The weights of route ${name} must not be negative and must add up to more than zero.`);
	}

	if (timeoutMs <= 0) {
		throw new BadRequestError(`Route ${name} must have a timeout of more than zero.`);
	}

	if (!pathPrefix.startsWith('/') || !pathPrefix.endsWith('/')) {
		throw new BadRequestError(`Prefix ${pathPrefix} of route ${name} must begin and end with a slash.`);
	}
}

/** Checks that back ends can be told the names of workspaces, which they get in a header. */
function validateWorkspaceNames(workspaces: readonly Workspace[]): void {
	const unsendable = workspaces.find(({name}) => !isHeaderText(name));
	if (unsendable !== undefined) {
		throw new BadRequestError(`The name ${JSON.stringify(unsendable.name)} of a workspace has control characters or blanks at an end, which no header can carry.`);
	}
}

/** Checks that no key leads to two workspaces, whichever encoding its sender uses. */
function validateKeys(workspaces: readonly Workspace[]): void {
	const owners = new Map<string, string>();
	for (const {name, keys} of workspaces) {
		for (const form of keys.flatMap(key => getHeaderForms(key))) {
			const owner = owners.get(form);
			if (owner !== undefined && owner !== name) {
				throw new BadRequestError(`Workspaces ${owner} and ${name} share a key.`);
			}

			owners.set(form, name);
		}
	}
}
