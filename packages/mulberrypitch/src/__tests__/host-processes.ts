/** Runs hosts and emulated back ends as separate processes, for tests. */
import {spawn, type ChildProcess} from 'node:child_process';
import {
	closeSync, mkdirSync, openSync, readFileSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {Test} from 'tap';
import {request} from 'undici';

const root = path.resolve(import.meta.dirname, '../../../..');
/** The built program. */
export const binary = path.join(root, 'build/mulberrypitch');
const fakesMain = fileURLToPath(import.meta.resolve('@mulberrypitch/fakes/main'));
const pollIntervalMs = 50;
const waitTimeoutMs = 30_000;
/** Number of address ranges that concurrent runs of the same test on one machine choose from, by process ID. */
const maxConcurrentRuns = 250;
const zones = ['palermo', 'catania', 'agrigento'];

/** A running host. */
export type HostProcess = {
	readonly name: string;
	readonly address: string;
	readonly child: ChildProcess;
};

/**
The hosts and emulated back ends of one test. Each test uses its own second octet of the loopback range, so that tests can run
concurrently.
*/
export class HostProcesses {
	readonly hosts: HostProcess[] = [];
	/** Setting of the hosts that are started from now on. */
	stopTimeoutSeconds: number | undefined;
	/** Folder of the test, in which the processes write. */
	readonly folder: string;
	readonly #networkOctet: number;
	readonly #children: ChildProcess[] = [];

	constructor(t: Test, networkOctet: number) {
		// Teardowns run in the order in which they are added, and the folder is removed by one. The processes must have ended before.
		t.teardown(async () => this.dispose());
		this.folder = t.testdir();
		this.#networkOctet = networkOctet;
	}

	/** Starts hosts and waits until they are healthy. The first three form the control group. */
	async start(count: number): Promise<void> {
		for (let index = 0; index < count; index += 1) {
			this.startHost(index);
		}

		await Promise.all(this.hosts.map(async host => this.waitFor(host, '/healthz')));
	}

	/** Starts the host with the given index, or restarts it after it has stopped. */
	startHost(index: number): HostProcess {
		const {name, address, file} = this.prepareHost(index);
		const host = {name, address, child: this.#spawn(name, binary, ['serve', file])};
		this.hosts[index] = host;
		return host;
	}

	/** Writes the settings of the host with the given index, without starting it. */
	prepareHost(index: number): Omit<HostProcess, 'child'> & {readonly file: string} {
		const name = `host-${index + 1}`;
		const file = path.join(this.folder, `${name}.ini`);
		mkdirSync(this.folder, {recursive: true});
		writeFileSync(file, this.#createSettings(name, index));
		return {name, address: `http://${this.getIp(index)}:8080`, file};
	}

	/** Returns what a process has written so far. */
	readLog(name: string): string {
		return readFileSync(path.join(this.folder, `${name}.log`), 'utf8');
	}

	/** Returns the IP address of the host with the given index. */
	getIp(index: number): string {
		return `127.${this.#networkOctet}.${(process.pid % maxConcurrentRuns) + 1}.${index + 1}`;
	}

	/** Starts an emulated back end. */
	startBackend(kind: 'engine' | 'plain', options: Readonly<Record<string, string | number>>): ChildProcess {
		const flags = Object.entries(options).map(([name, value]) => `--${name}=${value}`);
		const entries = this.hosts.map(host => host.address).join(',');
		return this.#spawn(`back-end-${kind}`, process.execPath, [fakesMain, kind, `--entries=${entries}`, ...flags]);
	}

	/** Runs a `mulberrypitch` command and returns its output and exit code; the code is -1 when a signal ended it. */
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

	/** Waits until a host responds to a path with status 200. */
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

	/** Kills all processes that this object started and are still running. */
	async dispose(): Promise<void> {
		await Promise.all(this.#children.map(async child => {
			if (child.exitCode === null && child.signalCode === null) {
				const ended = waitForExit(child);
				child.kill('SIGKILL');
				await ended;
			}
		}));
	}

	/** Starts a process whose output is appended to a log file in the folder of the test. */
	#spawn(name: string, command: string, args: string[]): ChildProcess {
		const logFile = openSync(path.join(this.folder, `${name}.log`), 'a');
		const child = spawn(command, args, {stdio: ['ignore', logFile, logFile]});
		closeSync(logFile);
		this.#children.push(child);
		return child;
	}

	#createSettings(name: string, index: number): string {
		const replicas = [0, 1, 2].map(replica => `host-${replica + 1}=${this.getIp(replica)}:7080`).join(', ');
		const isControl = index < 3;
		return `[host]
name = ${name}
site = ${zones[index % 3]}
zone = ${zones[index % 3]}
roles = ${isControl ? 'entry, control' : 'entry'}
${isControl ? `data = ${name}-data` : ''}
${this.stopTimeoutSeconds === undefined ? '' : `stop-timeout-seconds = ${this.stopTimeoutSeconds}`}
[listen]
http = ${this.getIp(index)}:8080
peer = ${this.getIp(index)}:7080
entries-ttl-seconds = 1
[control]
replicas = ${replicas}
`;
	}
}

/**
Waits until a process exits, and returns its exit code or the signal that ended it.

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
Waits until a condition holds. Throws after a time limit.

@example
```
await waitUntil('the host is up', async () => isUp());
```
*/
export async function waitUntil(description: string, isReached: () => Promise<boolean>): Promise<void> {
	const deadline = Date.now() + waitTimeoutMs;
	while (!await isReached()) {
		if (Date.now() > deadline) {
			throw new Error(`Timed out while waiting until ${description}.`);
		}

		await delay(pollIntervalMs);
	}
}
