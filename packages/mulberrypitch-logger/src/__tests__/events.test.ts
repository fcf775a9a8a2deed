/** Compares the catalogue of log events with the table in the docs. */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import t from 'tap';
import {events} from '../events.js';

const file = path.resolve(import.meta.dirname, '../../../../docs/log-events.md');

await t.test('lists the same events in code and docs', async t => {
	const rows = [...readFileSync(file, 'utf8').matchAll(/^\| (?<number>\d+) \| (?<level>\w+) \| (?<text>[^\|]+) \|/gmv)]
		.map(({groups}) => `${groups!.number} ${groups!.level} ${groups!.text}`);
	const expected = Object.values(events).map(({number, level, text}) => `${number} ${level} ${text}`);
	t.same(rows.toSorted(), expected.toSorted());
});

await t.test('gives each event its own number', async t => {
	const numbers = Object.values(events).map(({number}) => number);
	t.equal(new Set(numbers).size, numbers.length);
});
