/** Elections in a group of replicas on virtual time. */
import t from 'tap';
import {AccountStore} from '@mulberrypitch/account/account-store';
import {MemoryNetwork} from '@mulberrypitch/fakes/memory-transport';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {MemoryLog} from '@mulberrypitch/storage/memory-log';
import {ControlState} from '../control-state.js';
import {Replica} from '../replica.js';
import {roles} from '../types.js';

const electionLimitMs = 5000;
const names = ['a', 'b', 'c'];

async function startGroup(clock: VirtualClock) {
	const network = new MemoryNetwork(clock);
	const replicas = names.map((name, index) => new Replica({
		group: 'main',
		name,
		peers: names.map(peer => ({name: peer, address: peer})),
		store: new MemoryLog(),
		transport: network.join(name),
		clock,
		random: new SeededRandom(index + 1),
		logger: new SilentLogger(),
		machine: new ControlState(),
		account: new AccountStore(new MemoryLog()),
	}));
	await Promise.all(replicas.map(async replica => replica.start()));
	return {network, replicas};
}

function getLeader(replicas: readonly Replica[]): Replica | undefined {
	return replicas.find(replica => replica.hasLease());
}

await t.test('elects one leader, which commits entries', async t => {
	const clock = new VirtualClock();
	const {replicas} = await startGroup(clock);
	t.ok(await clock.runUntil(() => getLeader(replicas) !== undefined, electionLimitMs));
	const committed = getLeader(replicas)!.propose({kind: 'leaderStarted', leader: 'x'});
	await clock.runFor(500);
	t.same(await committed, {});
	t.equal(replicas.filter(replica => replica.role === roles.leader).length, 1);
	t.ok(replicas.every(replica => replica.appliedIndex === replicas[0]!.appliedIndex));
	await Promise.all(replicas.map(async replica => replica.dispose()));
});

await t.test('elects another leader when the leader is partitioned, after the lease of the old one has expired', async t => {
	const clock = new VirtualClock();
	const {network, replicas} = await startGroup(clock);
	await clock.runUntil(() => getLeader(replicas) !== undefined, electionLimitMs);
	const old = getLeader(replicas)!;
	const oldName = old.leader!;
	network.setPolicy((from, to) => ({isLost: from === oldName || to === oldName, delayMs: 0}));
	let holders = 1;
	const isReplaced = await clock.runUntil(() => {
		holders = Math.max(holders, replicas.filter(replica => replica.hasLease()).length);
		return replicas.some(replica => replica !== old && replica.hasLease());
	}, electionLimitMs);
	t.ok(isReplaced);
	t.equal(holders, 1);
	t.notOk(old.hasLease());
	await Promise.all(replicas.map(async replica => replica.dispose()));
});
