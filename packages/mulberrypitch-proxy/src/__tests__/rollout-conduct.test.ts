/** Tests by which views an entry acts on a roll-out. */
import t from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {BootTime} from '../boot-time.js';
import {EntryRollouts} from '../entry-rollouts.js';
import {RolloutConduct} from '../rollout-conduct.js';
import {createCandidate, createRollout, VersionedEntry} from './versioned-requests.js';

const service = 's';

// Guards against a coordinator that is behind, or of an earlier version, bringing a roll-back to nothing.
await t.test('an older state of a roll-out is not applied, and one that is not named stays', t => {
	const {conduct, clock} = new VersionedEntry();
	const source = {isInTouch: true, askedAt: clock.now()};
	const newest = createRollout({state: 'rolledBack', revision: 5});
	t.same(conduct.apply([newest], source), [newest]);
	for (const older of [createRollout({revision: 4}), createRollout({id: 6, revision: 9}), newest]) {
		t.same(conduct.apply([older], source), []);
	}

	conduct.apply([], source);
	t.same(conduct.list(), [newest]);
	t.end();
});

// Guards against views whose age is that of the reply, while what they say may be as old as the question or the coordinator's last contact.
await t.test('only a coordinator that hears a leader and names the newest state makes the view new', async t => {
	const {conduct, clock} = new VersionedEntry();
	const rollout = createRollout({share: 0.5, revision: 2});
	conduct.apply([rollout], {isInTouch: false, askedAt: clock.now()});
	t.ok(conduct.isHeld(service), 'told by a coordinator without a leader only');
	conduct.apply([createRollout({share: 1, revision: 3})], {isInTouch: false, askedAt: clock.now()});
	t.ok(conduct.isHeld(service), 'the whole share too');
	conduct.apply([createRollout({share: 0.5, revision: 4})], {isInTouch: true, askedAt: clock.now()});
	t.notOk(conduct.isHeld(service));
	const askedAt = clock.now();
	await clock.runFor(1600);
	t.ok(conduct.isHeld(service));
	conduct.apply([createRollout({revision: 4})], {isInTouch: true, askedAt});
	t.ok(conduct.isHeld(service), 'asked for before a suspension');
	conduct.apply([createRollout({revision: 3})], {isInTouch: true, askedAt: clock.now()});
	conduct.apply([], {isInTouch: true, askedAt: clock.now()});
	t.ok(conduct.isHeld(service), 'behind, or of an earlier version');
	conduct.apply([createRollout({revision: 4})], {isInTouch: true, askedAt: clock.now()});
	t.notOk(conduct.isHeld(service));
});

// Guards against an entry that acts on an old view since its own clock stood still with it.
await t.test('an entry that was suspended sends nothing to the target until it has a new view', async t => {
	const clock = new VirtualClock();
	const machine = {suspendedMs: 0};
	const bootTime = new BootTime(clock, () => clock.now() + machine.suspendedMs);
	const conduct = new RolloutConduct({now: () => bootTime.now(), listServing: () => []});
	conduct.apply([createRollout()], {isInTouch: true, askedAt: bootTime.now()});
	t.notOk(conduct.isHeld(service));
	machine.suspendedMs = 5000;
	await clock.runFor(50);
	t.ok(conduct.isHeld(service));
	conduct.apply([createRollout()], {isInTouch: true, askedAt: bootTime.now()});
	t.notOk(conduct.isHeld(service));
});

// Guards against a process that has just started and sends requests to a version that an earlier roll-out withdrew.
await t.test('versions that a roll-out names as withdrawn are closed', t => {
	const entry = new VersionedEntry();
	const isClosed = (version: string) => entry.conduct.isClosed({service, version});
	entry.apply({withdrawn: ['v0', 'v3']});
	t.same(['v0', 'v1', 'v2', 'v3'].map(version => isClosed(version)), [true, false, false, true]);
	entry.serving = [createCandidate('v0'), createCandidate('v1')];
	t.same(entry.getVersions(entry.request()), ['v1']);
	entry.apply({id: 8, target: 'v3', withdrawn: ['v0']});
	t.same(['v0', 'v3'].map(version => isClosed(version)), [true, false]);
	entry.apply({
		id: 8, target: 'v3', withdrawn: ['v0'], state: 'rolledBack', revision: 2,
	});
	entry.apply({id: 9, target: 'v4'});
	t.same(['v0', 'v3'].map(version => isClosed(version)), [true, true], 'ordered by a version before');
	entry.apply({id: 11, target: 'v5', withdrawn: ['v0']});
	t.same(['v0', 'v3'].map(version => isClosed(version)), [true, false], 'completed by a roll-out that the entry missed');
	t.end();
});

// Guards against a coordinator that hears a leader but lags in its log, and confirms for ever a state that was rolled back.
await t.test('a coordinator that is not current makes no view new', async t => {
	const clock = new VirtualClock();
	const metrics = new MetricsRegistry();
	const rollouts = new EntryRollouts({
		clock, random: new SeededRandom(1), metrics, backends: {listServing: () => [], countRequests: () => 0},
		logger: {
			log() {
				// The gauge shows the state.
			},
		},
	});
	const poll = async (reply: {readonly isCurrent?: boolean}) => {
		rollouts.recordPoll();
		await clock.runFor(100);
		rollouts.apply({rollouts: [createRollout()], isInTouch: true, ...reply});
		return metrics.write().includes('mulberrypitch_entry_rollout_held{service="s"} 1');
	};

	t.notOk(await poll({isCurrent: true}));
	await clock.runFor(1000);
	t.notOk(await poll({isCurrent: false}));
	await clock.runFor(1000);
	t.ok(await poll({isCurrent: false}), 'the view is that of the first poll');
	t.notOk(await poll({}), 'a coordinator of a version before');
});

// Guards against a system file that is read at each choice of a back end.
await t.test('the time since boot is read at most once in 50 ms, or when the wall clock has moved', async t => {
	const clock = new VirtualClock();
	const wall = {aheadMs: 0};
	let reads = 0;
	const bootTime = new BootTime({now: () => clock.now(), wallTime: () => clock.wallTime() + wall.aheadMs, sleep: async () => undefined}, () => {
		reads += 1;
		return 1000 + clock.now();
	});
	for (let ms = 0; ms < 1000; ms += 1) {
		t.equal(bootTime.now(), 1000 + clock.now());
		await clock.runFor(1);
	}

	t.equal(reads, 20);
	wall.aheadMs = 5000;
	bootTime.now();
	t.equal(reads, 21);
});
