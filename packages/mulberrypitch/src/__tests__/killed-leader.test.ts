/** Bookings while the control leader is killed. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {book, findLeader, startBookingCluster} from './booking-cluster.js';
import {HostProcesses, waitForExit} from './host-processes.js';

const network = 53;
const hostCount = 5;
const bookingCount = 40;
const killAfter = 10;

await t.test('kill -9 of the leader: each booking runs at most once and the account verifies', async t => {
	const folder = t.testdir();
	const processes = new HostProcesses(folder, network);
	t.teardown(async () => processes.dispose());
	await startBookingCluster(processes, folder, hostCount);
	const entry = processes.hosts.at(-1)!;
	const leader = await findLeader(processes, entry);
	const index = processes.hosts.indexOf(leader);
	const keys = Array.from({length: bookingCount}, (_, position) => `clinic-${position}`);
	const first = await Promise.all(keys.slice(0, killAfter).map(async key => book(entry.address, key)));
	t.ok(first.every(({status}) => status === 200));

	const rest = keys.slice(killAfter).map(async key => book(entry.address, key));
	leader.child.kill('SIGKILL');
	await waitForExit(leader.child);
	await Promise.all(rest);
	const next = await findLeader(processes, entry);
	t.not(next.name, leader.name);
	const restarted = processes.startHost(index);
	await processes.waitFor(restarted, '/readyz');

	const numbers = new Map<string, number>();
	for (const key of keys) {
		const {number} = await book(restarted.address, key);
		if (number !== undefined) {
			numbers.set(key, number);
		}
	}

	t.equal(new Set(numbers.values()).size, numbers.size, 'no two keys share a run');
	const last = await book(entry.address, 'last');
	t.ok(last.number! <= bookingCount + 1, `${last.number!} runs for ${bookingCount + 1} keys`);
	const shown = await processes.run('account', 'show', '--host', entry.address, '--json');
	const records = assumeType<Array<{kind: string; requestId: string}>>(JSON.parse(shown.stdout));
	const dispatched = records.filter(({kind}) => kind === 'dispatched').map(({requestId}) => requestId);
	t.equal(new Set(dispatched).size, dispatched.length, 'no request was dispatched twice');
	const verified = await processes.run('account', 'verify', '--host', entry.address);
	t.equal(verified.code, 0, verified.stderr);
});
