/** Tests what processes remember of where streams began. */
import t from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {OriginTable} from '@mulberrypitch/serving/origin-table';

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
