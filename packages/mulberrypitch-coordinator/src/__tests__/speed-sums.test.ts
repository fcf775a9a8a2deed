/** Tests how coordinators sum what entries observe of the speeds of back ends. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import type {AnnouncedBackend} from '@mulberrypitch/serving/types';
import {SpeedSums} from '../speed-sums.js';
import {gossipRequestSchema} from '../status-schema.js';

function createSums() {
	const clock = new VirtualClock();
	const metrics = new MetricsRegistry();
	const serving = assumeType<AnnouncedBackend[]>([
		{id: 'a1', service: 'a'}, {id: 'a2', service: 'a'}, {id: 'b1', service: 'b'}, {id: 'b2', service: 'b'},
	]);
	const sums = new SpeedSums({
		clock, metrics, logger: new SilentLogger(), getServing: () => serving,
	});
	return {
		clock, metrics, serving, sums,
	};
}

const uneven = {a1: [300, -90], a2: [300, 90]} as const;

// Guards against evidence of which each coordinator has a part too small to be used.
await t.test('evidence of entries at this and at another coordinator adds up', async t => {
	const {sums} = createSums();
	const part = {a1: [20, -6], a2: [20, 6]} as const;
	sums.update('entry-1', part);
	t.same(sums.getSpeeds(), {});
	const {sums: other, clock} = createSums();
	for (let entry = 0; entry < 8; entry += 1) {
		other.update(`entry-${entry}`, part);
		sums.update(`entry-1${entry}`, part);
	}

	sums.merge('core-2', other.takeSums('core-1')!);
	await clock.runFor(600);
	t.same(other.takeSums('core-1'), undefined, 'the sums are sent once a second');
	const {sums: third} = createSums();
	third.update('entry-1', part);
	third.merge('core-2', other.takeSums('core-3')!);
	const speeds = third.getSpeeds();
	t.ok(speeds.a1! > 1.15 && speeds.a2! < 0.87, JSON.stringify(speeds));
});

await t.test('back ends are compared within their service', async t => {
	const {sums, metrics} = createSums();
	sums.update('entry-1', {...uneven, b1: [300, 900], b2: [300, 900]});
	t.ok(sums.getSpeed('a1') > 1.2);
	t.ok(sums.getSpeed('a2') < 0.84);
	t.equal(sums.getSpeed('b1'), 1);
	t.match(metrics.write(), /mulberrypitch_coordinator_backend_speed\{service="a",backend="a1"\} 1\.\d+/v);
});

// Guards against metrics that grow as long as the process runs, since back ends come and go.
await t.test('the gauge of a back end that is gone is removed, and comes back with it', async t => {
	const {sums, metrics, serving, clock} = createSums();
	const listGauges = () => [...metrics.write().matchAll(/^mulberrypitch_coordinator_backend_speed.*backend="(?<id>\w+)"/gmv)].map(({groups}) => groups!.id);
	const derive = async () => {
		await clock.runFor(600);
		sums.update('entry-1', uneven);
		sums.getSpeeds();
	};

	await derive();
	t.same(listGauges(), ['a1', 'a2']);
	const [first] = serving.splice(0, 1);
	await derive();
	t.same(listGauges(), ['a2']);
	serving.push(first!);
	await derive();
	t.same(listGauges(), ['a2', 'a1']);
});

// Guards against sums by service that lose back ends. Their cost is not tested, since tests assert no durations.
await t.test('the speeds of 600 back ends are derived', async t => {
	const {sums, serving} = createSums();
	const ids = Array.from({length: 600}, (_, index) => `c${index}`);
	serving.push(...ids.map(id => assumeType<AnnouncedBackend>({id, service: 'c'})));
	sums.update('entry-1', Object.fromEntries(ids.map((id, index) => [id, [300, index % 2 === 0 ? -90 : 90]])));
	t.equal(Object.keys(sums.getSpeeds()).length, 600);
});

await t.test('a report that is not repeated is forgotten', async t => {
	const {sums, clock} = createSums();
	sums.update('entry-1', uneven);
	t.ok(sums.getSpeed('a1') > 1.2);
	await clock.runFor(6000);
	t.same(sums.getSpeeds(), {});
});

// Guards against one malformed report that spoils the sums of all.
await t.test('malformed evidence is rejected', async t => {
	const message = {
		from: 'core-2', entries: [], backends: [], wantsAll: false,
	};
	t.doesNotThrow(() => gossipRequestSchema.parse(message));
	t.doesNotThrow(() => gossipRequestSchema.parse({...message, speeds: uneven}));
	for (const speeds of [{a1: 'x'}, {a1: [1]}, {a1: [1, null]}, []]) {
		t.throws(() => gossipRequestSchema.parse({...message, speeds}));
	}
});
