/** `mulberrypitch load experiment|run`: simulates policies under load on a virtual clock, or sends load to a running system. */
import type {CAC} from 'cac';
import {SettingsError} from '@mulberrypitch/errors/catalogue';
import {SystemClock} from '@mulberrypitch/lifecycle/clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {runExperiment} from '@mulberrypitch/load/experiment';
import {arms, type Arm} from '@mulberrypitch/load/experiment-arms';
import type {ExperimentResult} from '@mulberrypitch/load/experiment-result';
import {runLiveLoad, type LiveResult} from '@mulberrypitch/load/live-load';
import {deployments, type Deployment} from '@mulberrypitch/load/workload';
import {writeJson, writeLine, writeTable} from '../output.js';

/** Offered load of each experiment, as a fraction of the capacity of the engines. */
const loadFactors = [0.5, 0.8, 1, 1.3];
/** Simulated time of each experiment. */
const durationMs = 240_000;
/** Time at the start of an experiment; requests that arrive in it are not counted. */
const warmUpMs = 60_000;

type LoadOptions = {
	readonly deployment: string;
	readonly seed: number;
	readonly host: string;
	readonly key: string;
	readonly service: string;
	readonly rate: number;
	readonly seconds: number;
	readonly json?: boolean;
};

/**
Adds the `load` command to the program.

@example
```
addLoadCommand(program);
```
*/
export function addLoadCommand(program: CAC): void {
	program.command('load <action>', 'Measure under load: experiment (virtual time), run (live system)')
		.option('--deployment <name>', 'experiment: aria-pulita or siam-chroma', {default: 'aria-pulita'})
		.option('--seed <number>', 'Seed of the arrivals', {default: 1})
		.option('--host <address>', 'run: base address of an entry host', {default: 'http://127.0.0.1:8080'})
		.option('--key <key>', 'run: workspace key', {default: 'demo-key'})
		.option('--service <name>', 'run: engine service', {default: 'advice'})
		.option('--rate <number>', 'run: requests a second', {default: 5})
		.option('--seconds <number>', 'run: duration', {default: 10})
		.option('--json', 'Write JSON')
		.action(async (action: string, options: LoadOptions) => runAction(action, options));
}

async function runAction(action: string, options: LoadOptions): Promise<void> {
	requirePositiveNumber('--seed', options.seed);
	if (action === 'experiment') {
		return runExperiments(options);
	}

	if (action === 'run') {
		return runLive(options);
	}

	throw new SettingsError(`"${action}" is not an action of load.`, 'Use experiment or run.');
}

async function runExperiments({deployment: name, seed, json}: LoadOptions): Promise<void> {
	const deployment = deployments[name];
	if (deployment === undefined) {
		throw new SettingsError(`--deployment can't be "${name}".`, `Use one of: ${Object.keys(deployments).join(', ')}.`);
	}

	const results: ExperimentResult[] = [];
	for (const arm of Object.values<Arm>(arms)) {
		results.push(...await runAtAllLoads(deployment, arm, seed));
	}

	if (json === true) {
		writeJson(results);
		return;
	}

	writeResults(results);
}

async function runAtAllLoads(deployment: Deployment, arm: Arm, seed: number): Promise<ExperimentResult[]> {
	const results: ExperimentResult[] = [];
	for (const load of loadFactors) {
		results.push(await runExperiment({
			deployment, arm, load, seed, durationMs, warmUpMs,
		}));
	}

	return results;
}

function writeResults(results: readonly ExperimentResult[]): void {
	writeTable(['policy', 'load', 'offered/s', 'good/s', 'refused', 'late', 'failed', 'retries', 'cached', 'short p95 ms', 'document p95 ms'], results.map(result => [
		result.arm,
		result.load,
		result.offeredPerSecond,
		result.goodPerSecond,
		result.counts.refused,
		result.counts.late,
		result.counts.failed,
		result.retries,
		result.cachedPart,
		result.firstTokenP95Ms.shortAnswer,
		result.firstTokenP95Ms.document,
	]));
}

async function runLive(options: LoadOptions): Promise<void> {
	const {host, key, service, rate, seconds, seed, json} = options;
	requirePositiveNumber('--rate', rate);
	requirePositiveNumber('--seconds', seconds);
	if (!URL.canParse(host)) {
		throw new SettingsError(`--host can't be "${host}".`, 'Give a base address like http://127.0.0.1:8080.');
	}

	const result = await runLiveLoad({
		host, key: String(key), service: String(service), ratePerSecond: rate, durationMs: seconds * 1000, clock: new SystemClock(), random: new SeededRandom(seed),
	});
	if (json === true) {
		writeJson(result);
		return;
	}

	writeLiveResult(result);
}

function writeLiveResult({sent, answered, failures, firstTokenP95Ms, wholeP95Ms}: LiveResult): void {
	writeTable(['sent', 'answered', 'first token p95 ms', 'whole p95 ms'], [[sent, answered, firstTokenP95Ms, wholeP95Ms]]);
	for (const [kind, count] of Object.entries(failures)) {
		writeLine(`${count} failed with ${kind}`);
	}
}

function requirePositiveNumber(name: string, value: unknown): void {
	if (typeof value !== 'number' || value <= 0) {
		throw new SettingsError(`${name} can't be "${String(value)}".`, 'Give a number above zero.');
	}
}
