/** Checks that a running host starts no child process and uses neither io_uring nor shared memory, and that the burn report covers all hosts. */
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {book, startBookingCluster} from './booking-cluster.js';
import {HostProcesses} from './host-processes.js';

const networkOctet = 51;
const hostCount = 3;

/** Returns the IDs of all child processes of a process. */
function listChildProcesses(parent: number): number[] {
	return readdirSync('/proc').filter(name => /^\d+$/v.test(name)).map(Number).filter(pid => {
		try {
			const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
			return Number(stat.slice(stat.lastIndexOf(')') + 2).split(' ')[1]) === parent;
		} catch {
			return false;
		}
	});
}

function listOpenFiles(pid: number): string[] {
	return readdirSync(`/proc/${pid}/fd`).map(name => {
		try {
			return readlinkSync(`/proc/${pid}/fd/${name}`);
		} catch {
			return '';
		}
	});
}

await t.test('a host starts no child process, uses neither io_uring nor shared memory, and appears in the burn report', async t => {
	const processes = new HostProcesses(t, networkOctet);
	const {folder} = processes;
	await startBookingCluster(processes, folder, hostCount);
	for (const [index, host] of processes.hosts.entries()) {
		const {status} = await book(host.address, `limit-${index}`);
		t.equal(status, 200);
	}

	for (const host of processes.hosts) {
		const pid = host.child.pid!;
		t.same(listChildProcesses(pid), [], `${host.name} has no child process`);
		const files = listOpenFiles(pid);
		t.ok(files.some(file => file.startsWith('socket:')));
		t.same(files.filter(file => file.startsWith('anon_inode:') && file.includes('io_uring')), []);
		t.notMatch(readFileSync(`/proc/${pid}/maps`, 'utf8'), /\/dev\/shm|\/SYSV/v);
	}

	t.ok(listChildProcesses(process.pid).includes(processes.hosts[0]!.child.pid!), 'the search finds child processes that exist');

	const svgFile = path.join(folder, 'burn.svg');
	const htmlFile = path.join(folder, 'burn.html');
	const {stdout, stderr, code} = await processes.run('report', 'burn', '--host', processes.hosts[0]!.address, '--json', '--svg', svgFile, '--html', htmlFile);
	t.equal(code, 0, stderr);
	const report = assumeType<{hosts: number; missing: unknown[]; lines: Array<{service: string; workspace: string; measure: string; slow: {total: number}}>}>(JSON.parse(stdout));
	t.equal(report.hosts, hostCount);
	t.same(report.missing, []);
	t.match(report.lines, [
		{
			service: 'bookings', workspace: 'demo', measure: 'end', slow: {total: hostCount, missed: 0},
		},
		{
			service: 'bookings', workspace: 'demo', measure: 'firstToken', slow: {total: hostCount},
		},
	]);
	t.ok(readFileSync(svgFile, 'utf8').startsWith('<svg '));
	t.ok(readFileSync(htmlFile, 'utf8').includes('<svg '));
	const table = await processes.run('report', 'burn', '--host', processes.hosts[0]!.address);
	t.match(table.stdout, /3 of 3 hosts answered/v);
	const unknownReport = await processes.run('report', 'cost');
	t.equal(unknownReport.code, 3);
	t.match(unknownReport.stderr, /Use burn/v);
});
