/** Types of orders to back ends, and of the machines of a fleet. */
import type {BackendServer, DesiredState} from '@mulberrypitch/control/types';

/** An order to a back end. Names the whole desired state, so that it applies to any current state. */
export type Order = {
	/** Fencing token, which increases with each order of the control group. A back end that checks it refuses a token lower than one it has seen. */
	readonly fencing: number;
	readonly desired: DesiredState;
};

/** Connection to one kind of back end for orders. */
export type OrderPort = {
	/** Sends an order. Resolves when the back end has accepted it. */
	send(backend: BackendServer, order: Order, timeoutMs: number): Promise<void>;
	/** Returns the state that the back end is in or is changing to. */
	read(backend: BackendServer, timeoutMs: number): Promise<DesiredState>;
};

/** Leadership of this replica in the control group. */
export type Leadership = {
	readonly term: number;
	/** Reports whether this replica is the leader and its lease has not expired. */
	hasLease(): boolean;
};

/** Committed state of the control group: back ends and their desired states. */
export type FleetState = {
	/** Returns a back end, or `undefined` if it is not registered. */
	getBackend(id: string): BackendServer | undefined;
	/** Returns the desired state of a back end, or `undefined` if it has none. */
	getDesired(backend: string): DesiredState | undefined;
	/** Returns the identifiers of all back ends that have a desired state. */
	listDesired(): readonly string[];
};

/** How a machine is rented. */
export const markets = {
	/** Spot: cheap, but the provider may reclaim it at seconds of notice. */
	reclaimable: 'reclaimable',
	onDemand: 'onDemand',
} as const;

/** One of the markets. */
export type Market = typeof markets[keyof typeof markets];

/** A machine class that the cloud offers in one zone and market. */
export type Offer = {
	readonly zone: string;
	readonly machineClass: string;
	readonly market: Market;
	readonly pricePerHour: number;
	/** Throughput of one machine at the latency target. */
	readonly tokensPerSecond: number;
};

/** A rented machine. */
export type Machine = {
	readonly id: string;
	readonly offer: Offer;
};

/** API of the cloud provider for machines. */
export type Cloud = {
	listOffers(): Promise<readonly Offer[]>;
	/** Returns the running machines, without those that were reclaimed. */
	listMachines(): Promise<readonly Machine[]>;
	/** Starts one machine and returns its identifier. Throws a `CodedError` when the cloud refuses. */
	start(offer: Offer): Promise<string>;
	/** Stops a machine. */
	stop(id: string): Promise<void>;
};

/** The store of model weights, which is rate-limited. */
export type WeightStore = {
	/** Minimum time between the starts of two fetches. */
	readonly fetchIntervalMs: number;
	/** Copies the weights to a machine. Resolves when the machine can serve. */
	fetch(machineId: string): Promise<void>;
};
