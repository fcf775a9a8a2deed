/** Clients of a desk, which is a plain service: each keeps a connection to one front machine and sends one request after the other. */
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import {exchange} from './calls.mjs';
import {pick, wait} from './time.mjs';
import {apiKey, createConfiguration} from './wire.mjs';

const host = 'desk.example';
const service = 'order-desk';
const deadlineMs = 1500;
/** Time in milliseconds beyond the deadline after which a client no longer waits. */
const patienceMs = 500;

/** Returns a configuration that leads to the desk. The version shows in the timeout of the route. */
export function createDeskConfiguration(version, kind = 'non_idempotent') {
	return createConfiguration({
		version, host, prefix: '/orders/', kind, service, timeoutMs: deadlineMs + version, targetLatencyMs: 386, maxAttempts: kind === 'idempotent' ? 2 : 1,
	});
}

/** Options of the desk's runner with an index. */
export function getDeskRunner(index) {
	return {
		id: `i-${index + 1}`, index, service, slots: 12, workMs: 30,
	};
}

/** Sends the requests of all clients. */
export class DeskClients {
	#isActive = true;
	#clients = [];

	constructor({deployment, record, gapMs}) {
		Object.assign(this, {deployment, record, gapMs});
		/** The outcomes of all requests, each with `id`, `front`, `isReused` and, if an answer came, `status`, `headers` and `body`. */
		this.outcomes = [];
	}

	get answered() {
		return this.outcomes.filter(({status}) => status === 200).length;
	}

	start(count) {
		this.#clients = Array.from({length: count}, async () => this.#run());
	}

	/** Stops and waits for the requests in progress. */
	async stop() {
		this.#isActive = false;
		await Promise.all(this.#clients);
	}

	async #run() {
		const {fronts} = this.deployment;
		let agent = new http.Agent({keepAlive: true, maxSockets: 1});
		let front = fronts[pick(fronts.length)];
		while (this.#isActive) {
			const outcome = await this.#send(front, agent);
			if (outcome.status !== 200) {
				this.record(`request ${outcome.id} at ${front.name}: ${describe(outcome)}`);
				agent.destroy();
				agent = new http.Agent({keepAlive: true, maxSockets: 1});
				front = fronts[pick(fronts.length)];
			}

			await wait(this.gapMs);
		}

		agent.destroy();
	}

	async #send(front, agent) {
		const id = randomBytes(8).toString('hex');
		const outcome = await exchange({
			address: front.address,
			method: 'POST',
			path: '/orders/1',
			body: 'x',
			agent,
			timeoutMs: deadlineMs + patienceMs,
			headers: {
				host, 'attempt-id': id, 'request-deadline': String(deadlineMs), authorization: `Bearer ${apiKey}`,
			},
		});
		const result = {...outcome, id, front: front.name};
		this.outcomes.push(result);
		return result;
	}
}

function describe({status, isTimeout, isReused}) {
	if (status !== undefined) {
		return `status ${status}`;
	}

	return isTimeout ? 'no answer' : `${isReused ? 'kept' : 'new'} connection closed without an answer`;
}
