/** Looks up the route, the workspace and the service of a request. */
import {decodeHeaderText, getHeaderForms} from '@mulberrypitch/lifecycle/header-text';
import {getHostKey, getPathKey} from './route-keys.js';
import type {
	Route, ServiceProfile, ServingConfiguration, Workspace,
} from './types.js';

/** Routes of one host by path prefix. The length of the longest prefix bounds the number of look-ups. */
type HostRoutes = {
	readonly byPrefix: Map<string, Route>;
	maxPrefixLength: number;
};

/** An index of one configuration by host, API key and service name. */
export class RouteTable {
	readonly configuration: ServingConfiguration;
	readonly #routes = new Map<string, HostRoutes>();
	readonly #workspaces = new Map<string, Workspace>();
	readonly #services: ReadonlyMap<string, ServiceProfile>;

	constructor(configuration: ServingConfiguration) {
		this.configuration = configuration;
		this.#services = new Map(configuration.services.map(service => [service.name, service]));
		for (const route of configuration.routes) {
			const host = getHostKey(route.host);
			const prefix = getPathKey(route.pathPrefix);
			const hostRoutes = this.#routes.get(host) ?? {byPrefix: new Map(), maxPrefixLength: 0};
			this.#routes.set(host, hostRoutes);
			if (!hostRoutes.byPrefix.has(prefix)) {
				hostRoutes.byPrefix.set(prefix, route);
			}

			hostRoutes.maxPrefixLength = Math.max(hostRoutes.maxPrefixLength, prefix.length);
		}

		for (const workspace of configuration.workspaces ?? []) {
			for (const form of workspace.keys.flatMap(key => getHeaderForms(key))) {
				this.#workspaces.set(form, workspace);
			}
		}
	}

	/** Reports whether callers must send an API key. */
	get requiresKeys(): boolean {
		return this.configuration.workspaces !== undefined;
	}

	/**
	Returns the host's route with the longest path prefix that matches, or `undefined`. Both are as Node.js reads them from a head. The host may
	include a port, and the path a query.
	*/
	findRoute(host: string, path: string): Route | undefined {
		const [name] = host.split(':', 1);
		const hostRoutes = this.#routes.get(getHostKey(decodeHeaderText(name!)));
		if (hostRoutes === undefined) {
			return undefined;
		}

		const [pathOnly] = path.split('?', 1);
		// Each prefix ends with a slash, which `configuration-check.ts` ensures, so only the prefixes that end at a slash of the path are looked up.
		for (let prefix = getPathKey(pathOnly!).slice(0, hostRoutes.maxPrefixLength); prefix !== ''; prefix = prefix.slice(0, -1)) {
			prefix = prefix.slice(0, prefix.lastIndexOf('/') + 1);
			const route = hostRoutes.byPrefix.get(prefix);
			if (route !== undefined) {
				return route;
			}
		}

		return undefined;
	}

	/** Returns the workspace that owns an API key, as Node.js reads the key from a head, or `undefined` if the key is unknown. */
	findWorkspace(key: string): Workspace | undefined {
		return this.#workspaces.get(key);
	}

	/** Returns the profile of a service, or `undefined` if the configuration doesn't define it. */
	getService(name: string): ServiceProfile | undefined {
		return this.#services.get(name);
	}
}
