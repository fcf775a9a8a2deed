/** Scripted scenarios: one step a line, words separated by spaces, `#` before a remark. */
import {CodedError} from '@mulberrypitch/errors/coded-error';
import type {DiskFaults} from '@mulberrypitch/fakes/memory-disk';
import type {SimulatedHost} from './simulated-host.js';
import {Simulation} from './simulation.js';

const hostCount = 3;
const quietLinks = {
	usualDelayMs: 2, lossShare: 0, copyShare: 0, longDelayShare: 0,
};
const soundDisk = {isFull: false, isSyncFailing: false, syncDelayMs: 0};
const diskStates: ReadonlyMap<string, Partial<DiskFaults>> = new Map<string, Partial<DiskFaults>>([
	['full', {isFull: true}],
	['failing', {isSyncFailing: true}],
	['slow', {syncDelayMs: 10_000}],
	['sound', soundDisk],
]);

type Proposal = {
	status: 'waiting' | 'committed' | 'refused';
};

/** A step with its two words; a word that a line lacks is empty. */
type Step = (first: string, second: string) => Promise<void> | void;

/** A step that can't be read, or an expectation that does not hold. */
export class ScenarioError extends CodedError {
	override readonly name = 'ScenarioError';

	constructor(line: number, text: string, reason: string) {
		super('scenario', `Line ${line}, "${text}": ${reason}.`, 'Correct the scenario, or the fault that it shows.', {details: {line}});
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
		const [verb, ...words] = line.split('#', 1)[0]!.trim().split(/\s+/v);
		if (verb === '' || verb === undefined) {
			continue;
		}

		try {
			await run.step(verb, words);
		} catch (error) {
			throw new ScenarioError(position + 1, line, error instanceof Error ? error.message : 'it failed');
		}
	}
}

/** One scenario in progress. */
class ScenarioRun {
	readonly #group = new Simulation(1, hostCount);
	readonly #aliases = new Map<string, SimulatedHost>();
	readonly #proposals = new Map<string, Proposal>();

	readonly #expectations: Readonly<Record<string, (word: string) => boolean>> = {
		leader: name => this.#getLeader() !== undefined && (name === '' || this.#getLeader() === this.#getHost(name)),
		noLeader: () => this.#getLeader() === undefined,
		voter: name => this.#getHost(name).replica?.isVoter === true,
		noVoter: name => this.#getHost(name).replica?.isVoter !== true,
		committed: id => this.#proposals.get(id)?.status === 'committed',
		uncommitted: id => this.#proposals.get(id)?.status !== 'committed',
		agreement: () => this.#hasAgreement(),
	};

	readonly #steps: Readonly<Record<string, Step>> = {
		start: async name => this.#start(name),
		kill: name => {
			this.#getHost(name).kill(true);
		},
		loseDisk: name => {
			this.#getHost(name).loseDisk();
		},
		freeze: (name, duration) => {
			this.#getHost(name).clock.freeze(Number.parseInt(duration, 10));
		},
		disk: (name, state) => {
			Object.assign(this.#getHost(name).disk.faults, diskStates.get(state));
		},
		cut: (first, second) => {
			this.#group.links.cut(this.#getHost(first).name, this.#getHost(second).name);
			this.#group.links.cut(this.#getHost(second).name, this.#getHost(first).name);
		},
		cutOneWay: (from, to) => {
			this.#group.links.cut(this.#getHost(from).name, this.#getHost(to).name);
		},
		heal: () => {
			this.#group.links.healAll();
		},
		advance: async duration => this.#group.advance(Number.parseInt(duration, 10)),
		alias: (name, role) => {
			this.#alias(name, role);
		},
		propose: id => {
			void this.#propose(id);
		},
		expect: (fact, word) => {
			this.#expect(fact, word);
		},
	};

	constructor() {
		this.#group.links.quality = quietLinks;
	}

	async step(verb: string, words: readonly string[]): Promise<void> {
		const step = this.#steps[verb];
		if (step === undefined) {
			throw new CodedError('scenario', `no step is called ${verb}`, 'Use one of the known steps.');
		}

		const [first = '', second = ''] = words;
		await step(first, second);
		if (this.#group.checker.violations.length > 0) {
			throw new CodedError('scenario', this.#group.checker.violations[0]!, 'Mend the fault.');
		}
	}

	async #start(name: string): Promise<void> {
		const hosts = name === '' ? this.#group.hosts : [this.#getHost(name)];
		await Promise.all(hosts.map(async host => host.start()));
	}

	#getHost(name: string): SimulatedHost {
		const host = this.#aliases.get(name) ?? this.#group.hosts.find(candidate => candidate.name === name);
		if (host === undefined) {
			throw new CodedError('scenario', `no host is called ${name}`, 'Use a, b, c or an alias.');
		}

		return host;
	}

	#getLeader(): SimulatedHost | undefined {
		return this.#group.hosts.find(host => host.replica?.hasLease());
	}

	/** Names the present leader, or a host that runs, does not lead and has no name yet. */
	#alias(name: string, role: string): void {
		const leader = this.#getLeader();
		const named = new Set(this.#aliases.values());
		const host = role === 'leader' ? leader : this.#group.hosts.find(candidate => candidate !== leader && !named.has(candidate));
		if (host === undefined) {
			throw new CodedError('scenario', `no host is a ${role}`, 'Let time pass until there is one.');
		}

		this.#aliases.set(name, host);
	}

	async #propose(id: string): Promise<void> {
		const proposal: Proposal = {status: 'waiting'};
		this.#proposals.set(id, proposal);
		try {
			await this.#getLeader()!.replica!.propose({kind: 'leaderStarted', leader: id});
			proposal.status = 'committed';
		} catch {
			proposal.status = 'refused';
		}
	}

	#expect(fact: string, word: string): void {
		const expectation = this.#expectations[fact];
		if (expectation === undefined) {
			throw new CodedError('scenario', `no fact is called ${fact}`, 'Use one of the known facts.');
		}

		if (!expectation(word)) {
			throw new CodedError('scenario', 'it does not hold', 'Mend the fault.');
		}
	}

	#hasAgreement(): boolean {
		const leader = this.#getLeader()?.replica;
		return leader !== undefined && this.#group.hosts.every(({replica}) => replica?.appliedIndex === leader.lastIndex);
	}
}
