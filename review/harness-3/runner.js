/** A sound runner of a plain service: it registers itself, runs requests in its slots, queues a few more and drops a request whose connection closes. */
/* eslint-disable camelcase -- Fields of the wire format and of the settings. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {call, heartbeatMs} from './deployment.js';

/** Returns the body of the answer to a request. */
export function createBody(attemptId) {
	return createHash('sha256').update(attemptId).digest('hex').repeat(12);
}

/** One runner. */
export class Runner {
	/** Requests that it began to work on, by attempt id: the times in milliseconds of each run. */
	runs = new Map();
	/** Attempt ids of the requests that it answered. */
	answered = new Set();
	/** Bytes of the `Tenant` header of the requests that it began to work on, by attempt id. */
	tenants = new Map();
	/** Times in milliseconds at which it had handed over the whole answer to a request, by attempt id. */
	finishedAt = new Map();
	#deployment;
	#parts;
	#server;
	#sequence = 0;
	#running = 0;
	#waiting = [];
	#born = Date.now();

	constructor(deployment, parts) {
		this.#deployment = deployment;
		this.#parts = {
			slots: 6, queue: 24, workMs: 60, zone: 'bangna', version: 'v1', port: 8080, createAnswer: createBody, ...parts,
		};
		this.#server = http.createServer({keepAliveTimeout: 60_000}, (request, response) => {
			this.#serve(request, response);
		});
	}

	get id() {
		return this.#parts.id;
	}

	/** Listens, and announces itself until the run ends. */
	async start() {
		const {ip, port} = this.#parts;
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, ip, resolve);
		});
		const beat = async () => {
			this.#sequence += 1;
			const {service, zone, version, slots} = this.#parts;
			const body = JSON.stringify({
				service, address: `${ip}:${port}`, zone, version, slots, state: 'ready', cold_remaining_ms: 0, stage: 'colocated', models: [], sequence: this.#sequence, born: this.#born,
			});
			for (const seed of this.#deployment.seeds) {
				const {status} = await call(seed, 'POST', `/mulberrypitch/Instances.Heartbeat/${this.id}`, {body});
				if (status === 200) {
					return;
				}
			}
		};

		await beat();
		const timer = setInterval(beat, heartbeatMs);
		this.#deployment.add(async () => {
			clearInterval(timer);
			this.#server.closeAllConnections();
			this.#server.close();
		});
	}

	async #serve(request, response) {
		const {id, slots, queue, workMs, createAnswer} = this.#parts;
		const attemptId = String(request.headers['attempt-id']);
		const refuse = status => {
			response.writeHead(status, {'not-executed': '1', 'attempt-id': attemptId}).end();
		};

		request.resume();
		const expected = request.headers['expect-instance'];
		if (expected !== undefined && expected !== id) {
			refuse(421);
			return;
		}

		if (this.#running >= slots) {
			if (this.#waiting.length >= queue) {
				refuse(503);
				return;
			}

			await new Promise(resolve => {
				this.#waiting.push(resolve);
				response.once('close', resolve);
			});
			if (response.destroyed) {
				return;
			}
		}

		this.#running += 1;
		this.tenants.set(attemptId, Buffer.from(String(request.headers.tenant ?? ''), 'latin1'));
		this.runs.set(attemptId, [...(this.runs.get(attemptId) ?? []), this.#deployment.now]);
		await sleep(workMs);
		this.#running -= 1;
		this.#waiting.shift()?.();
		if (!response.destroyed) {
			this.answered.add(attemptId);
			const body = createAnswer(attemptId, request.url);
			response.writeHead(200, {
				'content-length': body.length, 'attempt-id': attemptId, 'response-signature': `${id}.${attemptId}`, 'content-type': 'application/octet-stream',
			});
			response.once('finish', () => {
				this.finishedAt.set(attemptId, this.#deployment.now);
			});
			response.end(body);
		}
	}
}
