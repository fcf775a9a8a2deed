/** Compares the choice of an engine with simple baselines under several load patterns, with the same traffic. */
import t from 'tap';
import type {Random} from '@mulberrypitch/lifecycle/random';
import {chooseEngine, type Candidate} from '@mulberrypitch/proxy/backend-choice';
import {emulateServing, type EngineChooser} from '../serving-emulator.js';
import {servingMixes, type ServingMix} from '../serving-mixes.js';

const seeds = [1, 2, 3];

const chooseLeastLoaded: EngineChooser = candidates => candidates
	.filter(({load, slots}) => load < slots)
	.toSorted((left, right) => left.load - right.load)[0];

const chooseAtRandom: EngineChooser = (candidates, _prompt, random) => pick(candidates.filter(({load, slots}) => load < slots), random);

function pick(candidates: readonly Candidate[], random: Random): Candidate | undefined {
	return candidates[Math.floor(random.next() * candidates.length)];
}

function getCredit(mix: ServingMix, engines: number, choose: EngineChooser): number {
	const credits = seeds.map(seed => emulateServing({
		mix, engines, load: 1, viewMs: 100, seed, durationMs: 14_000, choose,
	}).credit);
	return getMean(credits);
}

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

await t.test('long prompts among streams: many entry hosts with a delayed view earn more than with least-loaded or random choice', async t => {
	for (const [mix, engines] of [[servingMixes.grownFiltri, 32], [servingMixes.grownChroma, 30]] as const) {
		const credit = getCredit(mix, engines, chooseEngine);
		const plain = getCredit(mix, engines, chooseLeastLoaded);
		const random = getCredit(mix, engines, chooseAtRandom);
		t.comment(`${mix.name}: ${credit.toFixed(3)}, least loaded ${plain.toFixed(3)}, at random ${random.toFixed(3)}`);
		t.ok(credit > plain + 0.03, `${mix.name}, against the least loaded`);
		t.ok(credit > random + 0.03, `${mix.name}, against a random one`);
	}
});

await t.test('long prompts among streams: few engines earn more than with least-loaded choice', async t => {
	for (const [mix, engines] of [[servingMixes.filtri, 5], [servingMixes.chroma, 6]] as const) {
		const credit = getCredit(mix, engines, chooseEngine);
		const plain = getCredit(mix, engines, chooseLeastLoaded);
		t.comment(`${mix.name}: ${credit.toFixed(3)}, least loaded ${plain.toFixed(3)}`);
		t.ok(credit > plain, mix.name);
	}
});

await t.test('a tenth of the prompts has most of the tokens: with spare engines the largest prompts earn most of their worth', async t => {
	for (const [mix, engines] of [[servingMixes.grownFiltri, 30], [servingMixes.grownChroma, 26]] as const) {
		const [large, plain] = [chooseEngine, chooseLeastLoaded].map(choose => getMean(seeds.map(seed => emulateServing({
			mix, engines, load: 0.7, viewMs: 150, seed, durationMs: 14_000, choose,
		}).largestPromptCredit)));
		t.comment(`${mix.name}: ${large!.toFixed(3)}, least loaded ${plain!.toFixed(3)}`);
		t.ok(large! > 0.5, mix.name);
		t.ok(large! > plain! + 0.1, `${mix.name}, against the least loaded`);
	}
});

await t.test('prompts of one size: the engines reserved for large prompts are used too', async t => {
	const {kinds: [kind], ...rest} = servingMixes.chroma;
	const own = {mean: 2000, spread: 0, max: 2000};
	const mix = {
		...rest, kinds: [{
			...kind, perSecond: 30, own, shared: [{...own, count: 1000}],
		}],
	};
	const {refusedShare, lateShares} = emulateServing({
		mix, engines: 4, load: 1, viewMs: 100, seed: 1, durationMs: 12_000, choose: chooseEngine,
	});
	t.comment(`refused ${refusedShare.toFixed(3)}, late ${lateShares.report!.toFixed(3)}`);
	t.ok(refusedShare < 0.01);
	t.ok(lateShares.report! < 0.05);
});

await t.test('returns equal results for equal seeds', async t => {
	const run = () => emulateServing({
		mix: servingMixes.chroma, engines: 5, load: 1, viewMs: 100, seed: 7, durationMs: 8000, choose: chooseEngine,
	});
	t.same(run(), run());
});
