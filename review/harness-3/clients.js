/** Clients as the pages describe them: they ask a directory where to connect, and keep a connection for many requests. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {call, ports, region} from './deployment.js';

export const host = 'ficu95.example';
export const key = '3d3zji9n73hh2b9wu3fe';

/** Returns an identifier of one client attempt. */
export function createAttemptId() {
	return randomBytes(8).toString('hex');
}

/** Returns the addresses of fronts that a directory names. */
export async function resolveFronts(deployment, zone = 'bangna') {
	for (const core of deployment.cores) {
		const {status, body} = await call(`${core.ip}:${ports.directory}`, 'GET', `/mulberrypitch/resolve?name=${host}&region=${region}&zone=${zone}`);
		const addresses = status === 200 ? JSON.parse(body).addresses : [];
		if (addresses.length > 0) {
			return addresses;
		}
	}

	return [];
}

/** One client with one connection at a time. */
export class Client {
	/** What became of each attempt. */
	attempts = [];
	#deployment;
	#name;
	#agent = new http.Agent({keepAlive: true, maxSockets: 1});
	#address;
	#failedAddress;
	#isStopped = false;

	constructor(deployment, name) {
		this.#deployment = deployment;
		this.#name = name;
	}

	/** Sends one request after the other, until it is stopped. */
	async run(createRequest, pauseMs = 30) {
		while (!this.#isStopped) {
			this.#address ??= await this.#chooseAddress();
			if (this.#address !== undefined) {
				await this.#send(createRequest());
			}

			await sleep(pauseMs);
		}

		this.#agent.destroy();
	}

	stop() {
		this.#isStopped = true;
	}

	async #chooseAddress() {
		const addresses = await resolveFronts(this.#deployment);
		const others = addresses.filter(address => address !== this.#failedAddress);
		const choices = others.length > 0 ? others : addresses;
		return choices[Math.floor(Math.random() * choices.length)];
	}

	/** Sends an attempt and records how it ended. After a connection without a complete answer, it goes to another front. */
	async #send({method, path, body, deadlineMs}) {
		const id = createAttemptId();
		const [ip, port] = this.#address.split(':');
		const sentAt = this.#deployment.now;
		const attempt = {
			id, client: this.#name, front: this.#address, sentAt, isKept: false, method,
		};
		await new Promise(resolve => {
			const request = http.request({
				host: ip, port, path, method, agent: this.#agent, headers: {
					host, 'attempt-id': id, 'request-deadline': String(deadlineMs), authorization: `Bearer ${key}`, ...(body !== undefined && {'content-length': Buffer.byteLength(body)}),
				},
			}, response => {
				attempt.status = response.statusCode;
				const parts = [];
				response.on('data', part => {
					parts.push(part);
				});
				response.once('end', () => {
					attempt.isWhole = true;
					attempt.body = Buffer.concat(parts).toString();
					resolve();
				});
				response.once('error', resolve);
				response.once('close', resolve);
			});
			const timer = setTimeout(() => {
				attempt.hasGivenUp = true;
				request.destroy();
				resolve();
			}, deadlineMs);
			request.once('error', error => {
				attempt.error = error.code ?? error.message;
				resolve();
			});
			request.once('close', () => {
				clearTimeout(timer);
				attempt.isKept = request.reusedSocket;
				resolve();
			});
			request.end(body);
		});
		attempt.endedAt = this.#deployment.now;
		this.attempts.push(attempt);
		const end = attempt.isWhole === true ? `${attempt.status}` : `no answer (${attempt.hasGivenUp ? 'deadline' : attempt.error})`;
		this.#deployment.record(`${this.#name}: ${method} ${id} to ${this.#address}${attempt.isKept ? ' on a kept connection' : ''}, ${Math.round(attempt.endedAt - sentAt)} ms: ${end}`);
		if (attempt.isWhole !== true) {
			this.#failedAddress = this.#address;
			this.#address = undefined;
		}
	}
}
