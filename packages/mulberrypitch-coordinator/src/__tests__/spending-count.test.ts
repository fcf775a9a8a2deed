/** Tests how a coordinator counts the quota units that entries spend. */
import t from 'tap';
import type {EntryStatus} from '@mulberrypitch/serving/view-messages';
import {SpendingCounter} from '../spending-count.js';

function createStatus(name: string, units: number, upMs: number, incarnation = 'one'): EntryStatus {
	return {
		name, incarnation, upMs, address: name, zone: 'a', isReady: true, loads: {}, pressure: {}, spent: {w: units}, usage: [], crashes: {charges: [], answered: [], quarantined: []},
	};
}

await t.test('a restarted coordinator does not count units that entries spent before its start', async t => {
	const counter = new SpendingCounter();
	counter.update(createStatus('a', 5_000_000, 60_000));
	counter.update(createStatus('b', 4_000_000, 60_000));
	t.same(counter.getOthers('a'), {w: 0});
	counter.update(createStatus('b', 4_000_300, 60_100));
	t.same(counter.getOthers('a'), {w: 300});
	t.same(counter.getOthers('b'), {w: 0});
});

await t.test('counts all units of an entry that has just started', async t => {
	const counter = new SpendingCounter();
	counter.update(createStatus('a', 700, 200));
	counter.update(createStatus('a', 100, 50, 'two'));
	t.same(counter.getOthers('b'), {w: 800});
});

await t.test('a late older status counts no units twice', async t => {
	const counter = new SpendingCounter();
	for (const units of [100, 300, 200, 400]) {
		counter.update(createStatus('a', units, 500));
	}

	t.same(counter.getOthers('b'), {w: 400});
});
