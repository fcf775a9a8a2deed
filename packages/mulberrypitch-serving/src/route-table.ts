/** Looks up the route, the workspace and the service of a request. */
import type {
	Route, ServiceProfile, ServingConfiguration, Workspace,
} from './types.js';

/** An index of one configuration by host, API key and service name. */
export class RouteTable {
	readonly configuration: ServingConfiguration;
	readonly #routes = new Map<string, Route[]>();
	readonly #workspaces = new Map<string, Workspace>();
	readonly #services: ReadonlyMap<string, ServiceProfile>;

	constructor(configuration: ServingConfiguration) {
		this.configuration = configuration;
		this.#services = new Map(configuration.services.map(service => [service.name, service]));
		for (const route of configuration.routes) {
			const host = route.host.toLowerCase();
			const hostRoutes = this.#routes.get(host) ?? [];
			hostRoutes.push(route);
			this.#routes.set(host, hostRoutes);
		}

		for (const hostRoutes of this.#routes.values()) {
			hostRoutes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
		}

		for (const workspace of configuration.workspaces ?? []) {
			for (const key of workspace.keys) {
				this.#workspaces.set(key, workspace);
			}
		}
	}

	/** Reports whether callers must send an API key. */
	get requiresKeys(): boolean {
		return this.configuration.workspaces !== undefined;
	}

	/**
	Returns the host's route with the longest path prefix that matches, or `undefined`. The host may include a port, and the path
	a query.
	*/
	findRoute(host: string, path: string): Route | undefined {
		const [name] = host.toLowerCase().split(':', 1);
		const [pathOnly] = path.split('?', 1);
		return this.#routes.get(name!)?.find(({pathPrefix}) => pathOnly!.startsWith(pathPrefix));
	}

	/** Returns the workspace that owns an API key, or `undefined` if the key is unknown. */
	findWorkspace(key: string): Workspace | undefined {
		return this.#workspaces.get(key);
	}

	/** Returns the profile of a service, or `undefined` if the configuration doesn't define it. */
	getService(name: string): ServiceProfile | undefined {
		return this.#services.get(name);
	}
}
