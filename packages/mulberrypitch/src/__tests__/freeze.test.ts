/**
Guards against a control leader that is suspended (SIGSTOP) while another one is elected and, when resumed, still acts as leader: bookings
would run twice, or the audit log would fork.
*/
import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {
	book, findLeader, readStatus, startBookingCluster,
} from './booking-cluster.js';
import {HostProcesses, waitUntil} from './host-processes.js';

const networkOctet = 52;
const hostCount = 5;
const suspensionMs = 10_000;
const bookingIntervalMs = 400;

await t.test('a control leader that is suspended for 10 s and resumed runs no booking twice and does not fork the audit log', async t => {
	const processes = new HostProcesses(t, networkOctet);
	const {folder} = processes;
	await startBookingCluster(processes, folder, hostCount);
	const entry = processes.hosts.at(-1)!;
	const suspendedLeader = await findLeader(processes, entry);
	const keys = ['before'];
	const firstBooking = await book(entry.address, 'before');
	t.equal(firstBooking.status, 200);

	const lateBooking = book(suspendedLeader.address, 'late');
	suspendedLeader.child.kill('SIGSTOP');
	const suspensionEnd = Date.now() + suspensionMs;
	while (Date.now() < suspensionEnd) {
		const key = `during-${keys.length}`;
		keys.push(key);
		await book(entry.address, key);
		await delay(bookingIntervalMs);
	}

	suspendedLeader.child.kill('SIGCONT');
	await lateBooking;
	await processes.waitFor(suspendedLeader, '/readyz');
	await waitUntil('all sessions are open', async () => {
		const status = await readStatus(processes, entry);
		return status.sessions.length === hostCount;
	});
	const bookingNumbers = new Map<string, number>();
	for (const key of [...keys, 'late']) {
		for (const host of [suspendedLeader, entry]) {
			const {number} = await book(host.address, key);
			if (number !== undefined) {
				t.equal(bookingNumbers.get(key) ?? number, number, `${key} keeps its booking number`);
				bookingNumbers.set(key, number);
			}
		}
	}

	t.equal(new Set(bookingNumbers.values()).size, bookingNumbers.size, 'no two keys have the same booking number');
	t.ok(bookingNumbers.size >= keys.length / 2, `${bookingNumbers.size} of ${keys.length + 1} bookings succeeded`);
	const lastBooking = await book(entry.address, 'last');
	t.ok(lastBooking.number! <= keys.length + 2, 'the service ran each key at most once');

	const shown = await processes.run('account', 'show', '--host', entry.address, '--json');
	const records = assumeType<Array<{kind: string; requestId: string}>>(JSON.parse(shown.stdout));
	const dispatched = records.filter(({kind}) => kind === 'dispatched').map(({requestId}) => requestId);
	t.equal(new Set(dispatched).size, dispatched.length, 'no request was dispatched twice');
	const verified = await processes.run('account', 'verify', '--host', suspendedLeader.address);
	t.equal(verified.code, 0, verified.stderr);
});
