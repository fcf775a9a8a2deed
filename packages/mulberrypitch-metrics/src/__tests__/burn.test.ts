/** Burn rates of service levels: recording, expiry of counts, merging of hosts and the plot. */
import t from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {drawBurn} from '../burn-plot.js';
import {BurnRecorder, measures} from '../burn-recorder.js';
import {alarms, createBurnReport} from '../burn-report.js';

const subject = {service: 'advice', workspace: 'clinic'};
const targetMs = 560;
const minuteMs = 60_000;

function recordMany(recorder: BurnRecorder, count: number, missed: number): void {
	for (let index = 0; index < count; index += 1) {
		recorder.recordDuration(subject, measures.firstToken, index < missed ? targetMs + 1 : targetMs, targetMs);
	}
}

await t.test('the burn rate is one when the share of missed targets equals the error budget', async t => {
	const recorder = new BurnRecorder(new VirtualClock());
	recordMany(recorder, 100, 5);
	const [line] = createBurnReport([recorder.capture()]);
	t.match(line, {service: 'advice', workspace: 'clinic', measure: 'firstToken'});
	t.equal(line!.fast.total, 100);
	t.equal(line!.fast.missed, 5);
	t.equal(line!.fast.burn.toFixed(6), '1.000000');
	t.equal(line!.alarm, alarms.none);
});

await t.test('a window excludes older counts, and counts are discarded after six hours', async t => {
	const clock = new VirtualClock();
	const recorder = new BurnRecorder(clock);
	recordMany(recorder, 10, 10);
	await clock.runFor(6 * minuteMs);
	let [line] = createBurnReport([recorder.capture()]);
	t.equal(line!.fast.total, 0);
	t.equal(line!.medium.missed, 10);
	await clock.runFor(60 * minuteMs);
	[line] = createBurnReport([recorder.capture()]);
	t.equal(line!.medium.total, 0);
	t.equal(line!.slow.missed, 10);
	await clock.runFor(360 * minuteMs);
	recordMany(recorder, 1, 0);
	[line] = createBurnReport([recorder.capture()]);
	t.equal(line!.slow.total, 1);
	t.equal(line!.slow.missed, 0);
});

await t.test('an alarm requires a high burn rate in both of its windows', async t => {
	const clock = new VirtualClock();
	const recorder = new BurnRecorder(clock);
	recordMany(recorder, 1000, 0);
	await clock.runFor(10 * minuteMs);
	recordMany(recorder, 100, 100);
	t.equal(createBurnReport([recorder.capture()])[0]!.alarm, alarms.none, 'only the five-minute window is above the threshold');
	recordMany(recorder, 5000, 5000);
	t.equal(createBurnReport([recorder.capture()])[0]!.alarm, alarms.fast);
	await clock.runFor(20 * minuteMs);
	t.equal(createBurnReport([recorder.capture()])[0]!.alarm, alarms.slow, 'the fast window has no misses any more');
});

await t.test('merging hosts adds their counts and takes percentiles over all samples', async t => {
	const clock = new VirtualClock();
	const recorders = [new BurnRecorder(clock), new BurnRecorder(clock)];
	for (let index = 0; index < 100; index += 1) {
		recorders[0]!.recordDuration(subject, measures.firstToken, 100, targetMs);
		recorders[1]!.recordDuration(subject, measures.firstToken, 50_000, targetMs);
	}

	recorders[1]!.recordEnd(subject, false);
	const captured = recorders.map(recorder => recorder.capture());
	const lines = createBurnReport(structuredClone(captured));
	const first = lines.find(line => line.measure === measures.firstToken)!;
	t.equal(first.slow.total, 200);
	t.equal(first.slow.burn.toFixed(3), '10.000');
	t.ok(Math.abs(first.p50Ms! - 100) < 2);
	t.ok(Math.abs(first.p99Ms! - 50_000) < 1000);
	t.equal(lines.find(line => line.measure === measures.end)!.slow.missed, 1);
});

await t.test('the plot escapes names and keeps its bars within the image', async t => {
	const recorder = new BurnRecorder(new VirtualClock());
	recorder.recordEnd({service: '<b>&', workspace: 'x'}, false);
	const plot = drawBurn(createBurnReport([recorder.capture()]), new Date(0));
	t.notOk(plot.includes('<b>'));
	t.ok(plot.includes('&lt;b&gt;&amp;'));
	const bars = [...plot.matchAll(/<rect x="(?<x>[\d.]+)" y="(?<y>[\d.]+)" width="(?<width>[\d.]+)" height="(?<height>[\d.]+)" fill="#b03030"/gv)];
	t.equal(bars.length, 1);
	const {x, y, width, height} = bars[0]!.groups!;
	t.ok(Number(x) + Number(width) <= 960);
	t.ok(Number(y) >= 56 && Number(height) > 0);
	t.ok(drawBurn([], new Date(0)).includes('No requests recorded.'));
});
