/** Sends this host's demand to the other hosts, and stores the demands that it receives from them. */
import * as z from 'zod';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import type {Address, Transport} from '@mulberrypitch/transport/types';
import {isServiceKey} from './keys.js';
import type {Demand, HostDemand} from './demand-quota.js';

/** Interval at which demands are sent, in milliseconds. */
const intervalMs = 500;
const callTimeoutMs = 400;
/** Age above which a received demand is ignored, in milliseconds. */
const maxDemandAgeMs = 2000;
const method = 'admission.demand';
const schema = z.object({host: z.string(), demand: z.record(z.string(), z.number().nonnegative())});

/** A host that accepts requests. */
export type DemandPeer = {
	readonly name: string;
	readonly address: Address;
};

/** Dependencies of a `DemandExchange`. */
export type DemandExchangeOptions = {
	readonly host: string;
	readonly transport: Transport;
	readonly clock: Clock;
	/** Returns all hosts that accept requests, including this one. */
	readonly getPeers: () => readonly DemandPeer[];
	readonly getDemand: () => Demand;
	/** Called after each exchange, because demands may have changed. */
	readonly onChange: () => void;
	readonly onFailure: (error: unknown) => void;
};

/** A demand and the monotonic time in milliseconds at which it was received. */
type ReceivedDemand = {
	readonly demand: Demand;
	readonly at: number;
};

/**
Exchanges demands between hosts. Demands are soft state: a lost message only makes the quotas less exact, and a host whose demand
is unknown or outdated is assumed to need an even part.

@example
```
const exchange = new DemandExchange({host, transport, clock, getPeers, getDemand, onChange, onFailure});
const quota = new DemandQuota(host, () => exchange.hosts);
```
*/
export class DemandExchange implements Resource {
	readonly #options: DemandExchangeOptions;
	readonly #receivedDemands = new Map<string, ReceivedDemand>();
	readonly #task: BackgroundTask;

	constructor(options: DemandExchangeOptions) {
		this.#options = options;
		options.transport.handle(method, schema, async ({host, demand}) => {
			this.#storeDemand(host, demand);
			return {};
		});
		this.#task = new BackgroundTask(async signal => this.#run(signal), options.onFailure);
	}

	/** All hosts that accept requests, each with its last demand unless that is older than `maxDemandAgeMs`. */
	get hosts(): readonly HostDemand[] {
		const {clock, getPeers} = this.#options;
		return getPeers().map(({name}) => {
			const received = this.#receivedDemands.get(name);
			return received === undefined || clock.now() - received.at > maxDemandAgeMs ? {name} : {name, demand: received.demand};
		});
	}

	/** Returns the number of requests that run or wait on a host, over all services. Returns zero when the host has sent no recent demand. */
	getServiceDemand(host: string): number {
		const demand = this.hosts.find(({name}) => name === host)?.demand ?? {};
		return Object.entries(demand)
			.filter(([key]) => isServiceKey(key))
			.reduce((sum, [, value]) => sum + value, 0);
	}

	async dispose(): Promise<void> {
		await this.#task.dispose();
	}

	async #run(signal: AbortSignal): Promise<void> {
		const {host, clock, getDemand, getPeers, onChange} = this.#options;
		while (!signal.aborted) {
			const demand = getDemand();
			this.#storeDemand(host, demand);
			await Promise.all(getPeers().filter(({name}) => name !== host).map(async peer => this.#sendDemand(peer, demand)));
			onChange();
			await clock.sleep(intervalMs, signal);
		}
	}

	async #sendDemand({address}: DemandPeer, demand: Demand): Promise<void> {
		const {host, transport, onFailure} = this.#options;
		try {
			await transport.call(address, method, {host, demand}, {timeoutMs: callTimeoutMs});
		} catch (error) {
			if (!(error instanceof CodedError)) {
				// What is not a failed call is reported. The next round sends the demand again.
				onFailure(error);
			}
		}
	}

	#storeDemand(host: string, demand: Demand): void {
		this.#receivedDemands.set(host, {demand, at: this.#options.clock.now()});
	}
}
