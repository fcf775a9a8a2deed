/** Stand-in for a runner: registers itself, runs the requests of a connection one after another, and records each run. */
import net from 'node:net';
import {Buffer} from 'node:buffer';
import {call} from './calls.mjs';
import {wait} from './time.mjs';
import {createHeartbeat} from './wire.mjs';

const headEnd = '\r\n\r\n';

/** Returns the method, the path and the headers, by lower-case name, of a request. */
function parseHead(text) {
	const [line, ...rest] = text.split('\r\n');
	const [method, path] = line.split(' ');
	const headers = Object.fromEntries(rest.map(header => {
		const colon = header.indexOf(':');
		return [header.slice(0, colon).toLowerCase(), header.slice(colon + 1).trim()];
	}));
	return {method, path, headers};
}

/** One incarnation of a runner. `answer` writes the answer to a request that has run; by default a sound one. */
export class Runner {
	constructor({deployment, id, index, service, slots, workMs, version = 'v1', answer = createAnswer}) {
		Object.assign(this, {
			deployment, id, service, slots, workMs, version, answer,
		});
		this.zone = deployment.zones[index];
		this.ip = deployment.getRunnerIp(index);
		this.port = deployment.ports.runner;
		/** The requests that it ran, with the time at which each began. */
		this.runs = [];
		this.born = Date.now();
		this.state = 'ready';
		this.sequence = 0;
		this.running = 0;
		this.sockets = new Set();
		this.isBeating = false;
		this.isStopped = false;
	}

	get address() {
		return `${this.ip}:${this.port}`;
	}

	/** Listens and sends heartbeats. */
	async start() {
		await this.listen();
		this.startBeats();
	}

	async listen() {
		this.server = net.createServer(socket => {
			this.sockets.add(socket);
			socket.setNoDelay(true);
			socket.on('error', () => {
				socket.destroy();
			});
			socket.once('close', () => {
				this.sockets.delete(socket);
			});
			this.#serve(socket);
		});
		await new Promise(resolve => {
			this.server.listen(this.port, this.ip, resolve);
		});
	}

	/** Sends heartbeats until it ends. */
	startBeats() {
		if (!this.isStopped) {
			this.isBeating = true;
			this.#beat();
		}
	}

	/** Returns the next heartbeat. */
	createBeat() {
		this.sequence += 1;
		return createHeartbeat(this);
	}

	/** Sends a heartbeat to one node after the other until one acknowledges it. Resolves with whether one did. */
	async sendBeat(beat = this.createBeat()) {
		return this.#callControl(`/mulberrypitch/Instances.Heartbeat/${this.id}`, beat);
	}

	/** Says that it goes, until a node has acknowledged it. It sends no heartbeats any more. */
	async deregister() {
		this.isBeating = false;
		while (!await this.#callControl(`/mulberrypitch/Instances.Deregister/${this.id}`, {born: this.born})) {
			await wait(50);
		}
	}

	/** Ends at once. */
	stop() {
		this.isBeating = false;
		this.isStopped = true;
		this.server?.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	async #callControl(path, body) {
		for (const core of this.deployment.cores) {
			const reply = await call({
				address: core.control, method: 'POST', path, body: JSON.stringify(body),
			});
			if (reply !== undefined && reply.status >= 200 && reply.status < 300) {
				return true;
			}
		}

		return false;
	}

	async #beat() {
		while (this.isBeating) {
			await Promise.all([this.sendBeat(), wait(this.deployment.heartbeatMs)]);
		}
	}

	async #serve(socket) {
		let data = Buffer.alloc(0);
		try {
			for await (const part of socket) {
				data = Buffer.concat([data, part]);
				for (let end = data.indexOf(headEnd); end !== -1; end = data.indexOf(headEnd)) {
					const request = parseHead(data.toString('latin1', 0, end));
					const bodyAt = end + headEnd.length;
					const nextAt = bodyAt + Number(request.headers['content-length'] ?? 0);
					if (data.length < nextAt) {
						break;
					}

					data = data.subarray(nextAt);
					await this.#handle(request, socket);
				}
			}
		} catch {
			// The connection was reset.
		}
	}

	async #handle({path, headers}, socket) {
		const id = headers['attempt-id'];
		if (path === '/health') {
			socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\nContent-Length: 0${headEnd}`);
			return;
		}

		if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id) {
			socket.write(`HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0${headEnd}`);
			return;
		}

		if (this.running >= this.slots) {
			socket.write(`HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0${headEnd}`);
			return;
		}

		this.running += 1;
		this.runs.push({id, at: Date.now()});
		await wait(this.workMs);
		if (!socket.destroyed) {
			await this.answer({
				runner: this, id, headers, socket,
			});
		}

		this.running -= 1;
	}
}

/** Writes a sound answer. */
export function createAnswer({runner, id, socket}) {
	const body = `answer to ${id}`;
	socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Signature: ${runner.id}.${id}\r\nContent-Length: ${body.length}${headEnd}${body}`);
}
