/** Tests the command line of the soak. */
import path from 'node:path';
import {spawnSync} from 'node:child_process';
import process from 'node:process';
import t from 'tap';

const main = path.resolve(import.meta.dirname, '../main.js');
const limitMs = 60_000;

function runSoak(...args: string[]) {
	return spawnSync(process.execPath, [main, ...args], {encoding: 'utf8', timeout: limitMs});
}

// Guards against a mistyped flag that makes the soak run other seeds than those asked for.
await t.test('an unknown flag is refused before any seed is run', async t => {
	const {status, stdout, stderr} = runSoak('--form', '500', '--seeds', '1');
	t.equal(status, 2);
	t.match(stderr, '--form');
	t.notMatch(stdout, 'seeds');
});

// Guards against a request for help that runs a hundred seeds.
await t.test('help runs no seed', async t => {
	const {status, stdout} = runSoak('--help', '--seeds', '1');
	t.equal(status, 0);
	t.notMatch(stdout, 'seeds from');
});
