/** Tests how hosts start and stop, as separate processes: with a port that is taken, a reader of their log that leaves, and no quorum. */
import {spawn} from 'node:child_process';
import net from 'node:net';
import path from 'node:path';
import process from 'node:process';
import t from 'tap';
import {request} from 'undici';
import {demoKey} from '@mulberrypitch/config/defaults';
import {exitCodes} from '../program.js';
import {book, readStatus, startBookingCluster} from './booking-cluster.js';
import {
	binary, HostProcesses, waitForExit, waitUntil,
} from './host-processes.js';

/** Time in milliseconds after which a test fails, of each and of all together. */
const testTimeoutMs = 40_000;
const fileTimeoutMs = 240_000;
const hostCount = 3;

t.setTimeout(fileTimeoutMs);

// Guards against a host that serves nobody but goes on as a voter, so that no supervisor starts it again.
await t.test('a host whose port is taken ends with the exit code for settings', {timeout: testTimeoutMs}, async t => {
	const processes = new HostProcesses(t, 61);
	const blocker = net.createServer();
	await new Promise<void>(resolve => {
		blocker.listen(8080, processes.getIp(0), resolve);
	});
	t.teardown(() => {
		blocker.close();
	});
	const {child} = processes.startHost(0);
	t.equal(await waitForExit(child), exitCodes.settings);
});

// Guards against the reader of a host's log, such as head, ending the host when it leaves.
await t.test('a host goes on when the reader of its log has left', {timeout: testTimeoutMs}, async t => {
	const processes = new HostProcesses(t, 62);
	processes.startHost(1);
	const {address, file} = processes.prepareHost(0);
	const child = spawn(binary, ['serve', file], {stdio: ['ignore', 'pipe', 'pipe']});
	t.teardown(() => {
		child.kill('SIGKILL');
	});
	child.stdout.once('data', () => {
		child.stdout.destroy();
	});
	child.stderr.destroy();
	const host = {name: 'host-1', address, child};
	await processes.waitFor(host, '/healthz');
	processes.startHost(2);
	await waitUntil('the control group has a leader, which the host logs', async () => {
		const {leader} = await readStatus(processes, host);
		return leader?.leader !== undefined;
	});
	t.equal(child.exitCode, null);
	child.kill('SIGTERM');
	t.equal(await waitForExit(child), 0);
});

// Guards against a signal that is lost, or ends the process as a failure, since it came while the host was starting.
await t.test('a host that is stopped while it starts ends in order', {timeout: testTimeoutMs}, async t => {
	const processes = new HostProcesses(t, 63);
	const {address, child} = processes.startHost(0);
	await waitUntil('the host writes its first line', async () => processes.readLog('host-1').length > 0);
	child.kill('SIGTERM');
	t.equal(await waitForExit(child), 0, address);
});

// Guards against the last hosts of a control group failing to stop since no quorum is left to record their stop.
await t.test('hosts that are stopped one after the other end in order, the last one without a quorum, and the account is whole', {timeout: testTimeoutMs}, async t => {
	const processes = new HostProcesses(t, 64);
	const {folder} = processes;
	await startBookingCluster(processes, folder, hostCount);
	for (let count = 0; count < 5; count += 1) {
		const {status} = await book(processes.hosts[0]!.address, `stop-${count}`);
		t.equal(status, 200);
	}

	for (const {child, name} of processes.hosts) {
		child.kill('SIGTERM');
		t.equal(await waitForExit(child), 0, name);
	}

	for (let index = 0; index < hostCount; index += 1) {
		processes.startHost(index);
	}

	await Promise.all(processes.hosts.map(async host => processes.waitFor(host, '/readyz')));
	const verified = await processes.run('account', 'verify', '--data', path.join(folder, 'host-1-data'));
	t.equal(verified.code, 0, verified.stderr);
});

// Guards against an operator who is told that a view of 0 ms is too old, where the configuration is missing.
await t.test('a host without a configuration says so, and names the command that applies one', {timeout: testTimeoutMs}, async t => {
	const processes = new HostProcesses(t, 65);
	await processes.start(hostCount);
	await processes.waitFor(processes.hosts[0]!, '/healthz');
	const {statusCode, body} = await request(`${processes.hosts[0]!.address}/v1/completions`, {
		method: 'POST', headers: {authorization: `Bearer ${demoKey}`, 'content-type': 'application/json'}, body: JSON.stringify({model: 'advice', prompt: 'x'}),
	});
	const text = await body.text();
	t.equal(statusCode, 503);
	t.match(text, 'no configuration');
	t.match(text, 'config apply');
});

// Guards against a stack trace where the reader of a command's output, such as head, has left.
await t.test('a command whose reader has left ends without a message', {timeout: testTimeoutMs}, async t => {
	const child = spawn(binary, ['load', '--help'], {stdio: ['ignore', 'pipe', 'pipe'], env: process.env});
	child.stdout.destroy();
	let errors = '';
	child.stderr.on('data', data => {
		errors += String(data);
	});
	const code = await waitForExit(child);
	t.equal(code, 0);
	t.equal(errors, '');
});
