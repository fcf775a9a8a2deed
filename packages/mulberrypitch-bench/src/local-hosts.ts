/** Hosts of the binary and stand-ins as processes on this machine, with data on its disk. */
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

const root = path.resolve(import.meta.dirname, '../../..');
const binary = path.join(root, 'build/mulberrypitch');
const fakes = fileURLToPath(import.meta.resolve('@mulberrypitch/fakes/main'));
const network = 60;
const replicaCount = 3;
const zoneCount = 3;
const pollMs = 100;
const startLimitMs = 30_000;
const stopGraceMs = 200;

/** One host process. */
export type LocalHost = {
	readonly name: string;
	readonly address: string;
	readonly peerAddress: string;
	readonly folder: string;
	readonly child: ChildProcess;
};

type Status = {
	readonly backends: readonly unknown[];
	readonly sessions: readonly unknown[];
	readonly leader?: {readonly leader?: string};
};

/** Starts hosts and stand-ins, and ends them on disposal. */
export class LocalHosts {
	readonly hosts: LocalHost[] = [];
	readonly #folder = path.join(root, 'build/bench-data');
	readonly #children: ChildProcess[] = [];

	/** Addresses of the control replicas, as settings and clients need them. */
	get replicas(): Array<{name: string; address: string}> {
		return Array.from({length: replicaCount}, (_, index) => ({name: `host-${index + 1}`, address: `${getIp(index)}:7080`}));
	}

	/** Starts hosts, of which the first three are control replicas, and puts the configuration in force. */
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

	/** Starts a stand-in back end. */
	startBackend(kind: 'engine' | 'plain', options: Readonly<Record<string, string | number>>): void {
		const flags = Object.entries(options).map(([name, value]) => `--${name}=${value}`);
		const entries = this.hosts.map(host => host.address).join(',');
		this.#spawn(process.execPath, [fakes, kind, `--entries=${entries}`, '--slots=10000', ...flags]);
	}

	/** Waits until the hosts know this many back ends. */
	async waitForBackends(count: number): Promise<void> {
		await this.waitUntil(`${count} back ends are known`, async () => {
			const status = await this.readStatus();
			return status.backends.length === count;
		});
	}

	/** Gives the host that leads the control group. */
	async findLeader(): Promise<LocalHost> {
		const status = await this.readStatus();
		return this.hosts.find(host => host.name === status.leader?.leader) ?? this.hosts[0]!;
	}

	async readStatus(): Promise<Status> {
		return this.callOperator<Status>('/v1/admin/status');
	}

	/** Calls the operators' API of the first host. */
	async callOperator<Reply>(pathname: string, body?: unknown): Promise<Reply> {
		const response = await request(this.hosts[0]!.address + pathname, {
			method: body === undefined ? 'GET' : 'POST',
			headers: {authorization: `Bearer ${hostDefaults.loopbackSecret}`},
			...(body !== undefined && {body: JSON.stringify(body)}),
		});
		return assumeType<Reply>(await response.body.json());
	}

	/** Waits until a condition holds. */
	async waitUntil(what: string, isReached: () => Promise<boolean>): Promise<void> {
		const end = performance.now() + startLimitMs;
		while (!await isReached()) {
			if (performance.now() > end) {
				throw new TimeoutError(what, startLimitMs);
			}

			await delay(pollMs);
		}
	}

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
			address: `http://${getIp(index)}:8080`,
			peerAddress: `${getIp(index)}:7080`,
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
http = ${getIp(index)}:8080
peer = ${getIp(index)}:7080
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

function getIp(index: number): string {
	return `127.${network}.${Math.floor(index / 250)}.${(index % 250) + 1}`;
}
