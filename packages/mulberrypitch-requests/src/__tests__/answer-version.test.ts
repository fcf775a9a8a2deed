/** Tests that an answer comes from engines of one software version, on virtual time. */
import t, {type Test} from 'tap';
import {ends} from '@mulberrypitch/control/types';
import {codes} from '@mulberrypitch/errors/catalogue';
import {
	collectAnswer, createDocument, isWhole, type Received,
} from './cluster-calls.js';
import {RequestCluster} from './request-cluster.js';

const holderName = 'host-1';
const tokens = 400;
const noticeMs = 3000;
/** Time in milliseconds after which a request streams. */
const streamingMs = 500;
/** Limit for the end of a request, in milliseconds; its deadline is later. */
const endLimitMs = 30_000;

type Version = string | undefined;

/** Starts engines of the given versions, one document, and waits until its answer streams. The first engine that it uses is the one that began it. */
async function startDocument(t: Test, versions: readonly Version[]) {
	const cluster = new RequestCluster();
	t.teardown(async () => cluster.dispose());
	await cluster.start(4, 0);
	for (const [index, version] of versions.entries()) {
		cluster.startBackend(`engine-${index + 1}`, 'engine', version);
	}

	await cluster.until(() => [...cluster.hosts.values()].every(({control}) => control.backends.length === versions.length + 2));
	const accepted = await cluster.settle(cluster.getHost(holderName).requests.submit(createDocument('report', tokens)));
	const received = collectAnswer(accepted);
	await cluster.clock.runFor(streamingMs);
	const {address} = cluster.backends.calls[0]!;
	return {
		cluster, accepted, received, first: address,
	};
}

/** Returns the software versions of the engines that ran the request, where `engine-1` has the first of the versions. */
function listVersions({backends}: RequestCluster, versions: readonly Version[]): Version[] {
	return [...new Set(backends.calls.map(({address}) => versions[Number(address.split('-')[1]) - 1]))];
}

async function untilEnd(cluster: RequestCluster, received: Received): Promise<void> {
	await cluster.until(() => received.outcome !== undefined, endLimitMs);
}

const rollouts: ReadonlyArray<readonly [Version, Version]> = [['v1', 'v2'], ['v1', undefined]];

for (const [one, other] of rollouts) {
	const versions = [one, other, one, other];

	// Guards against an answer that goes on at another software version after its engine broke off.
	await t.test(`an answer whose engine breaks off goes on at the version that began it (${one} and ${other ?? 'none'})`, async t => {
		const {cluster, received, first} = await startDocument(t, versions);
		cluster.backends.kill(first);
		await untilEnd(cluster, received);
		t.ok(isWhole(received, 'report', tokens));
		t.equal(cluster.backends.calls.length, 2);
		t.equal(listVersions(cluster, versions).length, 1);
	});

	// Guards against the transfer of a KV cache to an engine of another software version.
	await t.test(`an answer whose engine is reclaimed moves to the version that began it (${one} and ${other ?? 'none'})`, async t => {
		const {cluster, received, first} = await startDocument(t, versions);
		void cluster.reclaim(first, noticeMs);
		await untilEnd(cluster, received);
		t.ok(isWhole(received, 'report', tokens));
		t.equal(cluster.backends.calls.length, 2);
		t.equal(listVersions(cluster, versions).length, 1);
	});

	// Guards against a standby that takes an answer over and doesn't know which software version began it.
	await t.test(`an answer whose holder and engine crash goes on at the version that began it (${one} and ${other ?? 'none'})`, async t => {
		const {cluster, accepted, first} = await startDocument(t, versions);
		cluster.kill(holderName);
		cluster.backends.kill(first);
		await cluster.until(() => cluster.state.getRequest(accepted.requestId)!.holder !== holderName);
		const [reader] = cluster.hosts.values();
		const reading = reader!.requests.getRequest(accepted.requestId, 'clinic');
		const received = collectAnswer(await cluster.settle(reading));
		await untilEnd(cluster, received);
		t.ok(isWhole(received, 'report', tokens));
		t.ok(cluster.backends.calls.length >= 2);
		t.equal(listVersions(cluster, versions).length, 1);
	});
}

// Guards against an answer that goes on at another software version since its own has no engine any more, or waits for its deadline.
await t.test('an answer whose version has no engine any more ends at once with a failure that says so', async t => {
	const {cluster, received, first} = await startDocument(t, ['v1', 'v2']);
	void cluster.reclaim(first, noticeMs);
	await untilEnd(cluster, received);
	t.equal(cluster.backends.calls.length, 1);
	t.match(received.outcome, {end: ends.failed, code: codes.versionGone});
});

// Guards against an engine of another version that is ruled out although no token of the answer was written.
await t.test('a request without a token yet goes on at any version', async t => {
	const cluster = new RequestCluster();
	t.teardown(async () => cluster.dispose());
	await cluster.start(4, 0);
	cluster.startBackend('engine-1', 'engine', 'v1');
	await cluster.until(() => cluster.getHost(holderName).control.backends.length === 3);
	cluster.backends.kill('engine-1');
	const accepting = cluster.getHost(holderName).requests.submit(createDocument('report', tokens));
	const received = collectAnswer(await cluster.settle(accepting));
	cluster.startBackend('engine-2', 'engine', 'v2');
	await untilEnd(cluster, received);
	t.ok(isWhole(received, 'report', tokens));
});
