/** Acceptance of configuration changes and their rollout to all hosts. */
import t, {type Test} from 'tap';
import {codes} from '@mulberrypitch/errors/catalogue';
import {ConfigurationTable} from '../configuration-table.js';
import {ControlGroup, createFiles} from './control-group.js';

const rolloutLimitMs = 5000;

async function startGroup(t: Test, entryCount = 8) {
	const group = new ControlGroup();
	t.teardown(async () => group.dispose());
	await group.start(entryCount);
	return group;
}

await t.test('accepts one of two changes with equal expected revisions and names the winner', async t => {
	const group = await startGroup(t);
	const [first, second] = await Promise.all([
		group.apply(group.entries[0]!, 0, 'one', createFiles(1)),
		group.apply(group.entries[1]!, 0, 'two', createFiles(2)),
	]);
	const results = [first, second];
	const won = results.findIndex(({status}) => status === 'fulfilled');
	const lost = results[1 - won]!;
	t.equal(lost.status, 'rejected');
	t.match(lost, {reason: {code: codes.conflict, details: {winnerChangeId: ['one', 'two'][won], winnerRevision: 1, winner: `operator of ${['one', 'two'][won]}`}}});
});

await t.test('returns the first result for a change that is sent again, also after later changes', async t => {
	const group = await startGroup(t);
	const [entry, other] = group.entries;
	const first = await group.apply(entry!, 0, 'one', createFiles(1));
	await group.apply(entry!, 1, 'two', createFiles(2));
	t.same(await group.settle(other!.client.propose({
		kind: 'applyConfiguration', changeId: 'one', expectedRevision: 0, operator: 'x', digest: group.getLeader().state.findChange('one')!.digest, files: createFiles(1),
	})), first);
	t.match(await group.apply(entry!, 0, 'one', createFiles(9)), {status: 'rejected', reason: {code: codes.conflict}});
	t.equal(group.getLeader().state.configuration!.revision, 2);
});

await t.test('rejects the whole change when one overlay is invalid or its site is unknown', async t => {
	const group = await startGroup(t);
	const [entry] = group.entries;
	const invalid = createFiles(1, {palermo: '[retry]\nmax-attempts = 2\n', catania: '[retry]\nmax-attempts = 0\n'});
	t.match(await group.apply(entry!, 0, 'one', invalid), {status: 'rejected', reason: {code: codes.settings, message: /^catania: /v}});
	const misspelt = createFiles(1, {palerno: '[retry]\nmax-attempts = 2\n'});
	t.match(await group.apply(entry!, 0, 'two', misspelt), {status: 'rejected', reason: {code: codes.settings, nextStep: 'Did you mean "palermo"?'}});
	t.equal(group.getLeader().state.configuration, undefined);
});

await t.test('takes effect on all hosts within 5 s, and a partitioned host becomes stale instead of using the old revision', async t => {
	const group = await startGroup(t);
	await group.apply(group.entries[0]!, 0, 'one', createFiles(1));
	const cutOff = group.entries[7]!;
	await group.clock.runUntil(() => cutOff.queueLimit === 1, rolloutLimitMs);
	group.cut(cutOff.name);
	await group.apply(group.entries[0]!, 1, 'two', createFiles(2, {catania: '[service.advice]\nqueue-limit = 3\n'}));
	const others = group.entries.filter(entry => entry !== cutOff);
	const acceptedAt = group.clock.now();
	const getLimit = (site: string) => site === 'catania' ? 3 : 2;
	t.ok(await group.clock.runUntil(() => others.every(entry => entry.queueLimit === getLimit(entry.site)), rolloutLimitMs));
	t.comment(`took effect on ${others.length} hosts after ${group.clock.now() - acceptedAt} ms of virtual time`);
	await group.clock.runFor(acceptedAt + rolloutLimitMs - group.clock.now());
	t.notOk(cutOff.client.isFresh());
	t.equal(cutOff.queueLimit, 1);
	t.ok(others.every(({client}) => client.isFresh()));
	const nodes = group.getLeader().getStatus().nodes.filter(({node}) => node !== cutOff.name);
	t.equal(nodes.length, 7);
	t.ok(nodes.every(node => node.digest === node.expectedDigest));
	group.cut();
	t.ok(await group.clock.runUntil(() => cutOff.client.isFresh(), rolloutLimitMs));
	t.equal(cutOff.queueLimit, getLimit(cutOff.site));
});

await t.test('never reverts to an earlier revision when control hosts restart, with or without their disk', async t => {
	const group = await startGroup(t, 2);
	await group.apply(group.entries[0]!, 0, 'one', createFiles(1));
	await group.apply(group.entries[0]!, 1, 'two', createFiles(2));
	const lost = group.controls.find(({replica}) => !replica.hasLease())!;
	for (const control of group.controls) {
		await group.settle(control.dispose());
		if (control === lost) {
			control.eraseDisk();
		}
	}

	await Promise.all(group.controls.map(async control => control.start()));

	const restarted = group.startEntry('e0', 0, 'second');
	let isServingOld = false;
	t.ok(await group.clock.runUntil(() => {
		isServingOld ||= restarted.client.isFresh() && restarted.client.revision < 2;
		return restarted.client.isFresh();
	}, 10_000));
	t.notOk(isServingOld);
	t.equal(restarted.queueLimit, 2);
	t.equal(group.getLeader().state.configuration!.revision, 2);
});

await t.test('asserts that a revision never decreases and stores a bounded number of changes', t => {
	const table = new ConfigurationTable();
	const empty = table.capture();
	for (let revision = 0; revision < 300; revision += 1) {
		table.apply({
			kind: 'applyConfiguration', changeId: `c${revision}`, expectedRevision: revision, operator: 'o', digest: 'd', files: createFiles(1),
		});
	}

	t.equal(table.capture().changes.length, 256);
	t.throws(() => {
		table.restore(empty);
	}, {code: codes.invariant});
	t.throws(() => table.apply({
		kind: 'applyConfiguration', changeId: 'c0', expectedRevision: 0, operator: 'o', digest: 'd', files: createFiles(1),
	}), {code: codes.conflict});
	t.end();
});
