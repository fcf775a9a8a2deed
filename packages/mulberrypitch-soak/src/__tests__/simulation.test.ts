/** A fixed set of randomised runs. */
import t from 'tap';
import {runSeed} from '../simulation.js';

const seedCount = 40;

await t.test(`${seedCount} seeds keep all invariants`, async t => {
	for (let seed = 1; seed <= seedCount; seed += 1) {
		const {violations, committedEntries} = await runSeed(seed);
		t.same(violations, [], `seed ${seed}`);
		t.ok(committedEntries > 0, `seed ${seed} commits`);
	}
});
