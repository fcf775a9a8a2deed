/** Order and times of audit records when wall clocks step back. */
import t from 'tap';
import {verifyChain} from '@mulberrypitch/account/chain';
import {ControlState} from '../control-state.js';
import {ControlGroup} from './control-group.js';

const stepBackMs = 3_600_000;

await t.test('keeps log order and non-decreasing times across leaders with different wall clocks', async t => {
	const group = new ControlGroup();
	t.teardown(async () => group.dispose());
	await group.start(2);
	const [entry] = group.entries;
	await group.accept(entry!, 'r1');
	for (const control of group.controls) {
		control.clock.wallOffsetMs = -stepBackMs;
	}

	await group.accept(entry!, 'r2');
	const old = group.getLeader();
	group.cut(old.name);
	await group.clock.runFor(5000);
	t.not(group.getLeader(), old);
	await group.accept(entry!, 'r3');
	group.cut();
	await group.clock.runFor(2000);
	const records = group.getLeader().account.read(1, 10);
	t.same(records.map(({requestId}) => requestId), ['r1', 'r2', 'r3']);
	t.equal(verifyChain(records).sequence, 3);
	t.same(old.account.read(1, 10), records);
});

await t.test('records non-decreasing times when the times of log entries decrease, also after a snapshot', t => {
	const state = new ControlState();
	const restored = new ControlState();
	const accept = (target: ControlState, index: number, time: number) => target.apply({
		index, term: 1, time, command: {
			kind: 'acceptRequest', requestId: `r${index}`, customer: 'c', service: 's', digest: 'd', fingerprint: 'f', isIdempotent: true, holder: 'h', holderEpoch: 1, entryTime: 0,
		},
	}).records;
	state.apply({
		index: 1, term: 1, time: 0, command: {
			kind: 'openSession', node: 'h', incarnation: 'i', peerAddress: 'a', publicAddress: 'b', zone: 'z', region: 'r', site: 's',
		},
	});
	const before = accept(state, 2, 5000);
	restored.restore(structuredClone(state.capture()));
	const after = accept(state, 3, 4000);
	t.same(accept(restored, 3, 4000), after);
	t.equal(verifyChain([...before, ...after]).sequence, 2);
	t.end();
});
