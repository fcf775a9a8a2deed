/** Tests that an entry that has just started takes no older configuration from a coordinator that has just started too, or is cut off. */
import t from 'tap';
import {configurationMethod, type ConfigurationPart, type ConfigurationPartRequest} from '@mulberrypitch/serving/configuration-messages';
import {methods, type ViewReply, type ViewRequest} from '@mulberrypitch/serving/view-messages';
import {CoordinatorGroup} from './coordinator-group.js';

const names = ['a', 'b', 'c'];
/** Delay of each message in milliseconds, so that a coordinator takes some time to catch up. */
const delayMs = 5;
/** Time in milliseconds for which the coordinators are observed after a start. */
const observedMs = 1500;
const stepMs = 5;
const watchTimeoutMs = 400;
/** Number of versions after which the coordinators have made a snapshot of an older one. */
const snapshotVersions = 300;

function createRequest(upMs: number, readsParts: boolean): ViewRequest {
	return {
		status: {
			name: 'front',
			incarnation: 'x',
			upMs,
			address: '10.0.0.9:80',
			zone: 'z',
			isReady: false,
			loads: {},
			pressure: {},
			spent: {},
			usage: [],
			crashes: {charges: [], answered: [], quarantined: []},
		},
		configurationVersion: 0,
		rosterEpoch: '',
		rosterVersion: 0,
		readsParts,
	};
}

/** Asks coordinators at each step, as an entry of the version before and one that reads parts do if they start at that moment. Returns the versions that they give. */
async function collectVersions(group: CoordinatorGroup, asked: readonly string[]): Promise<readonly number[]> {
	const transport = group.network.join('front');
	const versions: number[] = [];
	const ask = async (name: string, readsParts: boolean) => {
		try {
			const reply = await transport.call<ViewReply>(name, methods.watch, createRequest(0, readsParts), {timeoutMs: watchTimeoutMs});
			const {version} = reply.configuration ?? reply.configurationPart ?? {};
			if (version !== undefined) {
				versions.push(version);
			}
		} catch {
			// The coordinator does not answer yet.
		}
	};

	for (let elapsedMs = 0; elapsedMs < observedMs; elapsedMs += stepMs) {
		for (const name of asked) {
			void ask(name, false);
			void ask(name, true);
		}

		await group.clock.runFor(stepMs);
	}

	return versions;
}

async function startGroup(lastVersion: number): Promise<CoordinatorGroup> {
	const group = new CoordinatorGroup();
	await group.startAll();
	for (let version = 1; version <= lastVersion; version += 1) {
		await group.put(version, names);
	}

	group.network.setPolicy(() => ({isLost: false, delayMs}));
	return group;
}

// Guards against a withdrawn key that is in use again after a coordinator and an entry have started.
await t.test('a coordinator that missed a version gives entries none before it has caught up', async t => {
	const group = await startGroup(snapshotVersions);
	group.kill('c');
	t.ok(await group.put(snapshotVersions + 1, ['a', 'b']));
	await group.start('c');
	const versions = await collectVersions(group, ['c']);
	t.strictSame([...new Set(versions)], [snapshotVersions + 1]);
	await group.dispose();
});

// Guards against a withdrawn key that is in use again after all coordinators and an entry have started.
await t.test('coordinators that restart from an older snapshot give entries no version before they know the newest one', async t => {
	const group = await startGroup(snapshotVersions);
	for (const name of names) {
		group.kill(name);
	}

	await Promise.all(names.map(async name => group.start(name)));
	const versions = await collectVersions(group, names);
	t.strictSame([...new Set(versions)], [snapshotVersions]);
	await group.dispose();
});

// Guards against a withdrawn key that is in use again after the disk of a coordinator was erased.
await t.test('a coordinator that lost its disk gives entries no older version while it catches up', async t => {
	const group = await startGroup(snapshotVersions);
	group.kill('c');
	group.eraseDisk('c');
	await group.start('c');
	const versions = await collectVersions(group, ['c']);
	t.strictSame([...new Set(versions)], [snapshotVersions]);
	await group.dispose();
});

// Guards against a withdrawn key that is in use again when an entry starts and first asks a coordinator that is cut off.
await t.test('a coordinator that is cut off gives an entry that has just started no version', async t => {
	const group = await startGroup(1);
	group.network.setPolicy((from, to) => ({isLost: (from === 'c' || to === 'c') && from !== 'front' && to !== 'front', delayMs}));
	t.ok(await group.put(2, ['a', 'b']));
	t.strictSame(await collectVersions(group, ['c']), []);
	const transport = group.network.join('front');
	const call = async (name: string, request: ConfigurationPartRequest) => {
		const part = transport.call<ConfigurationPart>(name, configurationMethod, request, {timeoutMs: watchTimeoutMs});
		await group.settle(part);
		return part;
	};

	const reply = await group.settle(transport.call<ViewReply>('c', methods.watch, createRequest(60_000, false), {timeoutMs: watchTimeoutMs}));
	t.equal(reply?.value.configuration?.version, 1);
	// An entry that began to read version 2 elsewhere gets no other version here.
	const request: ConfigurationPartRequest = {version: 2, baseVersion: 0, offset: 0};
	await t.rejects(call('c', request), {code: 'not_found'});
	const part = await call('a', request);
	t.equal(part.version, 2);
	await group.dispose();
});
