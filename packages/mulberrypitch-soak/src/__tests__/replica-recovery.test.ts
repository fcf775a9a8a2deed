/** Recovery of replicas that are far behind, have an empty disk or have a failing disk. */
import t from 'tap';
import type {Replica} from '@mulberrypitch/control/replica';
import {Simulation} from '../simulation.js';
import type {SimulatedHost} from '../simulated-host.js';

const waitLimitMs = 10_000;
const electionWaitMs = 4000;
const probeDelayMs = 200;
const probeSeeds = 30;
const electionSeeds = 60;

async function startGroup(seed = 1): Promise<Simulation> {
	const group = new Simulation(seed, 3);
	group.links.quality = {
		maxUsualDelayMs: 2, lossShare: 0, duplicateShare: 0, longDelayShare: 0,
	};
	await Promise.all(group.hosts.map(async host => host.start()));
	await waitFor(group, () => getLeader(group) !== undefined && group.hosts.every(host => host.replica!.isVoter));
	return group;
}

async function waitFor(group: Simulation, isReached: () => boolean): Promise<boolean> {
	const end = group.clock.now() + waitLimitMs;
	while (!isReached() && group.clock.now() < end) {
		await group.advance(20);
	}

	return isReached();
}

function getLeader(group: Simulation): Replica | undefined {
	return group.hosts.find(host => host.replica?.hasLease())?.replica;
}

function getFollowers(group: Simulation): readonly [SimulatedHost, SimulatedHost] {
	const leader = getLeader(group);
	const [first, second] = group.hosts.filter(host => host.replica !== undefined && host.replica !== leader);
	return [first!, second!];
}

/** Commits a number of requests, each of which also adds a record to the audit log. */
async function propose(group: Simulation, count: number): Promise<void> {
	const leader = getLeader(group)!;
	const opened = leader.propose({
		kind: 'openSession', node: 'n', incarnation: '1', peerAddress: 'p', publicAddress: 'p', zone: 'z', region: 'r', site: 's',
	});
	await group.advance(200);
	await opened;
	const first = leader.lastIndex;
	const accepted = Array.from({length: count}, async (_, number) => leader.propose({
		kind: 'acceptRequest',
		requestId: `r${first}-${number}`,
		customer: 'c',
		service: 's',
		digest: 'd',
		fingerprint: 'f',
		isIdempotent: true,
		holder: 'n',
		holderEpoch: 1,
		entryTime: 0,
	}));
	await group.advance(2000);
	await Promise.all(accepted);
}

async function reachesAgreement(group: Simulation): Promise<boolean> {
	const hasAgreement = await waitFor(group, () => {
		const leader = getLeader(group);
		return leader !== undefined && group.hosts.every(host => host.replica!.isVoter && host.replica!.appliedIndex === leader.lastIndex);
	});
	await group.advance(500);
	group.checker.checkFinalState(group.hosts);
	return hasAgreement;
}

await t.test('a replica that is thousands of entries behind catches up through a snapshot, with a complete audit log', async t => {
	const group = await startGroup();
	const behind = getFollowers(group)[0];
	behind.kill(true);
	for (let round = 0; round < 3; round += 1) {
		await propose(group, 1000);
	}

	const leader = group.hosts.find(host => host.replica?.hasLease())!;
	leader.kill(false);
	await leader.start();
	await behind.start();
	t.ok(await reachesAgreement(group));
	t.same(group.checker.violations, []);
	t.equal(behind.account!.getHead().sequence, 3000);
});

await t.test('a host that lost its disk has no vote until it has caught up; losing a second disk then loses no data', async t => {
	const group = await startGroup();
	await propose(group, 200);
	const [first, second] = getFollowers(group);
	const oldId = first.replica!.replicaId;
	first.replaceDisk();
	await first.start();
	t.not(first.replica!.replicaId, oldId);
	t.notOk(first.replica!.isVoter);
	t.ok(await waitFor(group, () => first.replica!.isVoter));
	second.replaceDisk();
	await propose(group, 50);
	await second.start();
	t.ok(await reachesAgreement(group));
	t.same(group.checker.violations, []);
	t.equal(second.account!.getHead().sequence, 250);
});

