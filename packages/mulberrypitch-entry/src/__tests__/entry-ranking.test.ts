/** Tests the order of the entry hosts in the list: callers must not all choose the same host, nor a draining or overloaded host first. */
import t from 'tap';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {rankEntries, type EntryCandidate} from '../entry-ranking.js';

const entries: EntryCandidate[] = ['a', 'b', 'c', 'd'].map(address => ({
	address, zone: 'z', isDraining: address === 'c', isOverloaded: address === 'b', demand: 0,
}));

await t.test('omits draining hosts, puts overloaded ones last and spreads callers over the others', async t => {
	const random = new SeededRandom(1);
	const lists = Array.from({length: 50}, () => rankEntries(entries, random).map(({address}) => address));
	t.ok(lists.every(list => list.length === 3 && list.at(-1) === 'b'));
	t.same(new Set(lists.map(([first]) => first)), new Set(['a', 'd']));
});

await t.test('spreads callers over the three hosts with the least demand', async t => {
	const random = new SeededRandom(1);
	const loaded = ['a', 'b', 'c', 'd', 'e'].map((address, index) => ({
		address, zone: 'z', isDraining: false, isOverloaded: false, demand: 10 - index,
	}));
	const lists = Array.from({length: 50}, () => rankEntries(loaded, random).map(({address}) => address));
	t.same(new Set(lists.map(([first]) => first)), new Set(['c', 'd', 'e']));
	t.ok(lists.every(list => list.length === 5 && list.at(-1) === 'a'));
});
