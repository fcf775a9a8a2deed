/** Scripted scenarios: text with one step per line, words separated by spaces, and comments after `#`. */
import {CodedError} from '@mulberrypitch/errors/coded-error';
import type {DiskFaults} from '@mulberrypitch/fakes/memory-disk';
import type {SimulatedHost} from './simulated-host.js';
import {Simulation} from './simulation.js';

const hostCount = 3;
const reliableLinks = {
	maxUsualDelayMs: 2, lossShare: 0, duplicateShare: 0, longDelayShare: 0,
};
/** Values that reset all disk faults. The scenario word for this state is `sound`. */
const healthyDisk = {isFull: false, isSyncFailing: false, syncDelayMs: 0};
/** The disk faults that each state of the step `disk` sets. An unknown state sets none. */
const diskStates: ReadonlyMap<string, Partial<DiskFaults>> = new Map<string, Partial<DiskFaults>>([
	['full', {isFull: true}],
	['failing', {isSyncFailing: true}],
	['slow', {syncDelayMs: 10_000}],
	['sound', healthyDisk],
]);

type Proposal = {
	/** `refused` after any failure: no leader, a timeout or the end of the process. After the latter two the command may still commit. */
	status: 'waiting' | 'committed' | 'refused';
};

/** Runs a step with its two arguments; a missing argument is the empty string. */
type Step = (first: string, second: string) => Promise<void> | void;

/** Reports a step that can't be run, or an expectation that is not met. */
export class ScenarioError extends CodedError {
	override readonly name = 'ScenarioError';

	constructor(line: number, text: string, reason: string) {
		super('scenario', `Line ${line}, "${text}": ${reason}.`, 'Correct the scenario, or fix the bug that it reveals.', {details: {line}});
	}
}

/**
Runs a scenario on a group of three hosts a, b and c. Throws `ScenarioError` at the first step that fails.

@example
```
await runScenario('start\nadvance 3000ms\nexpect leader');
```
*/
export async function runScenario(text: string): Promise<void> {
	const run = new ScenarioRun();
	for (const [position, line] of text.split('\n').entries()) {
		const [name, ...words] = line.split('#', 1)[0]!.trim().split(/\s+/v);
		if (name === '' || name === undefined) {
			continue;
		}

		try {
			await run.runStep(name, words);
		} catch (error) {
			throw new ScenarioError(position + 1, line, error instanceof Error ? error.message : 'the step failed');
		}
	}
}

/** State of a running scenario. */
class ScenarioRun {
	readonly #simulation = new Simulation(1, hostCount);
	readonly #aliases = new Map<string, SimulatedHost>();
	readonly #proposals = new Map<string, Proposal>();

