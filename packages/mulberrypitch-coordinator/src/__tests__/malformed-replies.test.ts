/** Tests that a coordinator goes on after replies of other processes that it can't use. */
import process from 'node:process';
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {BackendRoster} from '@mulberrypitch/serving/backend-roster';
import {OriginTable} from '@mulberrypitch/serving/origin-table';
import type {Transport} from '@mulberrypitch/transport/types';
import {DutyRunner} from '../duty-runner.js';
import {EntryDirectory} from '../entry-directory.js';
import {Gossip} from '../gossip.js';
import type {ServingState} from '../serving-state.js';
import {SpeedSums} from '../speed-sums.js';

const runMs = 3000;

// Guards against one malformed reply ending the process of a coordinator as an unhandled rejection.
await t.test('gossip goes on after a malformed reply', async t => {
	const clock = new VirtualClock();
	const unhandled: unknown[] = [];
	const onUnhandled = (error: unknown) => {
		unhandled.push(error);
	};

	process.on('unhandledRejection', onUnhandled);
	t.teardown(() => {
		process.off('unhandledRejection', onUnhandled);
	});
	let calls = 0;
	const gossip = new Gossip({
		zone: 'z',
		name: 'a',
		clock,
		logger: new SilentLogger(),
		transport: assumeType<Transport>({
			async call() {
				calls += 1;
				return calls % 2 === 0 ? {} : undefined;
			},
		}),
		roster: new BackendRoster({epoch: 'e', clock, announceIntervalMs: 500}),
		origins: new OriginTable(clock),
		directory: new EntryDirectory(clock),
		speeds: new SpeedSums({
			clock, logger: new SilentLogger(), metrics: new MetricsRegistry(), getServing: () => [],
		}),
		getOthers: () => [{name: 'b', address: 'b'}],
		onRoster() {
			// The replies bring no back ends.
		},
	});
	gossip.start();
	await clock.runFor(runMs);
	t.equal(await gossip.flush(), 0);
	t.ok(calls > 10, `${calls} calls`);
	t.same(unhandled, []);
	const disposed = gossip.dispose();
	await clock.runFor(1000);
	await disposed;
});

// Guards against one unexpected error ending all duties of a coordinator until its process ends.
await t.test('duties go on after one of them has failed unexpectedly', async t => {
	const clock = new VirtualClock();
	let failures = 0;
	let steps = 0;
	const runner = new DutyRunner({
		holder: 'a',
		clock,
		logger: new SilentLogger(),
		state: assumeType<ServingState>({duties: {holder: 'a', token: 1}}),
		duties: [
			{
				async step() {
					failures += 1;
					throw new TypeError('An unexpected failure.');
				},
			},
			{
				async step() {
					steps += 1;
				},
			},
		],
		isLeader: () => true,
		async propose() {
			// Nothing is proposed.
		},
		async confirmLeadership() {
			// The coordinator leads.
		},
		leaseMs: 0,
		getBootTime: () => clock.now(),
	});
	await clock.runFor(1000);
	runner.start();
	await clock.runFor(runMs);
	t.ok(failures > 5 && steps > 5, `${failures} failures, ${steps} steps`);
	const disposed = runner.dispose();
	await clock.runFor(1000);
	await disposed;
});
