/** A stand-in for a runner: it announces itself, runs requests, and records each run. */
/* eslint-disable camelcase -- The names are those of the wire. */
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	bounds, call, createIp, findPort,
} from './deployment.js';

const heartbeatMs = 1200;
/** Time for which a runner goes on to serve after `drainMs`. */
const lingerMs = 200;

/** Serves requests under one identifier, which it keeps over restarts. */
export class Runner {
	constructor(deployment, {
		id, service, index, version = 'v1', slots = 64, eventCount = 40, gapMs = 300, handle, isQuiet = false,
	}) {
		Object.assign(this, {
			deployment, id, service, version, slots, eventCount, gapMs, handle, isQuiet, ip: createIp(2, index),
		});
		this.sockets = new Set();
		this.runs = [];
		deployment.others.push(this);
	}

	/** Starts an incarnation at the same address, with a version of the software. */
	async start(version = this.version) {
		this.version = version;
		this.port ??= await findPort(this.ip);
		this.born = Date.now();
		this.sequence = 0;
		this.state = 'ready';
		this.isRunning = true;
		const incarnation = {};
		this.incarnation = incarnation;
		this.server = http.createServer((request, response) => {
			this.serve(request, response, incarnation);
		});
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.on('error', () => {
				// A close event follows.
			});
			socket.once('close', () => this.sockets.delete(socket));
		});
		await new Promise(resolve => {
			this.server.listen(this.port, this.ip, resolve);
		});
		this.deployment.record(`runner ${this.id} starts as ${version}, born ${this.born}`);
		await this.announce();
		this.beat(incarnation);
	}

	async beat(incarnation) {
		while (this.incarnation === incarnation) {
			await sleep(heartbeatMs);
			if (this.incarnation === incarnation) {
				await this.announce();
			}
		}
	}

	/** Sends one heartbeat, to the next coordinator if one does not acknowledge it. Resolves with whether one did. */
	async announce() {
		const {id, service, version, slots, state, born} = this;
		this.sequence += 1;
		const body = JSON.stringify({
			service, address: `${this.ip}:${this.port}`, zone: 'z', version, slots, state, cold_remaining_ms: 0, sequence: this.sequence, born,
		});
		return this.tell(`/mulberrypitch/Instances.Heartbeat/${id}`, body);
	}

	async tell(target, body) {
		const {coordinators, ports} = this.deployment;
		for (const {ip} of coordinators) {
			const {status} = await call({
				host: ip, port: ports.operators, method: 'POST', target, body,
			});
			if (status >= 200 && status < 300) {
				return true;
			}
		}

		return false;
	}

	/** Says that it drains, goes on to serve, says that it leaves, and ends. */
	async leave() {
		this.state = 'draining';
		while (!await this.announce()) {
			await sleep(100);
		}

		this.deployment.record(`runner ${this.id} ${this.version}: draining acknowledged`);
		await sleep(bounds.drainMs + lingerMs);
		await this.tell(`/mulberrypitch/Instances.Deregister/${this.id}`, JSON.stringify({born: this.born}));
		await this.stop();
	}

	/** Ends at once. */
	async stop() {
		this.incarnation = undefined;
		const ended = new Promise(resolve => {
			this.server.close(resolve);
		});
		for (const socket of this.sockets) {
			socket.destroy();
		}

		await ended;
		this.deployment.record(`runner ${this.id} ${this.version} has ended`);
	}

	async dispose() {
		if (this.incarnation !== undefined) {
			await this.stop();
		}
	}

	async serve(request, response, incarnation) {
		const attempt = request.headers['attempt-id'];
		const parts = [];
		for await (const part of request) {
			parts.push(part);
		}

		const headers = {'Attempt-Id': attempt, 'Instance-Id': this.id, ...(this.state === 'draining' && {'Server-Leaving': '1'})};
		const expected = request.headers['expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			this.deployment.record(`runner ${this.id} answers 421 to ${attempt}`);
			response.writeHead(421, headers).end();
			return;
		}

		const run = {
			attempt, runner: this.id, version: this.version, at: Date.now(), lastEventId: request.headers['last-event-id'], tenant: request.headers.tenant,
			number: this.runs.length,
		};
		this.runs.push(run);
		if (!this.isQuiet) {
			this.deployment.record(`runner ${this.id} ${this.version} runs ${attempt}${run.lastEventId === undefined ? '' : ` from event ${run.lastEventId}`}`);
		}

		if (this.handle !== undefined) {
			await this.handle({
				request, response, headers, run,
			});
			return;
		}

		const {version} = this;
		response.writeHead(200, {...headers, 'Content-Type': 'text/event-stream', 'Response-Signature': `${this.id}.${this.born}.${attempt}`});
		response.flushHeaders();
		for (let event = 1 + Number(run.lastEventId ?? 0); event <= this.eventCount; event += 1) {
			await sleep(this.gapMs);
			if (response.destroyed || this.incarnation !== incarnation) {
				return;
			}

			response.write(`id: ${event}\ndata: ${version} ${this.id} ${event}\n\n`);
		}

		response.end();
	}
}
