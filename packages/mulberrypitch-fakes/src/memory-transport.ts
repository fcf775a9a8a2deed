/** Links between processes in memory, with cuts and delays. */
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

/** What a network does to one message. */
export type Delivery = {
	readonly isLost: boolean;
	readonly delayMs: number;
	/** Time after which a second copy of a request arrives. */
	readonly copyDelayMs?: number;
};

/** Decides on each message; called for requests and for replies. */
export type DeliveryPolicy = (from: Address, to: Address) => Delivery;

/** All processes that can reach each other. */
export class MemoryNetwork {
	readonly clock: Clock;
	/** Broken invariants that a process answered with. */
	readonly brokenInvariants: string[] = [];
	readonly #members = new Map<Address, MemoryTransport>();
	#policy: DeliveryPolicy = deliverAtOnce;

	constructor(clock: Clock) {
		this.clock = clock;
	}

	/** Replaces the rule for messages from now on. */
	setPolicy(policy: DeliveryPolicy): void {
		this.#policy = policy;
	}

	/** Adds a process; one with the same address before it is gone. */
	join(address: Address): MemoryTransport {
		const transport = new MemoryTransport(this, address);
		this.#members.set(address, transport);
		return transport;
	}

	/** Removes a process. */
	leave(transport: MemoryTransport): void {
		if (this.#members.get(transport.address) === transport) {
			this.#members.delete(transport.address);
		}
	}

	getMember(address: Address): MemoryTransport | undefined {
		return this.#members.get(address);
	}

	decide(from: Address, to: Address): Delivery {
		return this.#policy(from, to);
	}
}

/** One process on a network in memory. */
export class MemoryTransport implements Transport {
	readonly address: Address;
	readonly #network: MemoryNetwork;
	readonly #methods = new Map<string, Method<unknown>>();

	constructor(network: MemoryNetwork, address: Address) {
		this.#network = network;
		this.address = address;
	}

	handle<Parameters>(method: string, schema: Schema<Parameters>, answer: Method<Parameters>): void {
		if (this.#methods.has(method)) {
			throw new ProtocolError(`Method ${method} is registered twice.`);
		}

		this.#methods.set(method, createCheckedMethod(method, schema, answer));
	}

	async call<Reply>(address: Address, method: string, parameters: unknown, {timeoutMs}: CallOptions): Promise<Reply> {
		const exchange = this.#exchange(address, method, parameters);
		return assumeType<Reply>(await withTimeout(this.#network.clock, exchange, timeoutMs, () => new TimeoutError(method, timeoutMs)));
	}

	dispose(): void {
		this.#network.leave(this);
	}

	async #exchange(address: Address, method: string, parameters: unknown): Promise<unknown> {
		const {copyDelayMs} = await this.#travel(this.address, address);
		const member = this.#network.getMember(address);
		if (member === undefined || this.#network.getMember(this.address) !== this) {
			throw new PeerUnreachableError(address);
		}

		if (copyDelayMs !== undefined) {
			void this.#answerLater(member, copyDelayMs, method, copy(parameters));
		}

		const reply = await member.#answer(method, copy(parameters), this.address);
		await this.#travel(address, this.address);
		if (this.#network.getMember(address) !== member) {
			throw new PeerUnreachableError(address);
		}

		if (reply.failure !== undefined) {
			throw createErrorFromWire(reply.failure.toWire());
		}

		return copy(reply.value);
	}

	async #answerLater(member: MemoryTransport, delayMs: number, method: string, parameters: unknown): Promise<void> {
		await this.#network.clock.sleep(delayMs);
		if (this.#network.getMember(member.address) === member) {
			await member.#answer(method, parameters, this.address);
		}
	}

	async #travel(from: Address, to: Address): Promise<Delivery> {
		const delivery = this.#network.decide(from, to);
		const {isLost, delayMs} = delivery;
		if (isLost) {
			await new Promise(() => {
				// A lost message never arrives; the caller's timeout ends the call.
			});
		}

		if (delayMs > 0) {
			await this.#network.clock.sleep(delayMs);
		}

		return delivery;
	}

	async #answer(method: string, parameters: unknown, from: Address): Promise<{value?: unknown; failure?: CodedError}> {
		const answer = this.#methods.get(method);
		if (answer === undefined) {
			return {failure: new ProtocolError(`Method ${method} is not known.`)};
		}

		try {
			return {value: await answer(parameters, from)};
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

/** Gives what arrives of a message once it has crossed a wire. */
function copy(value: unknown): unknown {
	const text = JSON.stringify(value) as string | undefined;
	return text === undefined ? undefined : JSON.parse(text);
}
