/** Tests what an entry makes of the statements of back ends. */
import t from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {RosterChanges} from '@mulberrypitch/serving/backend-roster';
import {BackendView} from '../backend-view.js';
import type {KnownBackendOptions} from '../known-backend.js';
import {StatedConditions} from '../stated-conditions.js';

async function createConditions(entryCount = 1) {
	const clock = new VirtualClock();
	await clock.runFor(1000);
	return {clock, conditions: new StatedConditions({clock, random: new SeededRandom(1), getEntryCount: () => entryCount})};
}

// Guards against a response that was made before the limit, and overtaken on its way, ending the limit.
await t.test('only a response to a later request ends a limit', async t => {
	const {clock, conditions} = await createConditions();
	t.ok(conditions.record({isLeaving: false, requestsPerSecond: 2}, 900));
	await clock.runFor(100);
	t.notOk(conditions.record({isLeaving: false}, 950));
	t.equal(conditions.requestsPerSecond, 2);
	t.ok(conditions.record({isLeaving: false}, 1050));
	t.equal(conditions.requestsPerSecond, undefined);
	t.equal(conditions.waitMs, 0);
});

// Guards against an entry out of touch that uses the whole limit.
await t.test('an entry that the coordinators told no part uses its share of the entries', async t => {
	const {clock, conditions} = await createConditions(10);
	conditions.record({isLeaving: false, requestsPerSecond: 2}, 900);
	let sends = 0;
	for (let step = 0; step < 1000; step += 1) {
		await clock.runFor(20);
		if (conditions.waitMs === 0) {
			conditions.recordSend();
			sends += 1;
		}
	}

	t.ok(sends >= 3 && sends <= 5, `${sends} sends in 20 s`);
});

// Guards against an entry whose part grows anew sending at once, beside the entries that had the part before.
await t.test('an entry without a part sends nothing, and one that gets a part waits up to an interval', async t => {
	const {conditions} = await createConditions();
	const share = {
		backend: 'a', startedAt: 1, requestsPerSecond: 2, ageMs: 0,
	};
	conditions.applyShare({...share, part: 0});
	t.equal(conditions.waitMs, Number.POSITIVE_INFINITY);
	conditions.applyShare({...share, part: 0.5});
	t.ok(conditions.waitMs > 0 && conditions.waitMs <= 1000);
	conditions.applyShare({
		backend: 'a', startedAt: 1, ageMs: 0, part: 1,
	});
	t.equal(conditions.waitMs, 0);
});

// Guards against a limit that a new process inherits from the one that had its name and address before.
await t.test('a limit belongs to one incarnation of a back end', async t => {
	const {clock} = await createConditions();
	const view = new BackendView(clock, () => assumeType<KnownBackendOptions>({
		clock, random: new SeededRandom(1), getEntryCount: () => 1, getMaxConnections: () => 1,
	}));
	const announce = (startedAt: number) => {
		view.apply(assumeType<RosterChanges>({
			epoch: 'e', version: startedAt, isWhole: false, isSettled: true, entries: [{backend: {id: 'a', service: 's', startedAt}, isGone: false, ageMs: 0}],
		}));
	};

	const share = {
		backend: 'a', startedAt: 1, requestsPerSecond: 2, ageMs: 0, part: 0,
	};
	announce(1);
	view.applyLimitShares([share]);
	t.equal(view.getStatedWaitMs('s', () => true), Number.POSITIVE_INFINITY);
	announce(2);
	t.equal(view.getStatedWaitMs('s', () => true), 0);
	view.applyLimitShares([share]);
	t.equal(view.getStatedWaitMs('s', () => true), 0);
});

// Guards against a short pause that ends a longer one, and against entries that all return at one moment.
await t.test('a longer pause replaces a shorter one and not the reverse, and pauses end at different times', async t => {
	const {clock, conditions} = await createConditions();
	conditions.record({isLeaving: false, pauseMs: 5000}, 900);
	const {waitMs} = conditions;
	t.ok(waitMs >= 5000 && waitMs <= 6000);
	conditions.record({isLeaving: false, pauseMs: 1000}, 900);
	t.equal(conditions.waitMs, waitMs);
	await clock.runFor(4500);
	conditions.record({isLeaving: false, pauseMs: 2000}, 900);
	t.ok(conditions.waitMs >= 2000);
	const ends = Array.from({length: 20}, (_, seed) => {
		const other = new StatedConditions({clock, random: new SeededRandom(seed), getEntryCount: () => 1});
		other.record({isLeaving: false, pauseMs: 5000}, 900);
		return other.waitMs;
	});
	t.ok(new Set(ends).size > 10);
});
