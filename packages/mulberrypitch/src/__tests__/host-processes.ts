/** Starts hosts and stand-ins as processes of their own, for tests. */
import {spawn, type ChildProcess} from 'node:child_process';
import {
	closeSync, mkdirSync, openSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';

const root = path.resolve(import.meta.dirname, '../../../..');
const binary = path.join(root, 'build/mulberrypitch');
const fakes = fileURLToPath(import.meta.resolve('@mulberrypitch/fakes/main'));
const pollMs = 50;
const startLimitMs = 30_000;
/** Runs of the same test that may go on side by side on one machine. */
const runs = 250;
const zones = ['palermo', 'catania', 'agrigento'];

/** One host process. */
export type HostProcess = {
	readonly name: string;
	readonly address: string;
	readonly child: ChildProcess;
};

/** Hosts and stand-ins of one test. Each test takes its own network number, so that tests can run side by side. */
export class HostProcesses {
	readonly hosts: HostProcess[] = [];
	readonly #folder: string;
	readonly #network: number;
	readonly #children: ChildProcess[] = [];

	constructor(folder: string, network: number) {
		this.#folder = folder;
		this.#network = network;
	}

	/** Starts hosts; the first three hold the control group. */
	async start(count: number): Promise<void> {
		for (let index = 0; index < count; index += 1) {
			this.startHost(index);
		}

		await Promise.all(this.hosts.map(async host => this.waitFor(host, '/healthz')));
	}

	/** Starts the host with an index, also again after it stopped. */
	startHost(index: number): HostProcess {
		const name = `host-${index + 1}`;
		const file = path.join(this.#folder, `${name}.ini`);
		mkdirSync(this.#folder, {recursive: true});
		writeFileSync(file, this.#createSettings(name, index));
		const host = {name, address: `http://${this.#getIp(index)}:8080`, child: this.#spawn(name, binary, ['serve', file])};
		this.hosts[index] = host;
		return host;
	}

	/** Starts a stand-in back end. */
	startBackend(kind: 'engine' | 'plain', options: Readonly<Record<string, string | number>>): ChildProcess {
		const flags = Object.entries(options).map(([name, value]) => `--${name}=${value}`);
		const entries = this.hosts.map(host => host.address).join(',');
		return this.#spawn(`back-end-${kind}`, process.execPath, [fakes, kind, `--entries=${entries}`, ...flags]);
	}

	/** Runs the command to its end and gives its output and exit code. */
	async run(...args: string[]): Promise<{code: number; stdout: string; stderr: string}> {
		const child = spawn(binary, args, {stdio: ['ignore', 'pipe', 'pipe']});
		let stdout = '';
		let stderr = '';
		child.stdout.on('data', data => {
			stdout += String(data);
		});
		child.stderr.on('data', data => {
			stderr += String(data);
		});
		return new Promise(resolve => {
			child.once('close', code => {
				resolve({code: code ?? -1, stdout, stderr});
			});
		});
	}

	/** Waits until a path of a host answers 200. */
	async waitFor(host: HostProcess, pathname: string): Promise<void> {
		await waitUntil(`${host.name} answers ${pathname}`, async () => {
			try {
				const response = await request(host.address + pathname);
				await response.body.dump();
				return response.statusCode === 200;
			} catch {
				return false;
			}
		});
	}

	/** Ends all processes that this object started. */
	async dispose(): Promise<void> {
		await Promise.all(this.#children.map(async child => {
			if (child.exitCode === null && child.signalCode === null) {
				const ended = waitForExit(child);
				child.kill('SIGKILL');
				await ended;
			}
		}));
	}

	/** Its output goes to a file beside its settings. */
	#spawn(name: string, command: string, args: string[]): ChildProcess {
		const log = openSync(path.join(this.#folder, `${name}.log`), 'a');
		const child = spawn(command, args, {stdio: ['ignore', log, log]});
		closeSync(log);
		this.#children.push(child);
		return child;
	}

	#getIp(index: number): string {
		return `127.${this.#network}.${(process.pid % runs) + 1}.${index + 1}`;
	}

	#createSettings(name: string, index: number): string {
		const replicas = [0, 1, 2].map(replica => `host-${replica + 1}=${this.#getIp(replica)}:7080`).join(', ');
		const isControl = index < 3;
		return `[host]
name = ${name}
site = ${zones[index % 3]}
zone = ${zones[index % 3]}
roles = ${isControl ? 'entry, control' : 'entry'}
${isControl ? `data = ${name}-data` : ''}
[listen]
http = ${this.#getIp(index)}:8080
peer = ${this.#getIp(index)}:7080
entries-ttl-seconds = 1
[control]
replicas = ${replicas}
`;
	}
}

/**
Resolves with the exit code of a process, or its signal.

@example
```
await waitForExit(host.child);
```
*/
export async function waitForExit(child: ChildProcess): Promise<number | string> {
	if (child.exitCode !== null || child.signalCode !== null) {
		return child.exitCode ?? child.signalCode ?? -1;
	}

	return new Promise(resolve => {
		child.once('exit', (code, signal) => {
			resolve(code ?? signal ?? -1);
		});
	});
}

/**
Waits until a condition holds.

@example
```
await waitUntil('the host is up', async () => isUp());
```
*/
export async function waitUntil(what: string, isReached: () => Promise<boolean>): Promise<void> {
	const end = Date.now() + startLimitMs;
	while (!await isReached()) {
		if (Date.now() > end) {
			throw new Error(`Waited in vain until ${what}.`);
		}

		await delay(pollMs);
	}
}
