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

/** Creates the replicated state, and the context in which a holder of the duties proposes to it. */
function createReplicatedState() {
	let index = 0;
	const state = new ServingState({
		onConfiguration() {
			// The tests set no configuration.
		},
		onDuties() {
			// The tests pass the duties on themselves.
		},
	});
	const context: DutyContext = {
		async propose(command) {
			index += 1;
			return state.apply({
				index, term: 1, time: 0, command,
			}).result;
		},
		confirm: async () => ({holder: 'h', token: 1, isCurrent: () => true}),
	};
	return {state, context};
}

await t.test('usage counted before a power loss of all processes is reported once after it', async t => {
	const clock = new VirtualClock();
	const {state, context} = createReplicatedState();
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

/** A clock whose time of day a test sets forward or back. */
class SteppedClock extends VirtualClock {
	stepMs = 0;

	override wallTime(): number {
		return super.wallTime() + this.stepMs;
	}
}

for (const stepMs of [-4000, -2000, 2000, 4000]) {
	// Guards against windows that are reported twice, or never, since the time of day of the holder jumps by seconds and jumps back.
	await t.test(`each window is reported once, with all its counts, while the time of day jumps by ${stepMs} ms and back`, async t => {
		const clock = new SteppedClock();
		const reports: UsageCount[] = [];
		const {state, context} = createReplicatedState();
		const {directory, duty} = createHolder(clock, state, reports);
		const getWindow = () => Math.floor((clock.wallTime() - clock.stepMs) / windowMs);
		const first = getWindow();
		const counts = new Map<number, number>();
		for (let second = 0; second < 60; second += 1) {
			clock.stepMs = (second >= 13 && second < 22) || second >= 31 ? stepMs : 0;
			counts.set(getWindow(), (counts.get(getWindow()) ?? 0) + 1);
			directory.update(createStatus('e', 'first', [...counts].slice(-6).map(([window, count]) => ({window, counts: {w: count}}))));
			await duty.step(context);
			await clock.runFor(1000);
		}

		const ended = Array.from({length: 9}, (_, offset) => first + offset);
		t.strictSame(reports.map(({window}) => window).filter(window => ended.includes(window)), ended, 'each once');
		t.ok(reports.every(({window, counts: {w}}) => w === counts.get(window)), 'all counts');
	});
}
