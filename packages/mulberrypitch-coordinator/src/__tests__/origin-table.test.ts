/** Tests what processes remember of where streams began. */
import t from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {groupOrigins, OriginTable, partCharacters} from '@mulberrypitch/serving/origin-table';
import type {KnownOrigins} from '@mulberrypitch/serving/view-messages';

const origin = {service: 's', version: 'v1'};
const other = {service: 's', version: 'v2'};

// Guards against a stream that goes on at either of two versions after contradicting reports.
await t.test('an attempt with two versions is unknown for good, also to those that learn of both later', t => {
	const clock = new VirtualClock();
	const table = new OriginTable(clock);
	t.equal(table.add('a', origin), true);
	t.equal(table.add('a', origin), false);
	t.same(table.getOrigin('a'), origin);
	t.equal(table.add('a', other), true);
	t.equal(table.add('a', origin), false);
	t.equal(table.getOrigin('a'), undefined);
	const learner = new OriginTable(clock);
	learner.merge(table.getSince(0));
	t.equal(learner.getOrigin('a'), undefined);
	t.end();
});

// Guards against origins that are skipped, or sent again and again, once old ones are forgotten.
await t.test('positions go on over what is forgotten after a while', async t => {
	const clock = new VirtualClock();
	const table = new OriginTable(clock);
	table.merge([{...origin, attemptIds: ['a', 'b']}]);
	const {position} = table;
	await clock.runFor(61_000);
	table.add('c', other);
	t.equal(table.getOrigin('a'), undefined);
	t.equal(table.size, 1);
	t.same(table.getSince(position), [{...other, attemptIds: ['c']}]);
	t.same(table.getSince(0), [{...other, attemptIds: ['c']}]);
	t.same(table.getSince(table.position), []);
});

/** Adds a number of origins to a table, of which the names of the attempts have 16 characters. */
function addMany(table: OriginTable, prefix: string, count: number): void {
	for (let index = 0; index < count; index += 1) {
		table.add(`${prefix}${String(index).padStart(15, '0')}`, origin);
	}
}

/** Reads parts until none is missing, while `onPart` may add to the table. Returns the number of parts. */
function readAll(table: OriginTable, learner: OriginTable, known: KnownOrigins, onPart: (count: number) => void): number {
	let state = known;
	for (let count = 1; ; count += 1) {
		const {records, position, missingBefore} = table.getPart(state);
		learner.merge(groupOrigins(records));
		state = {position, missingBefore};
		if (missingBefore === 0) {
			return count;
		}

		onPart(count);
	}
}

// Guards against an exchange of all origins in one message, and against origins that are skipped when they are exchanged in parts.
await t.test('parts are bounded, begin with the newest origins, and bring all of them while others are added', t => {
	const clock = new VirtualClock();
	const [table, learner] = [new OriginTable(clock), new OriginTable(clock)];
	addMany(table, 'a', 5000);
	const {records} = table.getPart({position: 0});
	t.equal(records.at(-1)?.attemptId, 'a000000000004999');
	t.ok(records.length * 16 <= partCharacters + 16, `${records.length} origins in one part`);
	const partCount = readAll(table, learner, {position: 0}, count => {
		// One addition is more than a part holds.
		addMany(table, `${count}`, count === 3 ? 2000 : 10);
	});
	t.equal(learner.size, table.size);
	t.ok(partCount > 5 && partCount < 12, `${partCount} parts`);
	t.same(table.getPart({position: table.position}).records, []);
	t.end();
});

// Guards against a reader that never gets past an attempt with a long name.
await t.test('a part holds at least one origin, however long the name of its attempt is', t => {
	const clock = new VirtualClock();
	const [table, learner] = [new OriginTable(clock), new OriginTable(clock)];
	for (const letter of ['a', 'b', 'c']) {
		table.add(letter.repeat(2 * partCharacters), origin);
	}

	t.equal(readAll(table, learner, {position: 0}, () => undefined), 3);
	t.equal(learner.size, 3);
	t.end();
});

// Guards against parts that are asked for without end, or begin in the wrong place, once what is missing has been forgotten.
await t.test('what is forgotten while it is missing is not missing any more', async t => {
	const clock = new VirtualClock();
	const table = new OriginTable(clock);
	addMany(table, 'a', 3000);
	const {position, missingBefore} = table.getPart({position: 0});
	t.ok(missingBefore > 0);
	await clock.runFor(61_000);
	table.add('b', other);
	const next = table.getPart({position, missingBefore});
	t.equal(next.missingBefore, 0);
	t.same(next.records.map(({attemptId}) => attemptId), ['b']);
});