await t.test('replicas elect a leader after a split vote', async t => {
	for (let seed = 1; seed <= electionSeeds; seed += 1) {
		t.not(getLeader(await startGroup(seed)), undefined, `seed ${seed}`);
	}
});

/** Stops the leader, restarts one replica that lags behind and one whose disk was replaced, and gives these two time for an election. */
async function restartLaggingAndEmpty(group: Simulation, keptFiles: readonly string[]) {
	const [lost, behind] = getFollowers(group);
	const leader = group.hosts.find(host => host.replica?.hasLease())!;
	behind.kill(true);
	await propose(group, 20);
	leader.kill(true);
	lost.replaceDisk(keptFiles);
	await lost.start();
	await behind.start();
	await group.advance(electionWaitMs);
	return {leader, lost};
}

await t.test('without the check of replica ids, a replaced disk would lose acknowledged entries', async t => {
	const group = await startGroup();
	await restartLaggingAndEmpty(group, ['/data/log/hard-state']);
	t.not(getLeader(group), undefined, 'the old id may vote although its log is empty');
	t.equal(group.hosts.find(host => host.replica?.hasLease())!.account!.getHead().sequence, 0);
});

await t.test('a host with an empty disk and one that lags behind elect no leader', async t => {
	const group = await startGroup();
	const {leader, lost} = await restartLaggingAndEmpty(group, []);
	t.equal(getLeader(group), undefined);
	await leader.start();
	t.ok(await reachesAgreement(group));
	t.same(group.checker.violations, []);
	t.equal(lost.account!.getHead().sequence, 20);
});

for (const fault of ['isFull', 'isSyncFailing'] as const) {
	await t.test(`a leader whose followers can't store entries acknowledges none: ${fault}`, async t => {
		const group = await startGroup();
		const [first, second] = getFollowers(group);
		const leader = getLeader(group)!;
		first.disk.faults[fault] = true;
		second.disk.faults[fault] = true;
		const {commitIndex} = leader;
		const outcome = Promise.allSettled([leader.propose({kind: 'leaderStarted', leader: 'x'})]);
		await group.advance(electionWaitMs);
		const [{status}] = await outcome;
		t.equal(status, 'rejected');
		t.equal(leader.commitIndex, commitIndex);
		t.notOk(leader.hasLease());
	});
}

await t.test('a leader whose sync hangs steps down and another one is elected', async t => {
	const group = await startGroup();
	const old = group.hosts.find(host => host.replica?.hasLease())!;
	old.disk.faults.syncDelayMs = waitLimitMs;
	const outcome = Promise.allSettled([old.replica!.propose({kind: 'leaderStarted', leader: 'x'})]);
	t.ok(await waitFor(group, () => getLeader(group) !== undefined && getLeader(group) !== old.replica));
	await outcome;
	t.same(group.checker.violations, []);
});

await t.test('a replica that has heard from the leader since its pre-vote does not start an election against the lease', async t => {
	for (let seed = 1; seed <= probeSeeds; seed += 1) {
		const group = await startGroup(seed);
		const leader = group.hosts.find(host => host.replica?.hasLease())!.name;
		let prober: string | undefined;
		let probedAt = Number.POSITIVE_INFINITY;
		group.network.setPolicy((from, to) => {
			// Followers call each other only to request votes. While the first pre-vote is in flight, the leader can reach its sender.
			const isBetweenFollowers = from !== leader && to !== leader;
			if (isBetweenFollowers && prober === undefined) {
				prober = from;
				probedAt = group.clock.now();
			}

			const elapsedMs = group.clock.now() - probedAt;
			const isProbing = elapsedMs >= 0 && elapsedMs < 2 * probeDelayMs;
			const isReached = isBetweenFollowers || (isProbing && (from === prober || to === prober));
			return {isLost: !isReached, delayMs: isBetweenFollowers && isProbing ? probeDelayMs : 1};
		});
		await group.advance(electionWaitMs);
		t.same(group.checker.violations, [], `seed ${seed}`);
	}
});
