/** A small deployment on loopback addresses: front and core machines in three zones. */
import {mkdtempSync, rmSync} from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {call, putConfiguration} from './calls.mjs';
import {Machine} from './machine.mjs';
import {pick, wait} from './time.mjs';

const zones = ['bangna', 'samutprakan', 'ladkrabang'];
const metricsPort = 9464;

/** Last parts of the addresses of core machines, front machines and runners. */
const firstCore = 1;
const firstAddedCore = 4;
const firstFront = 11;
const firstRunner = 101;
const usedParts = [1, 2, 3, 4, 5, 6, 11, 12, 13, 101, 102, 103];

async function canListen(host, port) {
	return new Promise(resolve => {
		const server = net.createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Holds the machines. `record` adds a line to the record. */
export class Deployment {
	constructor({record, heartbeatMs = 1200}) {
		this.record = record;
		this.heartbeatMs = heartbeatMs;
		this.folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
		this.zones = zones;
		this.cores = [];
		this.fronts = [];
		process.once('exit', () => {
			for (const machine of [...this.cores, ...this.fronts]) {
				machine.kill();
			}
		});
	}

	/** Starts all machines. */
	async start() {
		await this.#choosePlace();
		this.cores = zones.map((zone, index) => new Machine(this, {
			name: `core-${zone}-1`, role: 'coordinator', ip: this.#getIp(firstCore + index), zone,
		}));
		this.fronts = zones.map((zone, index) => new Machine(this, {
			name: `front-${zone}-1`, role: 'entry', ip: this.#getIp(firstFront + index), zone,
		}));
		for (const machine of [...this.cores, ...this.fronts]) {
			machine.start();
		}
	}

	/** Adds an empty core machine to the zone with an index, at another address, and starts it. */
	addCore(index) {
		const machine = new Machine(this, {
			name: `core-${zones[index]}-2`, role: 'coordinator', ip: this.#getIp(firstAddedCore + index), zone: zones[index], isReplacement: true,
		});
		this.cores = [...this.cores, machine];
		machine.start();
		return machine;
	}

	/** Returns the address of the runner with an index. */
	getRunnerIp(index) {
		return this.#getIp(firstRunner + index);
	}

	/** Has the first configuration acknowledged, and waits until all front machines are ready. Throws if that does not happen. */
	async configure(configuration) {
		if (!await putConfiguration(this.cores, configuration)) {
			throw new Error('The first configuration was not acknowledged.');
		}

		for (let tries = 0; tries < 50; tries += 1) {
			const replies = await Promise.all(this.fronts.map(async ({ip}) => call({address: `${ip}:${this.ports.readiness}`, method: 'GET', path: '/mulberrypitch/ready'})));
			if (replies.every(reply => reply?.status === 200)) {
				return;
			}

			await wait(200);
		}

		throw new Error('The first configuration did not come into force.');
	}

	/** Ends all processes and removes the folder. */
	async stop() {
		const machines = [...this.cores, ...this.fronts];
		for (const machine of machines) {
			machine.kill();
		}

		while (machines.some(machine => machine.isRunning)) {
			await wait(20);
		}

		rmSync(this.folder, {recursive: true, force: true});
	}

	#getIp(last) {
		return `${this.network}.${last}`;
	}

	/** Chooses a loopback network and ports that are free. */
	async #choosePlace() {
		for (;;) {
			this.network = `127.${20 + pick(200)}.${1 + pick(250)}`;
			const first = 20_000 + (10 * pick(1000));
			this.ports = {
				peer: first, front: first + 1, readiness: first + 2, control: first + 3, directory: first + 4, runner: first + 5, metrics: metricsPort,
			};
			const checks = await Promise.all(usedParts.flatMap(last => Object.values(this.ports).map(async port => canListen(this.#getIp(last), port))));
			if (!checks.includes(false)) {
				return;
			}
		}
	}
}
