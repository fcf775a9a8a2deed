/** A simulated caller that resends its request and resumes its answer through random hosts until the request has ended. */
import {codes} from '@mulberrypitch/errors/catalogue';
import {CodedError} from '@mulberrypitch/errors/coded-error';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {AcceptedRequest, IncomingCall} from '../types.js';
import type {Received} from './cluster-calls.js';
import type {ClusterHost, RequestCluster} from './request-cluster.js';

const retryDelayMs = 400;

/**
One request of a caller, and the answer received so far.

@example
```
const caller = new SimulatedCaller(cluster, random, createDocument('plan', 50));
await caller.run();
```
*/
export class SimulatedCaller {
	readonly call: IncomingCall;
	readonly received: Received = {text: ''};
	readonly #cluster: RequestCluster;
	readonly #random: Random;
	#requestId: string | undefined;
	#isGone = false;
	#chunks = 0;

	constructor(cluster: RequestCluster, random: Random, call: IncomingCall) {
		this.#cluster = cluster;
		this.#random = random;
		this.call = call;
	}

	/** Identifier of the request, or `undefined` before a host has accepted it. */
	get requestId(): string | undefined {
		return this.#requestId;
	}

	/** Whether the request was answered but no host stores its answer any more. */
	get isGone(): boolean {
		return this.#isGone;
	}

	/** Submits and reads the request through random hosts until its end is known. */
	async run(): Promise<void> {
		while (this.received.outcome === undefined && !this.#isGone) {
			const hosts = [...this.#cluster.hosts.values()];
			const host = hosts[Math.floor(this.#random.next() * hosts.length)];
			try {
				if (host !== undefined) {
					await this.#readThrough(host);
				}
			} catch (error) {
				if (!(error instanceof CodedError)) {
					throw error;
				}

				this.#isGone = error.code === codes.notFound;
			}

			await this.#cluster.clock.sleep(retryDelayMs);
		}
	}

	async #readThrough(host: ClusterHost): Promise<void> {
		const accepted = await resolveUnlessDead(host, this.#submitOrFind(host));
		if (accepted === undefined) {
			return;
		}

		this.#requestId = accepted.requestId;
		const events = accepted.read(this.#chunks, host.transport.death);
		for (let next = await resolveUnlessDead(host, events.next()); next?.done === false; next = await resolveUnlessDead(host, events.next())) {
			if (next.value.kind === 'end') {
				this.received.outcome = next.value.outcome;
				return;
			}

			this.received.text += next.value.chunk.text;
			this.#chunks += 1;
		}
	}

	async #submitOrFind(host: ClusterHost): Promise<AcceptedRequest> {
		const isResent = this.call.idempotencyKey !== undefined && this.#random.next() < 0.5;
		return this.#requestId === undefined || isResent ? host.requests.submit(this.call) : host.requests.getRequest(this.#requestId, 'clinic');
	}
}

/** Returns the value of a promise, or `undefined` when the host is killed first. */
async function resolveUnlessDead<Value>(host: ClusterHost, promise: Promise<Value>): Promise<Value | undefined> {
	const {death} = host.transport;
	return new Promise((resolve, reject) => {
		const onDeath = () => {
			resolve(undefined);
		};

		death.addEventListener('abort', onDeath, {once: true});
		void (async () => {
			try {
				resolve(await promise);
			} catch (error) {
				reject(error instanceof Error ? error : new TypeError('A failure is not an error.'));
			} finally {
				death.removeEventListener('abort', onDeath);
			}
		})();
	});
}
