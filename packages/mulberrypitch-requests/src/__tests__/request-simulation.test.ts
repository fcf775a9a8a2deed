/** Tests randomised faults with fixed seeds; `MULBERRYPITCH_SEEDS=first-last` runs other seeds. */
import process from 'node:process';
import t from 'tap';
import {RequestSimulation} from './request-simulation.js';

const limitMs = 600_000;
const [first, last] = (process.env.MULBERRYPITCH_SEEDS ?? '1-40').split('-').map(Number);

t.setTimeout(limitMs);
await t.test('each caller gets its own complete answer or a typed end, and bookings run at most once', async t => {
	const totals: Record<string, number> = {};
	for (let seed = first!; seed <= last!; seed += 1) {
		const {problems, counts} = await new RequestSimulation(seed).run();
		t.same(problems, [], `seed ${seed}`);
		for (const [name, count] of Object.entries(counts)) {
			totals[name] = (totals[name] ?? 0) + count;
		}
	}

	t.comment(JSON.stringify(totals));
});
