/** Tests engines of unequal speed under the traffic of the deployment that has them, when entry hosts learn the speeds and when they know them. */
import t from 'tap';
import {chooseEngine} from '@mulberrypitch/proxy/backend-choice';
import {
	emulateServing, speedKnowledge, type EmulationResult, type SpeedKnowledge,
} from '../serving-emulator.js';
import {servingMixes} from '../serving-mixes.js';

const engines = 63;
const unevenSpeeds = [0.7, 0.7, 1.7];
/** Bound of the plan on the throughput, as a share of that of a dispatcher that knows the speeds. */
const minShare = 0.95;

function run(speeds: readonly number[], knowledge: SpeedKnowledge, seed = 1): EmulationResult {
	return emulateServing({
		mix: servingMixes.uneven, engines, load: 0.7, viewMs: 100, seed, durationMs: 24_000, choose: chooseEngine, speeds, knowledge,
	});
}

function describe({credit, kinds}: EmulationResult): string {
	const shares = Object.entries(kinds).map(([name, {inTime, late, refused}]) => `${name} in time ${inTime.toFixed(3)}, late ${late.toFixed(3)}, refused ${refused.toFixed(3)}`);
	return `credit ${credit.toFixed(3)}; ${shares.join('; ')}`;
}

// Guards against slow engines that carry as much as fast ones, so that their streams are late.
await t.test('engines of speeds 0.7, 0.7 and 1.7: learned speeds earn nearly as much as known ones, and more than none', async t => {
	const results = Object.fromEntries(Object.values(speedKnowledge).map(knowledge => [knowledge, run(unevenSpeeds, knowledge)]));
	const {none, learned, whole} = results;
	for (const [knowledge, result] of Object.entries(results)) {
		t.comment(`${knowledge}: ${describe(result)}`);
	}

	t.ok(learned!.credit >= minShare * whole!.credit);
	t.ok(learned!.kinds.review!.inTime >= minShare * whole!.kinds.review!.inTime);
	t.ok(learned!.kinds.verdict!.inTime >= minShare * whole!.kinds.verdict!.inTime);
	t.ok(learned!.credit > none!.credit + 0.01);
	t.ok(learned!.kinds.review!.inTime > none!.kinds.review!.inTime + 0.02);
});

// Guards against evidence by chance, or from engines reserved for large prompts, that moves requests where all engines are alike.
await t.test('engines of equal speed: the choice stays as it is beyond noise', async t => {
	for (const seed of [1, 2]) {
		const learned = run([1], speedKnowledge.learned, seed);
		const none = run([1], speedKnowledge.none, seed);
		t.comment(`learned: ${describe(learned)}`);
		t.comment(`none: ${describe(none)}`);
		t.ok(Math.abs(learned.credit - none.credit) < 0.01, `seed ${seed}`);
		t.ok(Object.keys(learned.learnedSpeeds).length <= 1, `seed ${seed}: ${JSON.stringify(learned.learnedSpeeds)}`);
	}
});
