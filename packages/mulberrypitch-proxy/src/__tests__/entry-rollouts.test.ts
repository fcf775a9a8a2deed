/** Tests what an entry reports of the requests that keep a roll-out from its completion. */
import t from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {EntryRollouts} from '../entry-rollouts.js';
import {StreamBinding} from '../stream-binding.js';
import {createRollout} from './versioned-requests.js';

// Guards against a stream that waits for an old back end while the entry reports none, so that the back end is stopped before the stream has ended.
await t.test('a stream that only another version can go on with counts among the requests of the others while it waits', async t => {
	const clock = new VirtualClock();
	const rollouts = new EntryRollouts({
		clock, random: new SeededRandom(1), logger: new SilentLogger(), metrics: new MetricsRegistry(), backends: {listServing: () => [], countRequests: () => 0},
	});
	rollouts.recordPoll();
	rollouts.apply({rollouts: [createRollout({share: 1})], isInTouch: true});
	const getCount = () => rollouts.getEvidence()[0]!.othersRunning;
	const handled = new Deferred<string>();
	const begin = (binding: StreamBinding, service = 's') => rollouts.begin({
		service, route: 'r', attemptId: 'a-1', deadlineAt: 1000, binding,
	});
	const tracked = rollouts.track(begin(new StreamBinding('v1')), handled.promise);
	t.equal(getCount(), 1);
	for (const request of [begin(new StreamBinding('v2')), begin(new StreamBinding()), begin(new StreamBinding('v1'), 'another')]) {
		void rollouts.track(request, handled.promise);
	}

	t.equal(getCount(), 1, 'neither streams of the target nor requests that go there count');
	handled.resolve('done');
	t.equal(await tracked, 'done');
	t.equal(getCount(), 0);
	const failed = new Error('failed');
	await t.rejects(rollouts.track(begin(new StreamBinding('v1')), Promise.reject(failed)), failed);
	t.equal(getCount(), 0, 'not after a failure either');
});
