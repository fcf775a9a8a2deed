/** Randomised fault injection into a control group on virtual time, reproducible by seed. */
import {MemoryNetwork} from '@mulberrypitch/fakes/memory-transport';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import {getRandomBetween, SeededRandom, type Random} from '@mulberrypitch/lifecycle/random';
import {events, type CataloguedEvent} from '@mulberrypitch/logger/events';
import type {Fields, Logger} from '@mulberrypitch/logger/logger';
import {Checker} from './checker.js';
import {Links} from './links.js';
import {Client} from './operators.js';
import {SimulatedHost} from './simulated-host.js';

const stepMs = 10;
const faultPhaseMs = 20_000;
const recoveryLimitMs = 60_000;
const settleMs = 2000;
const maxFaultMs = 3000;
const maxFaultIntervalMs = 1200;
const maxClockDrift = 0.02;

/** Counts and violations of one run. */
export type RunReport = {
	readonly seed: number;
	/** Violated invariants; empty when the run passed. */
	readonly violations: readonly string[];
	/** Number of log entries applied by any replica. */
	readonly committedEntries: number;
	readonly acknowledgedChanges: number;
	readonly acknowledgedRequests: number;
	/** Number of injected faults by name, and of logged events by text. */
	readonly faults: Readonly<Record<string, number>>;
};

/** Counts all log events, and collects those that a run must never log as failures. */
export class RunLogger implements Logger {
	readonly failures: string[] = [];
	readonly counts = new Map<CataloguedEvent, number>();

	log(event: CataloguedEvent, fields: Fields = {}): void {
		this.counts.set(event, (this.counts.get(event) ?? 0) + 1);
		if (event === events.taskFailed || event === events.recordsRefused) {
			this.failures.push(`${event.text}: ${fields.reason}`);
		}
	}
}

/** A control group with fault injection, clients and a checker of its invariants. */
export class Simulation {
	readonly clock = new VirtualClock();
	readonly network = new MemoryNetwork(this.clock);
	readonly checker = new Checker();
	readonly logger = new RunLogger();
	readonly links: Links;
	readonly hosts: readonly SimulatedHost[];
	readonly #random: Random;
	readonly #faults = new Map<string, number>();
	readonly #repairs: Array<{readonly at: number; readonly repair: () => Promise<void>}> = [];

