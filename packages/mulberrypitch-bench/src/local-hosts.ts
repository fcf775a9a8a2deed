/** Runs hosts and stand-in back ends (the program of `mulberrypitch-fakes`) as processes on this machine, with their data on its disk. */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdirSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {TimeoutError} from '@mulberrypitch/errors/catalogue';
import {hostDefaults} from '@mulberrypitch/config/defaults';
import {benchConfiguration} from './bench-configuration.js';

const repositoryFolder = path.resolve(import.meta.dirname, '../../..');
const binary = path.join(repositoryFolder, 'build/mulberrypitch');
const fakesProgram = fileURLToPath(import.meta.resolve('@mulberrypitch/fakes/main'));
/** Second octet of the loopback addresses of the hosts. */
const loopbackOctet = 60;
const replicaCount = 3;
const zoneCount = 3;
const pollMs = 100;
const waitTimeoutMs = 30_000;
/** Fixed wait in milliseconds after SIGKILL. The processes are then assumed to have ended, and their data is deleted. */
const stopGraceMs = 200;

/** A host process. `address` is the base URL of its HTTP API, `peerAddress` has no scheme, and `folder` is its data folder. */
export type LocalHost = {
	readonly name: string;
	readonly address: string;
	readonly peerAddress: string;
	readonly folder: string;
	readonly child: ChildProcess;
};

/** The part of the reply of `/v1/admin/status` that measurements read. `leader` is the leader's own status, which names the leader. */
type Status = {
	readonly backends: readonly unknown[];
	readonly sessions: readonly unknown[];
	readonly leader?: {readonly leader?: string};
};

/** Starts hosts and stand-in back ends, and kills them when it is disposed of. */
export class LocalHosts {
	readonly hosts: LocalHost[] = [];
	readonly #folder = path.join(repositoryFolder, 'build/bench-data');
	readonly #children: ChildProcess[] = [];

	/** Names and peer addresses of the control replicas. Unlike `LocalHost.address`, `address` is an IP address and port here. */
	get replicas(): Array<{name: string; address: string}> {
		return Array.from({length: replicaCount}, (_, index) => ({name: `host-${index + 1}`, address: `${getHostIp(index)}:7080`}));
	}

	/**
	Starts hosts, of which the first three are control replicas, and applies the bench configuration. `count` should be at least
	three, because the settings of each host always list three replicas.
	*/
	async start(count: number): Promise<void> {
		rmSync(this.#folder, {recursive: true, force: true});
		mkdirSync(this.#folder, {recursive: true});
		for (let index = 0; index < count; index += 1) {
			this.#startHost(index);
		}

		await this.waitUntil('the hosts answer', async () => this.#areAllAnswering('/healthz'));
		await this.callOperator('/v1/admin/configuration', {
			changeId: 'bench', expectedRevision: 0, operator: 'bench', base: benchConfiguration, overlays: {},
		});
		await this.waitUntil('the hosts are ready', async () => this.#areAllAnswering('/readyz'));
	}

	/** Starts a stand-in back end process with the given options of `mulberrypitch-fakes`. */
	startBackend(kind: 'engine' | 'plain', options: Readonly<Record<string, string | number>>): void {
		const flags = Object.entries(options).map(([name, value]) => `--${name}=${value}`);
		const entries = this.hosts.map(host => host.address).join(',');
		this.#spawn(process.execPath, [fakesProgram, kind, `--entries=${entries}`, '--slots=10000', ...flags]);
	}

	/** Waits until exactly this many back ends are registered. */
	async waitForBackends(count: number): Promise<void> {
		await this.waitUntil(`${count} back ends are known`, async () => {
			const status = await this.readStatus();
			return status.backends.length === count;
		});
	}

	/** Returns the leader of the control group, or the first host when the leader is not known. */
	async findLeader(): Promise<LocalHost> {
		const status = await this.readStatus();
		return this.hosts.find(host => host.name === status.leader?.leader) ?? this.hosts[0]!;
	}

	/** Returns the status that the first host reports. */
	async readStatus(): Promise<Status> {
		return this.callOperator<Status>('/v1/admin/status');
	}

	/** Calls the operator API of the first host: POST with a body, GET without one. Returns the body of an error reply, too. */
	async callOperator<Reply>(pathname: string, body?: unknown): Promise<Reply> {
		const response = await request(this.hosts[0]!.address + pathname, {
			method: body === undefined ? 'GET' : 'POST',
			headers: {authorization: `Bearer ${hostDefaults.loopbackSecret}`},
			...(body !== undefined && {body: JSON.stringify(body)}),
		});
		return assumeType<Reply>(await response.body.json());
	}

	/** Checks a condition every 100 ms until it holds. Throws `TimeoutError` with its description after 30 seconds. */
	async waitUntil(condition: string, isReached: () => Promise<boolean>): Promise<void> {
		const end = performance.now() + waitTimeoutMs;
		while (!await isReached()) {
			if (performance.now() > end) {
				throw new TimeoutError(condition, waitTimeoutMs);
			}

			await delay(pollMs);
		}
	}

	/** Kills all processes that were started and deletes their data. */
	async dispose(): Promise<void> {
		for (const child of this.#children) {
			child.kill('SIGKILL');
		}

		await delay(stopGraceMs);
		rmSync(this.#folder, {recursive: true, force: true});
	}

	async #areAllAnswering(pathname: string): Promise<boolean> {
		const answers = await Promise.all(this.hosts.map(async host => isAnswering(host.address + pathname)));
		return answers.every(Boolean);
	}

	#startHost(index: number): void {
		const name = `host-${index + 1}`;
		const file = path.join(this.#folder, `${name}.ini`);
		writeFileSync(file, this.#createSettings(name, index));
		this.hosts.push({
			name,
			address: `http://${getHostIp(index)}:8080`,
			peerAddress: `${getHostIp(index)}:7080`,
			folder: path.join(this.#folder, `${name}-data`),
			child: this.#spawn(binary, ['serve', file]),
		});
	}

	#spawn(command: string, args: string[]): ChildProcess {
		const child = spawn(command, args, {stdio: 'ignore'});
		this.#children.push(child);
		return child;
	}

	#createSettings(name: string, index: number): string {
		const isControl = index < replicaCount;
		return `[host]
name = ${name}
zone = zone-${(index % zoneCount) + 1}
roles = ${isControl ? 'entry, control' : 'entry'}
${isControl ? `data = ${name}-data` : ''}
[listen]
http = ${getHostIp(index)}:8080
peer = ${getHostIp(index)}:7080
[control]
replicas = ${this.replicas.map(replica => `${replica.name}=${replica.address}`).join(', ')}
[log]
level = warn
`;
	}
}

async function isAnswering(url: string): Promise<boolean> {
	try {
		const response = await request(url);
		await response.body.dump();
		return response.statusCode === 200;
	} catch {
		return false;
	}
}

function getHostIp(index: number): string {
	return `127.${loopbackOctet}.${Math.floor(index / 250)}.${(index % 250) + 1}`;
}
