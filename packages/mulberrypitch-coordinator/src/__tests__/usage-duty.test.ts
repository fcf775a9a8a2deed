/** Tests usage reports when all entries and coordinators lose power at the same time. */
import t from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import type {EntryStatus, UsageCount} from '@mulberrypitch/serving/view-messages';
import type {DutyContext} from '../duty-runner.js';
import {EntryDirectory} from '../entry-directory.js';
import {ServingState} from '../serving-state.js';
import {UsageDuty} from '../usage-duty.js';

const windowMs = 5000;

function createStatus(name: string, incarnation: string, usage: readonly UsageCount[]): EntryStatus {
	return {
		name, incarnation, upMs: 60_000, address: name, zone: 'a', isReady: true, loads: {}, pressure: {}, spent: {}, usage, crashes: {charges: [], answered: [], quarantined: []},
	};
}

/** Creates the duty of a new holder with an empty directory, on the same replicated state. */
function createHolder(clock: VirtualClock, state: ServingState, reports: UsageCount[]) {
	const directory = new EntryDirectory(clock);
	const duty = new UsageDuty({
		clock,
		logger: new SilentLogger(),
		state,
		directory,
		async report(usage) {
			reports.push(usage);
			return true;
		},
		windowMs,
		lateMs: 10_000,
	});
	return {directory, duty};
}

await t.test('usage counted before a power loss of all processes is reported once after it', async t => {
	const clock = new VirtualClock();
	const state = new ServingState({
		onConfiguration() {
		// The test sets no configuration.
		}, onDuties() {
		// The test passes the duties on itself.
		},
	});
	let index = 0;
	const context: DutyContext = {
		async propose(command) {
			index += 1;
			return state.apply({
				index, term: 1, time: 0, command,
			}).result;
		},
		confirm: async () => ({holder: 'h', token: 1}),
	};
	const reports: UsageCount[] = [];
	const window = Math.floor(clock.wallTime() / windowMs);
	const before = createHolder(clock, state, reports);
	before.directory.update(createStatus('e', 'first', [{window, counts: {w: 40}}]));
	await before.duty.step(context);

	const after = createHolder(clock, state, reports);
	after.directory.update(createStatus('e', 'second', [{window, counts: {w: 5, v: 1}}]));
	await clock.runFor(10_500);
	after.directory.update(createStatus('e', 'second', [{window, counts: {w: 5, v: 1}}]));
	await after.duty.step(context);
	await after.duty.step(context);
	t.same(reports.filter(report => report.window === window), [{window, counts: {w: 45, v: 1}}]);
});