	constructor(seed: number, size?: number) {
		this.#random = new SeededRandom(seed);
		const count = size ?? (this.#random.next() < 0.3 ? 5 : 3);
		const peers = Array.from({length: count}, (_, position) => {
			const name = String.fromCodePoint('a'.codePointAt(0)! + position);
			return {name, address: name};
		});
		const snapshotIntervalEntries = Math.floor(getRandomBetween(this.#random, 10, 80));
		this.hosts = peers.map(({name}, position) => new SimulatedHost({
			name,
			peers,
			network: this.network,
			random: new SeededRandom((seed * 16) + position + 1),
			clockRate: 1 + getRandomBetween(this.#random, -maxClockDrift, maxClockDrift),
			logger: this.logger,
			checker: this.checker,
			snapshotIntervalEntries,
		}));
		const quality = {
			maxUsualDelayMs: getRandomBetween(this.#random, 2, 30), lossShare: this.#random.next() * 0.03, duplicateShare: this.#random.next() * 0.05, longDelayShare: this.#random.next() * 0.02,
		};
		this.links = new Links(this.network, this.#random, quality, name => this.getHost(name).clock.frozenUntil);
	}

	/** Returns the host with this name, which must exist. */
	getHost(name: string): SimulatedHost {
		return this.hosts.find(host => host.name === name)!;
	}

	/** Advances time in steps of at most `stepMs` and checks the invariants after each. */
	async advance(durationMs: number): Promise<void> {
		const end = this.clock.now() + durationMs;
		while (this.clock.now() < end) {
			await this.clock.runFor(Math.ceil(Math.min(stepMs, end - this.clock.now())));
			this.checker.checkCurrentState(this.hosts);
		}
	}

	/** Starts all hosts, injects faults for a while, repairs all of them and checks the recovery. */
	async run(seed: number): Promise<RunReport> {
		await Promise.all(this.hosts.map(async host => host.start()));
		const clients = this.#startClients();
		const end = this.clock.now() + faultPhaseMs;
		while (this.clock.now() < end) {
			await this.advance(getRandomBetween(this.#random, 0, maxFaultIntervalMs));
			this.#injectFault();
			await this.#runRepairs(this.clock.now());
		}

		await this.#repairAll();
		await Promise.race([Promise.all(clients.map(async client => client.dispose())), this.advance(recoveryLimitMs)]);
		await this.#checkRecovery();
		const report = this.#createReport(seed);
		for (const host of this.hosts) {
			host.kill(false);
		}

		return report;
	}

	#startClients(): BackgroundTask[] {
		const options = {
			hosts: this.hosts, clock: this.clock, random: this.#random, checker: this.checker,
		};
		const onFailure = (error: unknown) => {
			this.checker.violations.push(`client failed: ${String(error)}`);
		};

		return [
			new BackgroundTask(async signal => new Client('operator-1', options).runOperator(signal), onFailure),
			new BackgroundTask(async signal => new Client('operator-2', options).runOperator(signal), onFailure),
			new BackgroundTask(async signal => new Client('caller', options).runCaller(signal), onFailure),
		];
	}

	#injectFault(): void {
		const actions: Readonly<Record<string, (host: SimulatedHost) => void>> = {
			kill: host => {
				this.#kill(host);
			},
			loseDisk: host => {
				this.#loseDisk(host);
			},
			cutOneWay: host => {
				this.#cut(host, this.#pickOther(host), false);
			},
			cutBothWays: host => {
				this.#cut(host, this.#pickOther(host), true);
			},
			isolate: host => {
				for (const other of this.hosts.filter(candidate => candidate !== host)) {
					this.#cut(host, other, true);
				}
			},
			freeze: host => {
				host.clock.freeze(getRandomBetween(this.#random, 0, maxFaultMs));
			},
			slowSync: host => {
				this.#injectDiskFault(host, {syncDelayMs: getRandomBetween(this.#random, 0, maxFaultMs)});
			},
			fullDisk: host => {
				this.#injectDiskFault(host, {isFull: true});
			},
			failingSync: host => {
				this.#injectDiskFault(host, {isSyncFailing: true});
			},
		};
		const names = Object.keys(actions);
		const name = names[Math.floor(this.#random.next() * names.length)]!;
		const leader = this.hosts.find(host => host.replica?.hasLease());
		const host = leader !== undefined && this.#random.next() < 0.4 ? leader : this.hosts[Math.floor(this.#random.next() * this.hosts.length)]!;
		this.#faults.set(name, (this.#faults.get(name) ?? 0) + 1);
		actions[name]!(host);
	}

	#pickOther(host: SimulatedHost): SimulatedHost {
		const others = this.hosts.filter(candidate => candidate !== host);
		return others[Math.floor(this.#random.next() * others.length)]!;
	}

	#kill(host: SimulatedHost): void {
		if (host.replica === undefined) {
			return;
		}

		host.kill(this.#random.next() < 0.7);
		this.#repairLater(async () => this.#restart(host));
	}

	/** Replaces the disk of a host, unless the hosts that have not been voters on their current disk would no longer be a minority. */
	#loseDisk(host: SimulatedHost): void {
		const unrepaired = this.hosts.filter(candidate => candidate !== host && !candidate.hasBeenVoter);
		if (unrepaired.length + 1 > Math.floor((this.hosts.length - 1) / 2)) {
			return;
		}

		host.replaceDisk();
		this.#repairLater(async () => this.#restart(host));
	}

	#cut(from: SimulatedHost, to: SimulatedHost, isBothWays: boolean): void {
		this.links.cut(from.name, to.name);
		if (isBothWays) {
			this.links.cut(to.name, from.name);
		}

		this.#repairLater(async () => {
			this.links.restore(from.name, to.name);
			this.links.restore(to.name, from.name);
		});
	}

	#injectDiskFault(host: SimulatedHost, faults: Partial<SimulatedHost['disk']['faults']>): void {
		const {disk} = host;
		Object.assign(disk.faults, faults);
		this.#repairLater(async () => {
			Object.assign(disk.faults, {isFull: false, isSyncFailing: false, syncDelayMs: 0});
			if (host.replica !== undefined && faults.syncDelayMs === undefined) {
				host.kill(this.#random.next() < 0.5);
				await this.#restart(host);
			}
		});
	}

	#repairLater(repair: () => Promise<void>): void {
		this.#repairs.push({at: this.clock.now() + getRandomBetween(this.#random, 0, maxFaultMs), repair});
	}

	async #runRepairs(now: number): Promise<void> {
		const due = this.#repairs.filter(({at}) => at <= now);
		for (const item of due) {
			this.#repairs.splice(this.#repairs.indexOf(item), 1);
			await item.repair();
		}
	}

	async #restart(host: SimulatedHost): Promise<void> {
		if (host.replica !== undefined) {
			return;
		}

		const starting = this.#tryStart(host);
		while (!await Promise.race([starting, this.#advanceStep()])) {
			// With a slow disk, the start takes virtual time, which must advance meanwhile.
		}
	}

	async #advanceStep(): Promise<boolean> {
		await this.advance(stepMs);
		return false;
	}

	async #tryStart(host: SimulatedHost): Promise<boolean> {
		try {
			await host.start();
		} catch (error) {
			const {isFull, isSyncFailing} = host.disk.faults;
			if (!isFull && !isSyncFailing) {
				this.checker.violations.push(`${host.name} does not start: ${String(error)}`);
			}

			host.kill(false);
			this.#repairLater(async () => this.#restart(host));
		}

		return true;
	}

	async #repairAll(): Promise<void> {
		this.links.restoreAll();
		this.links.quality = {
			maxUsualDelayMs: 5, lossShare: 0, duplicateShare: 0, longDelayShare: 0,
		};
		await this.advance(maxFaultMs);
		await this.#runRepairs(Number.POSITIVE_INFINITY);
		for (const host of this.hosts) {
			Object.assign(host.disk.faults, {isFull: false, isSyncFailing: false, syncDelayMs: 0});
			host.kill(false);
			await this.#restart(host);
		}
	}

	async #checkRecovery(): Promise<void> {
		const end = this.clock.now() + recoveryLimitMs;
		while (!this.#hasRecovered() && this.clock.now() < end) {
			await this.advance(100);
		}

		if (!this.#hasRecovered()) {
			const descriptions = this.hosts.map(host => describeHost(host));
			this.checker.violations.push(`not recovered: ${descriptions.join('; ')}`);
			return;
		}

		await this.advance(settleMs);
		this.checker.checkFinalState(this.hosts);
	}

	#hasRecovered(): boolean {
		const leader = this.hosts.find(host => host.replica?.hasLease())?.replica;
		return leader !== undefined && this.hosts.every(({replica}) => replica?.isVoter && replica.appliedIndex === leader.lastIndex);
	}

	#createReport(seed: number): RunReport {
		const {committedEntries, acknowledgedChanges, acknowledgedRequests, violations} = this.checker;
		const counts = [...this.logger.counts].map(([event, count]) => [event.text, count] as const);
		return {
			seed,
			committedEntries,
			acknowledgedChanges,
			acknowledgedRequests,
			violations: [...violations, ...this.logger.failures, ...this.network.brokenInvariants],
			faults: Object.fromEntries([...this.#faults, ...counts]),
		};
	}
}

function describeHost({name, replica}: SimulatedHost): string {
	const vote = replica?.isVoter ? 'voter' : 'no voter';
	return `${name}: ${vote}, ${replica?.role}, term ${replica?.term}, applied ${replica?.appliedIndex} of ${replica?.lastIndex}`;
}

/**
Runs one seed and returns its report.

@example
```
const {violations} = await runSeed(7);
```
*/
export async function runSeed(seed: number): Promise<RunReport> {
	return new Simulation(seed).run(seed);
}
