/** A simulated control host. Its process can be killed, restarted and frozen; its disk outlives the process. */
import {AccountStore} from '@mulberrypitch/account/account-store';
import {Replica} from '@mulberrypitch/control/replica';
import type {Peer} from '@mulberrypitch/control/types';
import {MemoryDisk} from '@mulberrypitch/fakes/memory-disk';
import type {MemoryNetwork, MemoryTransport} from '@mulberrypitch/fakes/memory-transport';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {Logger} from '@mulberrypitch/logger/logger';
import {FileLog} from '@mulberrypitch/storage/file-log';
import {CheckedState, type Checker} from './checker.js';
import {HostClock} from './host-clock.js';

/** Settings and dependencies of a simulated host. */
export type SimulatedHostOptions = {
	readonly name: string;
	readonly peers: readonly Peer[];
	readonly network: MemoryNetwork;
	readonly random: Random;
	/** Speed of the host's clock relative to the simulated time. */
	readonly clockRate: number;
	readonly logger: Logger;
	readonly checker: Checker;
	readonly snapshotIntervalEntries: number;
};

/** Runs one replica at a time on its current disk. */
export class SimulatedHost {
	readonly name: string;
	readonly clock: HostClock;
	readonly #options: SimulatedHostOptions;
	#disk: MemoryDisk;
	#transport: MemoryTransport | undefined;
	#replica: Replica | undefined;
	#account: AccountStore | undefined;
	#state: CheckedState | undefined;
	#hasBeenVoter = false;

	constructor(options: SimulatedHostOptions) {
		this.#options = options;
		this.name = options.name;
		this.clock = new HostClock(options.network.clock, options.clockRate);
		this.#disk = new MemoryDisk(this.clock, options.random);
	}

	/** The running replica; undefined while the process is down. */
	get replica(): Replica | undefined {
		return this.#replica;
	}

	/** Reports whether the process is frozen, so that its timers don't fire. */
	get isFrozen(): boolean {
		return this.#options.network.clock.now() < this.clock.frozenUntil;
	}

	/** The audit log of the last successfully started process; it stays set after `kill`. */
	get account(): AccountStore | undefined {
		return this.#account;
	}

	/** The state machine of the last successfully started process; it stays set after `kill`. */
	get state(): CheckedState | undefined {
		return this.#state;
	}

	/**
	Reports whether a replica on the current disk has been a voter. It is sampled only when it is read: a replica that became a voter
	and stopped between two reads is missed.
	*/
	get hasBeenVoter(): boolean {
		this.#hasBeenVoter ||= this.#replica?.isVoter === true;
		return this.#hasBeenVoter;
	}

	/** The current disk. Its `faults` can be set to inject faults. */
	get disk(): MemoryDisk {
		return this.#disk;
	}

	/** Starts a process on the current disk. Rejects when a fault of the disk prevents the start; the host then stays down. */
	async start(): Promise<void> {
		const {
			name, peers, network, random, logger, checker, snapshotIntervalEntries,
		} = this.#options;
		const disk = this.#disk.open();
		const transport = network.join(name);
		const account = new AccountStore(new FileLog('/data/account', disk));
		const state = new CheckedState(checker, name);
		const replica = new Replica({
			group: 'main', name, peers, store: new FileLog('/data/log', disk), transport, clock: this.clock, random, logger, machine: state, account, snapshotIntervalEntries,
		});
		this.#transport = transport;
		await account.load();
		await replica.start();
		this.#account = account;
		this.#state = state;
		this.#replica = replica;
	}

	/** Ends the process immediately. With `isPowerLost`, the disk loses data that was not synced; otherwise it keeps all written data. */
	kill(isPowerLost: boolean): void {
		if (isPowerLost) {
			this.#disk.crash();
		} else {
			// From now on, the disk operations of the killed process fail.
			this.#disk.open();
		}

		this.#transport?.dispose();
		const replica = this.#replica;
		this.#replica = undefined;
		void this.#disposeReplica(replica);
	}

	/** Cuts the power and replaces the disk by one that has only copies of the named files. */
	replaceDisk(keptFiles: readonly string[] = []): void {
		this.kill(true);
		const old = this.#disk;
		this.#disk = new MemoryDisk(this.clock, this.#options.random);
		for (const name of keptFiles) {
			this.#disk.files.set(name, old.files.get(name)!);
		}

		this.#hasBeenVoter = false;
	}

	/** Releases the replica. Errors are ignored, since the process counts as dead. */
	async #disposeReplica(replica: Replica | undefined): Promise<void> {
		await Promise.allSettled([replica?.dispose()]);
	}
}
