/** The command `npm run soak -- --seeds N [--from S]`. */
import process from 'node:process';
import {cac} from 'cac';
import {runSeed, type RunReport} from './simulation.js';

const reportEverySeeds = 100;
/** Exit code for options that the command does not know. */
const usageExitCode = 2;

type Options = {
	readonly seeds: number;
	readonly from: number;
};

type Totals = {
	seeds: number;
	failed: number;
	entries: number;
	changes: number;
	requests: number;
	readonly faults: Map<string, number>;
};

async function runSeeds(from: number, count: number): Promise<Totals> {
	const totals: Totals = {
		seeds: 0, failed: 0, entries: 0, changes: 0, requests: 0, faults: new Map(),
	};
	for (let seed = from; seed < from + count; seed += 1) {
		addReport(totals, await runSeed(seed));
		if (totals.seeds % reportEverySeeds === 0) {
			process.stdout.write(`${totals.seeds} seeds, ${totals.failed} failed\n`);
		}
	}

	return totals;
}

function addReport(totals: Totals, report: RunReport): void {
	totals.seeds += 1;
	totals.entries += report.committedEntries;
	totals.changes += report.acknowledgedChanges;
	totals.requests += report.acknowledgedRequests;
	for (const [name, count] of Object.entries(report.faults)) {
		totals.faults.set(name, (totals.faults.get(name) ?? 0) + count);
	}

	if (report.violations.length > 0) {
		totals.failed += 1;
		process.stdout.write(`seed ${report.seed} failed:\n${report.violations.slice(-3).map(line => `  ${line.slice(0, 600)}\n`).join('')}`);
	}
}

async function runSoak({seeds, from}: Options): Promise<void> {
	const startedAt = performance.now();
	const totals = await runSeeds(from, seeds);
	const seconds = Math.round((performance.now() - startedAt) / 1000);
	process.stdout.write(`${totals.seeds} seeds from ${from} in ${seconds} s: ${totals.failed} failed, ${totals.entries} entries, ${totals.changes} changes, ${totals.requests} requests\n`);
	process.stdout.write(`${[...totals.faults].map(([name, count]) => `${name} ${count}`).join(', ')}\n`);
	process.exitCode = totals.failed > 0 ? 1 : 0;
}

const program = cac('soak');
program.command('', 'Run the control group under random faults')
	.option('--seeds <count>', 'Seeds to run', {default: 100})
	.option('--from <seed>', 'First seed', {default: 1})
	.action(runSoak);
program.help();
try {
	program.parse(process.argv, {run: false});
	await program.runMatchedCommand();
} catch (error) {
	if (!(error instanceof Error && error.name === 'CACError')) {
		throw error;
	}

	process.stderr.write(`${error.message}. Run with --help for the options.\n`);
	process.exitCode = usageExitCode;
}
