/**
 * Measures the rates of wrong decisions outside CI: `node dist/__tests__/measure-rates.js SEEDS [PART-OF-NAME]`. For each case it
 * prints the numbers of the runs that were completed, were completed with a share below 0.5, went beyond the exposure, and sent requests
 * too late after the 50th bad answer.
 */
import process from 'node:process';
import {cases} from './rollout-cases.js';
import {limits, simulateRollout} from './synthetic-rollout.js';

const [seeds = '100', namePart = ''] = process.argv.slice(2);
for (const scenario of cases.filter(({name}) => name.includes(namePart))) {
	const results = Array.from({length: Number(seeds)}, (_, index) => simulateRollout(scenario, index + 1));
	const count = (isCounted: (result: (typeof results)[number]) => boolean) => String(results.filter(result => isCounted(result)).length).padStart(4);
	const completed = count(({state}) => state === 'complete');
	const exposed = count(({sent, requests}) => sent > (limits.exposedShare * requests) + limits.exposedSlack);
	const late = count(({sentLate}) => sentLate > 0);
	const low = count(({state, lastShare}) => state === 'complete' && lastShare < 0.5);
	const meanSent = Math.round(results.reduce((sum, {sent}) => sum + sent, 0) / results.length);
	const reason = results.find(({state}) => (state === 'complete') === scenario.isBad)?.reason ?? '';
	process.stdout.write(`${scenario.isBad ? 'bad ' : 'good'} ${scenario.name.padEnd(52)} completed ${completed} low share ${low} `
		+ `${scenario.isBad ? `exposed ${exposed} late ${late} ` : ''}mean sent ${meanSent} ${reason}\n`);
}
