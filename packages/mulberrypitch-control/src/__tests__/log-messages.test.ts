/** Validation of the parameters of log calls, with random input. */
import fc from 'fast-check';
import t from 'tap';
import {
	appendRequestSchema, identityRequestSchema, recordsRequestSchema, snapshotRequestSchema, voteRequestSchema,
} from '../messages.js';

const seed = 1;
const integers = fc.nat();
const entry = {
	index: 5, term: 1, time: 0, command: {kind: 'leaderStarted', leader: 'a'},
};
const append = {
	group: 'main', term: 1, leader: 'a', previousIndex: 4, previousTerm: 1, entries: [entry, {...entry, index: 6}], commitIndex: 4,
};
const vote = {
	group: 'main', term: 1, candidate: 'a', voterId: 'r', lastIndex: 0, lastTerm: 0, isProbe: true,
};
const snapshot = {
	group: 'main', term: 1, leader: 'a', index: 3, snapshotTerm: 1, time: 0, members: {a: 'r'}, head: {sequence: 0, hash: ''}, offset: 0, length: 2, data: '{}',
};
const cases = [
	{name: 'append', schema: appendRequestSchema, valid: append},
	{name: 'vote', schema: voteRequestSchema, valid: vote},
	{name: 'snapshot', schema: snapshotRequestSchema, valid: snapshot},
	{name: 'identity', schema: identityRequestSchema, valid: {group: 'main'}},
	{name: 'records', schema: recordsRequestSchema, valid: {group: 'main', from: 1}},
];

for (const {name, schema, valid} of cases) {
	await t.test(`${name} accepts complete parameters and rejects a missing one or one of another type`, async t => {
		t.ok(schema.safeParse(valid).success);
		const invalidValues = fc.constantFrom(undefined, null, -1, 0.5, [5]);
		const fields = fc.constantFrom(...Object.keys(valid).filter(field => field !== 'time'));
		fc.assert(fc.property(fields, invalidValues, (field, value) => !schema.safeParse({...valid, [field]: value}).success), {seed});
		fc.assert(fc.property(fc.jsonValue(), value => !schema.safeParse(value).success), {seed});
	});
}

await t.test('append rejects entries whose indexes are not consecutive', async () => {
	fc.assert(fc.property(fc.array(integers, {minLength: 1, maxLength: 5}), indexes => {
		const entries = indexes.map(index => ({...entry, index}));
		const isRun = indexes.every((index, position) => index === 5 + position);
		return appendRequestSchema.safeParse({...append, entries}).success === isRun;
	}), {seed});
});
