/** The order of entry hosts. */
import t from 'tap';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {rankEntries, type RankedEntry} from '../entry-ranking.js';

const entries: RankedEntry[] = ['a', 'b', 'c', 'd'].map(address => ({
	address, zone: 'z', isDraining: address === 'c', isOverloaded: address === 'b',
}));

await t.test('leaves out draining hosts, puts overloaded ones last and spreads callers over the others', async t => {
	const random = new SeededRandom(1);
	const lists = Array.from({length: 50}, () => rankEntries(entries, random).map(({address}) => address));
	t.ok(lists.every(list => list.length === 3 && list.at(-1) === 'b'));
	t.same(new Set(lists.map(([first]) => first)), new Set(['a', 'd']));
});
