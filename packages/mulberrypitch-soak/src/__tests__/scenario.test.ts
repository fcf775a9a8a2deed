/** Runs the scenarios under `__fixtures__`. */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import t from 'tap';
import {runScenario} from '../scenario.js';

const folder = path.resolve(import.meta.dirname, '../../__fixtures__');

for (const file of readdirSync(folder).filter(name => name.endsWith('.scenario'))) {
	await t.test(file, async () => {
		await runScenario(readFileSync(path.join(folder, file), 'utf8'));
	});
}

await t.test('reports the line of a failed step', async t => {
	await t.rejects(runScenario('start\nexpect leader\n'), {code: 'scenario', details: {line: 2}});
	await t.rejects(runScenario('dance\n'), {code: 'scenario', details: {line: 1}});
});
