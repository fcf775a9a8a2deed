/** Tests the estimate of the back ends that a load requires. */
import t from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {CapacityEstimator, type CapacityEstimate} from '../capacity-estimator.js';

const stepMs = 300;
const msPerToken = 0.01;

/** Returns the last estimate for a steady load that keeps `work` back ends fully busy. */
async function estimateSteadyLoad(work: number, {running = 0, slots = 64, cost = msPerToken} = {}): Promise<CapacityEstimate> {
	const clock = new VirtualClock();
	const estimator = new CapacityEstimator(clock);
	let last: CapacityEstimate | undefined;
	for (let step = 0; step < 40; step += 1) {
		last = estimator.update({
			pressures: [{refused: 0, tokensPerSecond: work * 1000 / msPerToken, msPerToken: step < 5 ? msPerToken : cost}], running, slots, serving: 50,
		});
		await clock.runFor(stepMs);
	}

	return last!;
}

await t.test('keeps half of the capacity as headroom, and a larger share in small fleets', async t => {
	const small = await estimateSteadyLoad(2);
	const large = await estimateSteadyLoad(20);
	t.ok(small.least / 2 > 2, `${small.least} for a work of 2`);
	t.ok(large.least / 20 >= 2 && large.least / 20 < small.least / 2, `${large.least} for a work of 20`);
	t.ok(large.comfortable > large.least);
});

await t.test('requires back ends for streams that hold slots, even if their prompts are short', async t => {
	const {least} = await estimateSteadyLoad(2, {running: 340, slots: 12});
	t.ok(least >= 340 / 12, `${least} for 340 requests of 12 each`);
});

await t.test('limits the growth of the estimate when queueing makes prompts look ten times as costly', async t => {
	const calm = await estimateSteadyLoad(5);
	const queued = await estimateSteadyLoad(5, {cost: 10 * msPerToken});
	t.ok(queued.least < 2.5 * calm.least, `${queued.least} against ${calm.least}`);
});

await t.test('holds the estimate for a while after the load goes down', async t => {
	const clock = new VirtualClock();
	const estimator = new CapacityEstimator(clock);
	const update = (tokensPerSecond: number) => estimator.update({
		pressures: [{refused: 0, tokensPerSecond, msPerToken}], running: 0, slots: 64, serving: 20,
	})!.least;
	const busy = update(1_000_000);
	const updateFor = async (ms: number) => {
		for (let passed = 0; passed < ms; passed += stepMs) {
			await clock.runFor(stepMs);
			update(100_000);
		}

		return update(100_000);
	};

	t.equal(await updateFor(3000), busy);
	t.ok(await updateFor(9000) < busy / 2);
});

await t.test('keeps the estimate when no back end is serving', async t => {
	const clock = new VirtualClock();
	const estimator = new CapacityEstimator(clock);
	const pressures = [{refused: 0, tokensPerSecond: 200_000, msPerToken}];
	const before = estimator.update({
		pressures, running: 30, slots: 64, serving: 5,
	})!;
	await clock.runFor(stepMs);
	const after = estimator.update({
		pressures: [{refused: 9, tokensPerSecond: 0, msPerToken}], running: 0, slots: 0, serving: 0,
	})!;
	t.equal(after.least, before.least);
	t.equal(after.comfortable, before.comfortable);
});

// Guards against a fleet that shrinks at the moment at which all entries have died: nothing runs then, and their streams come back in a second.
await t.test('holds what running requests require for a while after all entries are gone', async t => {
	const clock = new VirtualClock();
	const estimator = new CapacityEstimator(clock);
	const load = {
		pressures: [{refused: 0, tokensPerSecond: 0, msPerToken}], running: 400, slots: 64, serving: 12,
	};
	const before = estimator.update(load)!;
	await clock.runFor(stepMs);
	const silent = estimator.update({...load, pressures: [], running: 0})!;
	t.equal(silent.least, before.least);
	t.equal(silent.comfortable, before.comfortable);
	await clock.runFor(3000);
	t.equal(estimator.update({...load, running: 40})!.least, before.least, 'while they come back');
	await clock.runFor(9000);
	t.ok(estimator.update({...load, running: 40})!.least < before.least / 2, 'not for good');
});

// Guards against a fleet whose size nobody can explain from the log.
await t.test('tells the work and the slots from which the need follows', async t => {
	const byWork = await estimateSteadyLoad(20);
	t.ok(Math.abs(byWork.work - 20) < 0.1 && byWork.bySlots === 0 && byWork.least > byWork.work);
	t.equal(byWork.msPerToken, msPerToken);
	const bySlots = await estimateSteadyLoad(2, {running: 340, slots: 12});
	t.equal(bySlots.least, bySlots.bySlots);
});
