/** Changes between two serving configurations. */
import type {
	Route, ServiceProfile, ServingConfiguration, Workspace,
} from './types.js';

/** Items of a configuration that a delta sets, and keys of those that it removes. */
export type DeltaItems = {
	readonly services: readonly ServiceProfile[];
	readonly workspaces: readonly Workspace[];
	readonly routes: readonly Route[];
	readonly removedServices: readonly string[];
	readonly removedWorkspaces: readonly string[];
	readonly removedRoutes: readonly string[];
};

/** What a delta states beside the items: the fields of the configuration that are no lists, and how the lists are to be used. */
export type DeltaHeader = {
	/** Version that the delta applies to; zero if it contains the whole configuration. */
	readonly baseVersion: number;
	/** Digest of the configuration that the delta applies to; empty if it contains the whole configuration. */
	readonly baseDigest: string;
	/** Digest of the resulting configuration. The entry does not compute it: it keeps it and compares it with the `baseDigest` of a later delta. */
	readonly digest: string;
	/** Fields of the configuration that are no lists. */
	readonly settings: Omit<ServingConfiguration, 'routes' | 'services' | 'workspaces'>;
	/** Whether the configuration defines workspaces, of which it may then still have none. */
	readonly hasWorkspaces: boolean;
};

/** An item of one of the lists of a configuration. */
type Item = Route | ServiceProfile | Workspace;

/** A whole configuration, or the changes since an earlier one. */
export type ConfigurationDelta = {
	readonly header: DeltaHeader;
	readonly items: DeltaItems;
};

/** A configuration and the digest that identifies its content. */
export type DigestedConfiguration = {
	readonly configuration: ServingConfiguration;
	readonly digest: string;
};

/** Share of the items of a configuration from which on the whole configuration is sent instead of the changes. */
const maxChangedShare = 0.5;
/** JSON texts of the items that were compared, since each version is compared with several others. */
const texts = new WeakMap<Item, string>();

/**
Returns a delta that contains a whole configuration.

@example
```
const bytes = encodeDelta(createWholeDelta(held));
```
*/
export function createWholeDelta({configuration, digest}: DigestedConfiguration): ConfigurationDelta {
	const {routes, services, workspaces = []} = configuration;
	return {
		header: {
			baseVersion: 0, baseDigest: '', digest, ...describe(configuration),
		},
		items: {
			services, workspaces, routes, removedServices: [], removedWorkspaces: [], removedRoutes: [],
		},
	};
}

/**
Returns the changes from one configuration to another, or `undefined` if the whole configuration must be sent: most of it has changed,
or several of its items share a key.

@example
```
const delta = createDelta(base, target) ?? createWholeDelta(target);
```
*/
export function createDelta(base: DigestedConfiguration, target: DigestedConfiguration): ConfigurationDelta | undefined {
	const routes = compare(base.configuration.routes, target.configuration.routes, getRouteKey);
	const services = compare(base.configuration.services, target.configuration.services, getName);
	const workspaces = compare(base.configuration.workspaces ?? [], target.configuration.workspaces ?? [], getName);
	if (routes === undefined || services === undefined || workspaces === undefined) {
		return undefined;
	}

	const changed = [routes, services, workspaces].reduce((sum, {set, removed}) => sum + set.length + removed.length, 0);
	const total = [target.configuration.routes, target.configuration.services, target.configuration.workspaces ?? []].reduce((sum, {length}) => sum + length, 0);
	if (changed > total * maxChangedShare) {
		return undefined;
	}

	return {
		header: {
			baseVersion: base.configuration.version, baseDigest: base.digest, digest: target.digest, ...describe(target.configuration),
		},
		items: {
			services: services.set,
			workspaces: workspaces.set,
			routes: routes.set,
			removedServices: services.removed,
			removedWorkspaces: workspaces.removed,
			removedRoutes: routes.removed,
		},
	};
}

/**
Returns the configuration that a delta leads to. `base` is the configuration that the delta applies to; it is not used if the delta
contains the whole configuration. Items that the delta doesn't change keep their place, and new ones follow.

@example
```
const configuration = applyDelta(delta, inForce);
```
*/
export function applyDelta({header, items}: ConfigurationDelta, base: ServingConfiguration | undefined): ServingConfiguration {
	const {settings, hasWorkspaces} = header;
	const isWhole = header.baseVersion === 0;
	const services = isWhole ? items.services : update(base?.services ?? [], items.services, items.removedServices, getName);
	const routes = isWhole ? items.routes : update(base?.routes ?? [], items.routes, items.removedRoutes, getRouteKey);
	const workspaces = isWhole ? items.workspaces : update(base?.workspaces ?? [], items.workspaces, items.removedWorkspaces, getName);
	return {
		...settings, routes, services, ...(hasWorkspaces && {workspaces}),
	};
}

function describe({
	routes: _routes, services: _services, workspaces, ...settings
}: ServingConfiguration): Pick<DeltaHeader, 'settings' | 'hasWorkspaces'> {
	return {settings, hasWorkspaces: workspaces !== undefined};
}

type Changes<Listed> = {
	readonly set: readonly Listed[];
	readonly removed: readonly string[];
};

/** Returns the changes between two lists, or `undefined` if a key occurs more than once in one of them. */
function compare<Listed extends Item>(base: readonly Listed[], target: readonly Listed[], getKey: (item: Listed) => string): Changes<Listed> | undefined {
	const before = new Map(base.map(item => [getKey(item), item]));
	const after = new Set(target.map(item => getKey(item)));
	if (before.size < base.length || after.size < target.length) {
		return undefined;
	}

	return {
		set: target.filter(item => !isEqual(before.get(getKey(item)), item)),
		removed: [...before.keys()].filter(key => !after.has(key)),
	};
}

function isEqual(left: Item | undefined, right: Item): boolean {
	return left !== undefined && getText(left) === getText(right);
}

function getText(item: Item): string {
	const text = texts.get(item) ?? JSON.stringify(item);
	texts.set(item, text);
	return text;
}

function update<Listed extends Item>(base: readonly Listed[], set: readonly Listed[], removed: readonly string[], getKey: (item: Listed) => string): readonly Listed[] {
	const items = new Map(base.map(item => [getKey(item), item]));
	for (const key of removed) {
		items.delete(key);
	}

	for (const item of set) {
		items.set(getKey(item), item);
	}

	return [...items.values()];
}

/** Hosts that differ in case only are the same host for callers, and which of their routes comes first then matters. */
function getRouteKey({host, pathPrefix}: Route): string {
	return `${host.toLowerCase()} ${pathPrefix}`;
}

function getName({name}: {readonly name: string}): string {
	return name;
}
