/** An in-memory network between simulated processes, with lost, delayed and duplicated messages. */
import {withTimeout} from '@mulberrypitch/lifecycle/with-timeout';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {createCheckedMethod} from '@mulberrypitch/transport/checked-method';
import {CodedError, createErrorFromWire} from '@mulberrypitch/errors/coded-error';
import {
	codes, PeerUnreachableError, ProtocolError, TimeoutError,
} from '@mulberrypitch/errors/catalogue';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {
	Address, CallOptions, Method, Schema, Transport,
} from '@mulberrypitch/transport/types';

/** How the network delivers one message. Times are in milliseconds. */
export type Delivery = {
	readonly isLost: boolean;
	readonly delayMs: number;
	/** Time from the arrival of a request to that of its duplicate; absent for no duplicate. Ignored for replies. */
	readonly copyDelayMs?: number;
};

/** Decides how a message of a method's call is delivered. It is called separately for each request and each reply. */
export type DeliveryPolicy = (from: Address, to: Address, method: string) => Delivery;

/** A network of simulated processes, identified by address. */
export class MemoryNetwork {
	readonly clock: Clock;
	/** Invariant errors that methods of any process threw, as `address method: message`. */
	readonly brokenInvariants: string[] = [];
	readonly #members = new Map<Address, MemoryTransport>();
	#policy: DeliveryPolicy = deliverAtOnce;

	constructor(clock: Clock) {
		this.clock = clock;
	}

	/** Sets the delivery policy for messages from now on. */
	setPolicy(policy: DeliveryPolicy): void {
		this.#policy = policy;
	}

	/**
	Adds a process and returns its transport. It replaces an earlier process at the same address. Requests that the earlier
	process sent and that arrive from now on fail, and so do the calls that it received and whose reply has not arrived.
	*/
	join(address: Address): MemoryTransport {
		const transport = new MemoryTransport(this, address);
		this.#members.set(address, transport);
		return transport;
	}

	/** Removes a process; does nothing when another one has replaced it at its address. */
	leave(transport: MemoryTransport): void {
		if (this.#members.get(transport.address) === transport) {
			this.#members.delete(transport.address);
		}
	}

	/** Returns the transport of the process at an address, or `undefined` when there is none. */
	getMember(address: Address): MemoryTransport | undefined {
		return this.#members.get(address);
	}

	/** Returns how the network delivers the next message of a method's call between two processes. */
	decideDelivery(from: Address, to: Address, method: string): Delivery {
		return this.#policy(from, to, method);
	}
}

/** The transport of one process on a `MemoryNetwork`. */
export class MemoryTransport implements Transport {
	readonly address: Address;
	readonly #network: MemoryNetwork;
	readonly #methods = new Map<string, Method<unknown>>();

	constructor(network: MemoryNetwork, address: Address) {
		this.#network = network;
		this.address = address;
	}

	handle<Parameters>(method: string, schema: Schema<Parameters>, handler: Method<Parameters>): void {
		if (this.#methods.has(method)) {
			throw new ProtocolError(`Method ${method} is registered twice.`);
		}

		this.#methods.set(method, createCheckedMethod(method, schema, handler));
	}

	async call<Reply>(address: Address, method: string, parameters: unknown, {timeoutMs}: CallOptions): Promise<Reply> {
		const exchange = this.#exchange(address, method, parameters);
		return assumeType<Reply>(await withTimeout(this.#network.clock, exchange, timeoutMs, () => new TimeoutError(method, timeoutMs)));
	}

	dispose(): void {
		this.#network.leave(this);
	}

	/**
	Sends a request and returns the reply. Throws `PeerUnreachableError` with the peer's address when this process or the peer is
	not on the network at the time the request arrives, or when the peer is removed or replaced before its reply arrives.
	Throws the peer's error when its method fails.
	*/
	async #exchange(address: Address, method: string, parameters: unknown): Promise<unknown> {
		const {copyDelayMs} = await this.#deliver(this.address, address, method);
		const member = this.#network.getMember(address);
		if (member === undefined || this.#network.getMember(this.address) !== this) {
			throw new PeerUnreachableError(address);
		}

		if (copyDelayMs !== undefined) {
			void this.#handleCallLater(member, copyDelayMs, method, cloneAsJson(parameters));
		}

		const reply = await member.#handleCall(method, cloneAsJson(parameters), this.address);
		await this.#deliver(address, this.address, method);
		if (this.#network.getMember(address) !== member) {
			throw new PeerUnreachableError(address);
		}

		if (reply.failure !== undefined) {
			throw createErrorFromWire(reply.failure.toWire());
		}

		return cloneAsJson(reply.value);
	}

	/** Delivers the duplicate of a request to `member` after the delay and drops the reply. */
	async #handleCallLater(member: MemoryTransport, delayMs: number, method: string, parameters: unknown): Promise<void> {
		await this.#network.clock.sleep(delayMs);
		if (this.#network.getMember(member.address) === member) {
			await member.#handleCall(method, parameters, this.address);
		}
	}

	/** Waits until the message has arrived and returns how it was delivered; never resolves for a lost message. */
	async #deliver(from: Address, to: Address, method: string): Promise<Delivery> {
		const delivery = this.#network.decideDelivery(from, to, method);
		const {isLost, delayMs} = delivery;
		if (isLost) {
			await new Promise(() => {
				// A lost message never arrives, so `call` times out.
			});
		}

		if (delayMs > 0) {
			await this.#network.clock.sleep(delayMs);
		}

		return delivery;
	}

	async #handleCall(method: string, parameters: unknown, from: Address): Promise<{value?: unknown; failure?: CodedError}> {
		const handler = this.#methods.get(method);
		if (handler === undefined) {
			return {failure: new ProtocolError(`Method ${method} is not registered.`)};
		}

		try {
			return {value: await handler(parameters, from)};
		} catch (error) {
			if (error instanceof CodedError) {
				if (error.code === codes.invariant) {
					this.#network.brokenInvariants.push(`${this.address} ${method}: ${error.message}`);
				}

				return {failure: error};
			}

			throw error;
		}
	}
}

function deliverAtOnce(): Delivery {
	return {isLost: false, delayMs: 0};
}

/** Returns the value after a round trip through JSON, as a peer receives it from a real network. */
function cloneAsJson(value: unknown): unknown {
	const text = JSON.stringify(value) as string | undefined;
	return text === undefined ? undefined : JSON.parse(text);
}
