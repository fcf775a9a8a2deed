/** The traffic of all services in this entry. */
import type {ServicePressure} from '@mulberrypitch/serving/view-messages';
import {ServiceTraffic, type ServiceTrafficOptions} from './service-traffic.js';

/** Creates the traffic of each service when it is first needed. */
export class ServiceTraffics {
	readonly #options: ServiceTrafficOptions;
	readonly #byService = new Map<string, ServiceTraffic>();

	constructor(options: ServiceTrafficOptions) {
		this.#options = options;
	}

	/** Returns the traffic of a service. */
	get(service: string): ServiceTraffic {
		const traffic = this.#byService.get(service) ?? new ServiceTraffic(this.#options);
		this.#byService.set(service, traffic);
		return traffic;
	}

	/** Returns the load of each service, for the coordinators. */
	getPressure(): Readonly<Record<string, ServicePressure>> {
		return Object.fromEntries([...this.#byService].map(([name, traffic]) => [name, traffic.getPressure()]));
	}

	/** Grants free permits to the waiting requests of all services. */
	grantPermits(): void {
		for (const traffic of this.#byService.values()) {
			traffic.grantPermits();
		}
	}
}
