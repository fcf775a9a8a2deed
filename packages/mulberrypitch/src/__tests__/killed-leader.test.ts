/** Guards against duplicate bookings and a broken audit log when the control leader is killed while bookings are in progress. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {book, findLeader, startBookingCluster} from './booking-cluster.js';
import {HostProcesses, waitForExit} from './host-processes.js';

const networkOctet = 53;
const hostCount = 5;
const bookingCount = 40;
const bookingsBeforeKill = 10;

await t.test('kill -9 of the control leader: each booking runs at most once and the audit log verifies', async t => {
	const processes = new HostProcesses(t, networkOctet);
	const {folder} = processes;
	await startBookingCluster(processes, folder, hostCount);
	const entry = processes.hosts.at(-1)!;
	const leader = await findLeader(processes, entry);
	const leaderIndex = processes.hosts.indexOf(leader);
	const keys = Array.from({length: bookingCount}, (_, position) => `clinic-${position}`);
	const bookingsBefore = await Promise.all(keys.slice(0, bookingsBeforeKill).map(async key => book(entry.address, key)));
	t.ok(bookingsBefore.every(({status}) => status === 200));

	const bookingsDuring = keys.slice(bookingsBeforeKill).map(async key => book(entry.address, key));
	leader.child.kill('SIGKILL');
	await waitForExit(leader.child);
	await Promise.all(bookingsDuring);
	const newLeader = await findLeader(processes, entry);
	t.not(newLeader.name, leader.name);
	const restarted = processes.startHost(leaderIndex);
	await processes.waitFor(restarted, '/readyz');

	const bookingNumbers = new Map<string, number>();
	for (const key of keys) {
		const {number} = await book(restarted.address, key);
		if (number !== undefined) {
			bookingNumbers.set(key, number);
		}
	}

	t.equal(new Set(bookingNumbers.values()).size, bookingNumbers.size, 'no two keys have the same booking number');
	const lastBooking = await book(entry.address, 'last');
	t.ok(lastBooking.number! <= bookingCount + 1, `${lastBooking.number!} runs for ${bookingCount + 1} keys`);
	const shown = await processes.run('account', 'show', '--host', entry.address, '--json');
	const records = assumeType<Array<{kind: string; requestId: string}>>(JSON.parse(shown.stdout));
	const dispatched = records.filter(({kind}) => kind === 'dispatched').map(({requestId}) => requestId);
	t.equal(new Set(dispatched).size, dispatched.length, 'no request was dispatched twice');
	const verified = await processes.run('account', 'verify', '--host', entry.address);
	t.equal(verified.code, 0, verified.stderr);
});
