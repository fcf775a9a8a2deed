/** A small deployment of the project's own programs on loopback addresses, for the cases of the second review. */
import {spawn} from 'node:child_process';
import {
	appendFileSync, createWriteStream, mkdirSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const root = path.resolve(import.meta.dirname ?? path.dirname(new URL(import.meta.url).pathname), '..', '..');
/** Options of the runtime, as in the `run` lines of the deploy file. */
const nodeOptions = ['--max-old-space-size=156'];
const startTimeoutMs = 20_000;

/** Bounds of the sheet of `chroma-route`, as the settings file of a process holds them. */
export const bounds = {
	stableWindowMs: 3000, configMs: 2000, ackMs: 4000, drainMs: 2000, graceSeconds: 8, recoverySeconds: 12,
};

/** Returns a loopback address that no other run uses at the time. */
export function createIp(group, index) {
	return `127.${1 + (process.pid % 250)}.${1 + (Math.floor(process.pid / 250) % 60) + (group * 61)}.${index + 1}`;
}

/** Resolves with a free port on an address. */
export async function findPort(ip) {
	const server = net.createServer();
	await new Promise(resolve => {
		server.listen(0, ip, resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

/** Makes one HTTP call and resolves with its status and body, or with status 0 when it failed. */
export async function call({host, port, method = 'GET', target, body, headers = {}, timeoutMs = 1000}) {
	return new Promise(resolve => {
		const request = http.request({
			host, port, method, path: target, agent: false, timeout: timeoutMs,
			headers: {
				...(body !== undefined && {'Content-Type': 'application/json', 'Content-Length': new TextEncoder().encode(body).length}),
				...headers,
			},
		}, response => {
			const parts = [];
			response.on('data', part => parts.push(part));
			response.on('end', () => {
				resolve({status: response.statusCode, headers: response.headers, body: new TextDecoder().decode(Uint8Array.from(parts.flatMap(part => [...part])))});
			});
			response.on('error', error => {
				resolve({status: 0, body: '', error: error.message});
			});
		});
		const timer = setTimeout(() => {
			request.destroy(new Error('timeout'));
		}, timeoutMs);
		request.on('close', () => {
			clearTimeout(timer);
		});
		request.on('error', error => {
			resolve({status: 0, body: '', error: error.message});
		});
		request.end(body);
	});
}

/** A process of the deployment. It is started again after a short delay when it ends by itself, as on the platform. */
export class Program {
	constructor(options) {
		this.options = options;
		this.ends = [];
		this.starts = 0;
		this.isWanted = false;
	}

	get pid() {
		return this.child?.pid;
	}

	/** Writes the settings file with what holds now, and returns its path. */
	writeSettings() {
		const {settings, folder, isFirstStart = true} = this.options;
		const file = path.join(folder, 'settings.ini');
		writeFileSync(file, settings({isFirstStart: this.starts <= 1 && isFirstStart, dataFolder: path.join(folder, 'data')}));
		return file;
	}

	start() {
		const {deployment, name, program, folder} = this.options;
		mkdirSync(path.join(folder, 'data'), {recursive: true});
		this.starts += 1;
		const file = this.writeSettings();
		this.isWanted = true;
		const child = spawn(process.execPath, [...nodeOptions, path.join('target', program)], {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, MULBERRYPITCH_BOOT: file}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(folder, 'log.txt'), {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this.child = child;
		child.once('exit', (code, signal) => {
			if (!this.isWanted || this.child !== child) {
				return;
			}

			this.ends.push({at: Date.now(), code, signal});
			deployment.record(`${name} ended by itself: code ${code}, signal ${signal}`);
			setTimeout(() => {
				if (this.isWanted && this.child === child) {
					this.start();
				}
			}, 500);
		});
	}

	signal(name) {
		this.child?.kill(name);
	}

	/** Ends the process with a signal that the case sends. It is not started again by itself. */
	async end(signal = 'SIGKILL') {
		const {child} = this;
		this.isWanted = false;
		if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
			return;
		}

		const ended = new Promise(resolve => {
			child.once('exit', resolve);
		});
		child.kill(signal);
		await ended;
	}

	/** Removes the data of the process, which must have ended, as the loss of its disk does. */
	wipe() {
		rmSync(path.join(this.options.folder, 'data'), {recursive: true, force: true});
	}
}

/** Coordinators and entries with one settings file each. */
export class Deployment {
	constructor({recordFile}) {
		this.recordFile = recordFile;
		this.folder = mkdtempSync(path.join(tmpdir(), 'mulberrypitch-review-'));
		this.startedAt = Date.now();
		this.coordinators = [];
		this.entries = [];
		this.others = [];
		writeFileSync(recordFile, '');
		process.on('exit', () => {
			for (const program of [...this.coordinators, ...this.entries]) {
				program.isWanted = false;
				program.child?.kill('SIGKILL');
			}

			rmSync(this.folder, {recursive: true, force: true});
		});
	}

	/** Writes one line of what was sent, answered or run. */
	record(text) {
		appendFileSync(this.recordFile, `${((Date.now() - this.startedAt) / 1000).toFixed(3)} ${text}\n`);
	}

	/** Draws the ports, which are the same on all machines. */
	async drawPorts() {
		const ip = createIp(0, 0);
		this.ports = {};
		for (const name of ['peer', 'callers', 'readiness', 'operators', 'lookups']) {
			this.ports[name] = await findPort(ip);
		}
	}

	createSettings({role, name, ip, zone = 'z', cloud = ''}) {
		const isEntry = role === 'entry';
		const {ports} = this;
		return ({isFirstStart, dataFolder}) => `[host]
name = ${name}
ip = ${ip}
zone = ${zone}
callers = ${isEntry ? `${ip}:${ports.callers}` : ''}
readiness = ${isEntry ? `${ip}:${ports.readiness}` : ''}
operators = ${isEntry ? '' : `${ip}:${ports.operators}`}
lookups = ${isEntry ? '' : `${ip}:${ports.lookups}`}
peerPort = ${ports.peer}
coordinators = ${this.seeds.map(seed => `${seed}:${ports.operators}`).join(',')}
isFirstStart = ${isFirstStart}
dataFolder = ${isEntry ? '' : dataFolder}
[timing]
announceIntervalMs = 1200
leaseMs = 3000
graceSeconds = ${bounds.graceSeconds}
maxAddressSeconds = 5
usageWindowSeconds = 5
usageLateSeconds = 10
[retries]
ratio = 0.2
slack = 56
windowSeconds = 10
[quotas]
windowSeconds = 8
tolerancePart = 0.1
toleranceUnits = 140000
[rollouts]
exposedShare =
exposedSlack =
rollbackMs =
[cloud]
address = ${isEntry ? '' : cloud}
duties = ${isEntry || cloud === '' ? '' : 'usage_report,autoscale'}
`;
	}

	addProgram(role, index, options = {}) {
		const ip = options.ip ?? createIp(role === 'entry' ? 1 : 0, index);
		const name = options.name ?? `${role === 'entry' ? 'front' : 'core'}-z-${index + 1}`;
		const folder = path.join(this.folder, options.folder ?? `${role}-${index}`);
		const program = new Program({
			deployment: this, name, folder, isFirstStart: options.isFirstStart, program: `${role}.cjs`, settings: this.createSettings({
				role, name, ip, ...options,
			}),
		});
		program.ip = ip;
		program.name = name;
		(role === 'entry' ? this.entries : this.coordinators).push(program);
		return program;
	}

	/** Starts coordinators and entries for the first time, and resolves once each coordinator answers. */
	async start({coordinators = 3, entries = 2, cloud = ''} = {}) {
		await this.drawPorts();
		this.seeds = Array.from({length: coordinators}, (_, index) => createIp(0, index));
		for (let index = 0; index < coordinators; index += 1) {
			this.addProgram('coordinator', index, {cloud}).start();
		}

		for (let index = 0; index < entries; index += 1) {
			this.addProgram('entry', index).start();
		}
	}

	/** Sends a configuration to the coordinators in turn until one acknowledges it, and resolves with whether one did within the time. */
	async put(configuration, {first = 0, timeoutMs = bounds.ackMs, callMs = 1000} = {}) {
		const body = JSON.stringify(configuration);
		const until = Date.now() + timeoutMs;
		for (let attempt = first; Date.now() < until; attempt += 1) {
			const {ip} = this.coordinators[attempt % this.coordinators.length];
			const {status} = await call({
				host: ip, port: this.ports.operators, method: 'POST', target: '/mulberrypitch/Config.Put', body, timeoutMs: callMs,
			});
			if (status === 200 || (status >= 400 && status < 500 && status !== 408 && status !== 429)) {
				return status;
			}

			await sleep(50);
		}

		return 0;
	}

	/** Sends the first configuration until it is acknowledged. */
	async putFirst(configuration) {
		const status = await this.put(configuration, {timeoutMs: startTimeoutMs});
		if (status !== 200) {
			throw new Error(`The first configuration was not acknowledged: ${status}.`);
		}

		this.record(`version ${configuration.version} acknowledged`);
	}

	/** Reads the configuration from one coordinator. */
	async read(coordinator, timeoutMs = 1000) {
		return call({
			host: coordinator.ip, port: this.ports.operators, target: '/mulberrypitch/Config.Get', timeoutMs,
		});
	}

	/** Resolves once each entry says that it is ready. */
	async waitForEntries(timeoutMs = startTimeoutMs) {
		const until = Date.now() + timeoutMs;
		for (const {ip} of this.entries) {
			for (;;) {
				const {status} = await call({host: ip, port: this.ports.readiness, target: '/mulberrypitch/ready'});
				if (status === 200) {
					break;
				}

				if (Date.now() > until) {
					throw new Error('An entry is not ready.');
				}

				await sleep(50);
			}
		}
	}

	async dispose() {
		for (const other of this.others) {
			await other.dispose();
		}

		await Promise.all([...this.coordinators, ...this.entries].map(async program => program.end()));
	}
}

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export async function runCase(recordFile, check) {
	const deployment = new Deployment({recordFile});
	const timer = setTimeout(() => {
		deployment.record('the case took too long');
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(2);
	}, 118_000);
	for (const name of ['SIGINT', 'SIGTERM']) {
		process.on(name, () => {
			process.exit(2);
		});
	}

	let code = 2;
	try {
		code = await check(deployment, {hasTrouble: process.env.TROUBLE !== '0'}) ? 1 : 0;
	} catch (error) {
		deployment.record(`the case could not run: ${error.stack}`);
	}

	clearTimeout(timer);
	await deployment.dispose();
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(code);
}
