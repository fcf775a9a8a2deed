/** A frozen control leader that comes back does no harm. */
import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {
	book, findLeader, readStatus, startBookingCluster,
} from './booking-cluster.js';
import {HostProcesses, waitUntil} from './host-processes.js';

const network = 52;
const hostCount = 5;
const freezeMs = 10_000;
const pauseMs = 400;

await t.test('a leader frozen for 10 s and woken again runs nothing twice and forks no account', async t => {
	const folder = t.testdir();
	const processes = new HostProcesses(folder, network);
	t.teardown(async () => processes.dispose());
	await startBookingCluster(processes, folder, hostCount);
	const entry = processes.hosts.at(-1)!;
	const frozen = await findLeader(processes, entry);
	const keys = ['before'];
	const before = await book(entry.address, 'before');
	t.equal(before.status, 200);

	const lateBooking = book(frozen.address, 'late');
	frozen.child.kill('SIGSTOP');
	const end = Date.now() + freezeMs;
	while (Date.now() < end) {
		const key = `during-${keys.length}`;
		keys.push(key);
		await book(entry.address, key);
		await delay(pauseMs);
	}

	frozen.child.kill('SIGCONT');
	await lateBooking;
	await processes.waitFor(frozen, '/readyz');
	await waitUntil('all sessions are open', async () => {
		const status = await readStatus(processes, entry);
		return status.sessions.length === hostCount;
	});
	const numbers = new Map<string, number>();
	for (const key of [...keys, 'late']) {
		for (const host of [frozen, entry]) {
			const {number} = await book(host.address, key);
			if (number !== undefined) {
				t.equal(numbers.get(key) ?? number, number, `${key} has one number`);
				numbers.set(key, number);
			}
		}
	}

	t.equal(new Set(numbers.values()).size, numbers.size, 'no two keys share a run');
	t.ok(numbers.size >= keys.length / 2, `${numbers.size} of ${keys.length + 1} bookings were answered`);
	const last = await book(entry.address, 'last');
	t.ok(last.number! <= keys.length + 2, 'the service ran each key at most once');

	const shown = await processes.run('account', 'show', '--host', entry.address, '--json');
	const records = assumeType<Array<{kind: string; requestId: string}>>(JSON.parse(shown.stdout));
	const dispatched = records.filter(({kind}) => kind === 'dispatched').map(({requestId}) => requestId);
	t.equal(new Set(dispatched).size, dispatched.length, 'no request was dispatched twice');
	const verified = await processes.run('account', 'verify', '--host', frozen.address);
	t.equal(verified.code, 0, verified.stderr);
});
