/** Tests that seeded random numbers are reproducible for each seed and not correlated between consecutive seeds. */
import t from 'tap';
import {SeededRandom} from '../random.js';

const seeds = Array.from({length: 100}, (_, index) => index + 1);

await t.test('returns the same numbers for the same seed', async t => {
	const [left, right] = [new SeededRandom(7), new SeededRandom(7)];
	t.same(seeds.map(() => left.next()), seeds.map(() => right.next()));
});

await t.test('distributes the first numbers of consecutive seeds over the range', async t => {
	const first = seeds.map(seed => new SeededRandom(seed).next());
	const quarters = [0, 1, 2, 3].map(quarter => first.filter(value => Math.floor(value * 4) === quarter).length);
	t.ok(quarters.every(count => count >= 10), quarters.join(' '));
});