	/** Conditions that the step `expect` can check, by name. */
	readonly #expectations: Readonly<Record<string, (word: string) => boolean>> = {
		leader: name => this.#getLeader() !== undefined && (name === '' || this.#getLeader() === this.#getHost(name)),
		noLeader: () => this.#getLeader() === undefined,
		voter: name => this.#getHost(name).replica?.isVoter === true,
		// Also holds for a host that is down.
		noVoter: name => this.#getHost(name).replica?.isVoter !== true,
		committed: id => this.#proposals.get(id)?.status === 'committed',
		// Also holds for an id that was never proposed.
		uncommitted: id => this.#proposals.get(id)?.status !== 'committed',
		agreement: () => this.#hasAgreement(),
	};

	/** Steps by name. */
	readonly #steps: Readonly<Record<string, Step>> = {
		start: async name => this.#start(name),
		// A power failure: the disk loses what was not synced.
		kill: name => {
			this.#getHost(name).kill(true);
		},
		loseDisk: name => {
			this.#getHost(name).replaceDisk();
		},
		freeze: (name, duration) => {
			this.#getHost(name).clock.freeze(Number.parseInt(duration, 10));
		},
		disk: (name, state) => {
			Object.assign(this.#getHost(name).disk.faults, diskStates.get(state));
		},
		cut: (first, second) => {
			this.#simulation.links.cut(this.#getHost(first).name, this.#getHost(second).name);
			this.#simulation.links.cut(this.#getHost(second).name, this.#getHost(first).name);
		},
		cutOneWay: (from, to) => {
			this.#simulation.links.cut(this.#getHost(from).name, this.#getHost(to).name);
		},
		heal: () => {
			this.#simulation.links.restoreAll();
		},
		advance: async duration => this.#simulation.advance(Number.parseInt(duration, 10)),
		alias: (name, role) => {
			this.#setAlias(name, role);
		},
		propose: id => {
			// Doesn't wait for the result: the scenario must advance the time before it can expect one.
			void this.#propose(id);
		},
		expect: (name, word) => {
			this.#expect(name, word);
		},
	};

	constructor() {
		this.#simulation.links.quality = reliableLinks;
	}

	/** Runs the named step. Throws when it is unknown or fails, or when an invariant is violated after it. */
	async runStep(name: string, words: readonly string[]): Promise<void> {
		const step = this.#steps[name];
		if (step === undefined) {
			throw new CodedError('scenario', `there is no step "${name}"`, 'Use one of the known steps.');
		}

		const [first = '', second = ''] = words;
		await step(first, second);
		if (this.#simulation.checker.violations.length > 0) {
			throw new CodedError('scenario', this.#simulation.checker.violations[0]!, 'Fix the violated invariant.');
		}
	}

	async #start(name: string): Promise<void> {
		const hosts = name === '' ? this.#simulation.hosts : [this.#getHost(name)];
		await Promise.all(hosts.map(async host => host.start()));
	}

	#getHost(name: string): SimulatedHost {
		const host = this.#aliases.get(name) ?? this.#simulation.hosts.find(candidate => candidate.name === name);
		if (host === undefined) {
			throw new CodedError('scenario', `there is no host "${name}"`, 'Use a, b, c or an alias.');
		}

		return host;
	}

	/** Returns the first host whose replica holds the leader's lease, or undefined if there is none. */
	#getLeader(): SimulatedHost | undefined {
		return this.#simulation.hosts.find(host => host.replica?.hasLease());
	}

	/** Gives an alias to the leader if the role is `leader`; with any other role, to a host that is not the leader and has no alias yet. */
	#setAlias(name: string, role: string): void {
		const leader = this.#getLeader();
		const named = new Set(this.#aliases.values());
		const host = role === 'leader' ? leader : this.#simulation.hosts.find(candidate => candidate !== leader && !named.has(candidate));
		if (host === undefined) {
			throw new CodedError('scenario', `there is no ${role}`, 'Advance the time until there is one.');
		}

		this.#aliases.set(name, host);
	}

	async #propose(id: string): Promise<void> {
		const proposal: Proposal = {status: 'waiting'};
		this.#proposals.set(id, proposal);
		try {
			// Any command will do; the id makes it unique.
			await this.#getLeader()!.replica!.propose({kind: 'leaderStarted', leader: id});
			proposal.status = 'committed';
		} catch {
			proposal.status = 'refused';
		}
	}

	#expect(name: string, word: string): void {
		const expectation = this.#expectations[name];
		if (expectation === undefined) {
			throw new CodedError('scenario', `there is no expectation "${name}"`, 'Use one of the known expectations.');
		}

		if (!expectation(word)) {
			throw new CodedError('scenario', 'the expectation is not met', 'Correct the scenario, or fix the bug that it reveals.');
		}
	}

	/** Reports whether every host has applied the log up to the leader's last entry. False if there is no leader or a host is down. */
	#hasAgreement(): boolean {
		const leader = this.#getLeader()?.replica;
		return leader !== undefined && this.#simulation.hosts.every(({replica}) => replica?.appliedIndex === leader.lastIndex);
	}
}
