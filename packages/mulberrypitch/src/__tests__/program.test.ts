/** Tests of the command line: exit codes and error messages. */
import {spawnSync} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import t from 'tap';

const main = path.resolve(import.meta.dirname, '../main.js');

function run(...args: string[]): {code: number; stdout: string; stderr: string} {
	const {status, stdout, stderr} = spawnSync(process.execPath, [main, ...args], {encoding: 'utf8'});
	return {code: status ?? -1, stdout, stderr};
}

await t.test('prints help and version with exit code 0', async t => {
	t.match(run('--help'), {code: 0, stdout: /serve <settings>/v});
	t.match(run('--version'), {code: 0, stdout: /mulberrypitch\/0\.1\.0/v});
});

await t.test('rejects an unknown command and an unknown option with exit code 2', async t => {
	t.match(run('sreve'), {code: 2, stderr: /"sreve" is not a command/v});
	t.match(run('status', '--hots', 'x'), {code: 2, stderr: /--hots/v});
	t.match(run('serve'), {code: 2, stderr: /serve <settings>/v});
	t.match(run(), {code: 2, stderr: /--help/v});
});

await t.test('reports the name of an unreadable file with exit code 3', async t => {
	t.match(run('serve', 'absent.ini'), {code: 3, stderr: /absent\.ini can't be read/v});
	t.match(run('config', 'check', 'absent.ini'), {code: 3, stderr: /absent\.ini can't be read/v});
});

await t.test('reports an invalid option value and how to fix it', async t => {
	t.match(run('status', '--host', 'palermo'), {code: 3, stderr: /"palermo"\. Give a base address/v});
});

await t.test('reports an unreachable host with exit code 5', async t => {
	t.match(run('status', '--host', 'http://127.0.0.1:9'), {code: 5, stderr: /can't be reached/v});
});

await t.test('reports an error without a stack trace when a file is not an export of the audit log', async t => {
	const {code, stderr} = run('account', 'verify', '--file', main);
	t.not(code, 0);
	t.notMatch(stderr, /at .*\.js:\d/v);
});

await t.test('rejects a port out of range', async t => {
	t.match(run('demo', '--port', '99999999'), {code: 3, stderr: /from 0 to 65535/v});
});
