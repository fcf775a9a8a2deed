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
