/** Public types of orders and of the fleet. */
import type {BackendServer, DesiredState} from '@mulberrypitch/control/types';

/** An order to a back end: the state it should reach, whatever state it is in. */
export type Order = {
	/** Grows with each order of the group; a back end that checks it refuses a lower one than it has seen. */
	readonly fencing: number;
	readonly desired: DesiredState;
};

/** The orders' side of one kind of back end. */
export type OrderPort = {
	/** Resolves when the back end has taken the order. */
	send(backend: BackendServer, order: Order, timeoutMs: number): Promise<void>;
	/** Reads the state that the back end is in or is about to reach. */
	read(backend: BackendServer, timeoutMs: number): Promise<DesiredState>;
};

/** The lead of the control group as the sender needs it. */
export type Lead = {
	readonly term: number;
	hasLease(): boolean;
};

/** What the group has decided. */
export type FleetState = {
	getBackend(id: string): BackendServer | undefined;
	getDesired(backend: string): DesiredState | undefined;
	listDesired(): readonly string[];
};

/** How a machine is rented. */
export const markets = {
	/** Cheap, and taken back on seconds of notice. */
	reclaimable: 'reclaimable',
	onDemand: 'onDemand',
} as const;

/** One of the markets. */
export type Market = typeof markets[keyof typeof markets];

/** What the cloud offers in one zone. */
export type Offer = {
	readonly zone: string;
	readonly machineClass: string;
	readonly market: Market;
	readonly pricePerHour: number;
	/** Tokens that one machine gives at the latency target, per second. */
	readonly tokensPerSecond: number;
};

/** A machine that is paid for. */
export type Machine = {
	readonly id: string;
	readonly offer: Offer;
};

/** The cloud's side of machines. */
export type Cloud = {
	listOffers(): Promise<readonly Offer[]>;
	/** Machines that run now; those that were reclaimed are not among them. */
	listMachines(): Promise<readonly Machine[]>;
	/** Starts one machine and gives its identifier. Throws a coded error when the cloud refuses. */
	start(offer: Offer): Promise<string>;
	stop(id: string): Promise<void>;
};

/** The store of model weights, which limits how fast it is read. */
export type WeightStore = {
	/** Shortest time between the starts of two fetches. */
	readonly fetchIntervalMs: number;
	/** Brings the weights to a machine; resolves when it can serve. */
	fetch(machineId: string): Promise<void>;
};
