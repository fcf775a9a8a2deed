/** Runs a fixed set of seeds of the randomised simulation. */
import t from 'tap';
import {runSeed} from '../simulation.js';

const seedCount = 40;

await t.test(`${seedCount} seeds violate no invariant`, async t => {
	for (let seed = 1; seed <= seedCount; seed += 1) {
		const {violations, committedEntries} = await runSeed(seed);
		t.same(violations, [], `seed ${seed}`);
		t.ok(committedEntries > 0, `seed ${seed} commits entries`);
	}
});
