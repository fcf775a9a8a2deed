/** Tests reclaims with notice: the plan, the number of recomputed tokens, and that leaving back ends get no new requests. */
import t from 'tap';
import {planReclaim, type Reclaim} from '../reclaim-planner.js';
import {reclaimModes, runReclaimExperiment} from './reclaim-experiment.js';
import {createDocument, collectAnswer, isWhole} from './cluster-calls.js';
import {RequestCluster} from './request-cluster.js';

const maxDispatchDelayMs = 3000;
const seeds = [1, 2];
const limitMs = 300_000;

t.setTimeout(limitMs);

const reclaim: Reclaim = {
	requests: [
		{
			requestId: 'short', contextTokens: 50, remainingTokens: 10, tokenMs: 20,
		},
		{
			requestId: 'long', contextTokens: 9000, remainingTokens: 1000, tokenMs: 20,
		},
		{
			requestId: 'middle', contextTokens: 4000, remainingTokens: 1000, tokenMs: 20,
		},
		{
			requestId: 'tiny', contextTokens: 10, remainingTokens: 1000, tokenMs: 20,
		},
	],
	noticeMs: 3000,
	room: 10,
	transferMsPerToken: 0.05,
	recomputeMsPerToken: 0.5,
	policy: {costWeight: 1, recomputeWeight: 1},
};

function getChoices(changes: Partial<Reclaim>): Record<string, string> {
	return Object.fromEntries(planReclaim({...reclaim, ...changes}).map(({requestId, choice}) => [requestId, choice]));
}

await t.test('plans by context length, time, import capacity and weights', async t => {
	t.same(getChoices({}), {
		long: 'move', middle: 'move', short: 'finish', tiny: 'resume',
	});
	t.equal(getChoices({room: 1}).middle, 'resume', 'the longest goes first');
	t.equal(getChoices({noticeMs: 900}).middle, 'resume', 'no time is left after the longest');
	t.equal(getChoices({policy: {costWeight: 1, recomputeWeight: 10}}).tiny, 'move', 'recomputed tokens weigh more');
});

await t.test('a planned wave recomputes less than resuming or restarting, and each answer is complete', async t => {
	for (const seed of seeds) {
		const results = [];
		for (const mode of Object.values(reclaimModes)) {
			results.push(await runReclaimExperiment(mode, seed));
		}

		const [planned, resume, restart] = results;
		t.comment(JSON.stringify(results));
		t.ok(results.every(({whole, documents}) => whole === documents && documents === 12));
		t.ok(planned!.recomputedTokens < resume!.recomputedTokens);
		t.ok(resume!.durationMs < restart!.durationMs);
	}
});

await t.test('the answer is complete although the target of a move is reclaimed too', async t => {
	const cluster = new RequestCluster();
	t.teardown(async () => cluster.dispose());
	await cluster.start(4, 3);
	const accepted = await cluster.settle(cluster.getHost('host-1').requests.submit(createDocument('report', 800)));
	const received = collectAnswer(accepted);
	await cluster.clock.runFor(2000);
	for (let reclaims = 0; reclaims < 2; reclaims += 1) {
		const {backend} = cluster.state.getRequest(accepted.requestId)!.attempts.at(-1)!;
		void cluster.reclaim(backend, 2000);
		await cluster.clock.runFor(700);
	}

	await cluster.until(() => received.outcome !== undefined, 60_000);
	t.ok(isWhole(received, 'report', 800));
});

await t.test('the answer is complete although its holder crashes during a reclaim', async t => {
	const cluster = new RequestCluster();
	t.teardown(async () => cluster.dispose());
	await cluster.start(4, 3);
	const {requestId} = await cluster.settle(cluster.getHost('host-1').requests.submit(createDocument('report', 400)));
	await cluster.clock.runFor(2000);
	void cluster.reclaim(cluster.state.getRequest(requestId)!.attempts[0]!.backend, 2000);
	await cluster.clock.runFor(300);
	cluster.kill('host-1');
	const reading = cluster.getHost('host-2').requests.getRequest(requestId, 'clinic');
	const received = collectAnswer(await cluster.settle(reading));
	await cluster.until(() => received.outcome !== undefined, 60_000);
	t.ok(isWhole(received, 'report', 400));
});

await t.test('a leaving back end gets no new requests after 3 s, not even from a host that is cut off', async t => {
	const cluster = new RequestCluster();
	t.teardown(async () => cluster.dispose());
	await cluster.start(4, 2);
	cluster.cut('host-1');
	const leftAt = cluster.clock.now();
	const leaving = cluster.getHost('host-2').control.propose({
		kind: 'leaveBackend', id: 'engine-1', incarnation: 'engine-1', leavesAt: cluster.clock.wallTime() + 30_000,
	});
	await cluster.settle(leaving);
	for (let count = 0; count < 40; count += 1) {
		for (const host of cluster.hosts.values()) {
			host.requests.submit(createDocument(`question-${count}`, 5)).catch(() => undefined);
		}

		await cluster.clock.runFor(200);
	}

	const late = cluster.backends.calls.filter(({address, startedAt}) => address === 'engine-1' && startedAt > leftAt + maxDispatchDelayMs);
	t.same(late, []);
	t.ok(cluster.backends.calls.some(({address}) => address === 'engine-2'));
});
