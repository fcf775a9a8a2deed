/** The experiment is reproducible by seed, and every request has exactly one outcome. */
import t from 'tap';
import {arms} from '../experiment-arms.js';
import {runExperiment} from '../experiment.js';
import {deployments} from '../workload.js';

const run = {
	deployment: deployments['aria-pulita']!, arm: arms.roundRobin, load: 0.5, seed: 7, durationMs: 20_000, warmUpMs: 0,
};

await t.test('returns equal results for equal seeds', async t => {
	t.same(await runExperiment(run), await runExperiment(run));
});

await t.test('counts every request with exactly one outcome', async t => {
	const {counts, offeredPerSecond} = await runExperiment({...run, load: 1.3});
	t.equal(Object.values(counts).reduce((sum, count) => sum + count, 0), Math.round(offeredPerSecond * 20));
	t.ok(counts.good > 0);
});
