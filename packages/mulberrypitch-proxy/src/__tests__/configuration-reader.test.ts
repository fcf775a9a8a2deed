/** Tests that an entry reads configurations in parts through failures of coordinators and while newer versions appear. */
import {Buffer} from 'node:buffer';
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {NotFoundError, PeerUnreachableError} from '@mulberrypitch/errors/catalogue';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {createDelta, createWholeDelta, type DigestedConfiguration} from '@mulberrypitch/serving/configuration-delta';
import {encodeDelta, getDigest} from '@mulberrypitch/serving/configuration-encoding';
import type {ConfigurationPart, ConfigurationPartRequest} from '@mulberrypitch/serving/configuration-messages';
import type {Route, ServingConfiguration} from '@mulberrypitch/serving/types';
import type {Transport} from '@mulberrypitch/transport/types';
import {ConfigurationReader} from '../configuration-reader.js';

const partBytes = 4096;
const partMs = 20;
const stepMs = 5;
/** Names that hardly compress, so that a configuration takes many parts. */
const names = Array.from({length: 60}, (_, index) => Array.from({length: 32}, (_, count) => getDigest(`${index} ${count}`)).join(''));

function createHeld(version: number): DigestedConfiguration {
	const routes = names.map((name, index) => assumeType<Route>({
		name, host: 'h', pathPrefix: `/${index}/`, timeoutMs: index === 0 ? version : 0,
	}));
	const configuration = assumeType<ServingConfiguration>({
		version, routes, services: [], limits: {},
	});
	return {configuration, digest: getDigest(JSON.stringify(configuration))};
}

function createSmallHeld(version: number): DigestedConfiguration {
	const configuration = assumeType<ServingConfiguration>({
		version, routes: [], services: [], limits: {},
	});
	return {configuration, digest: getDigest(JSON.stringify(configuration))};
}

type Call = ConfigurationPartRequest & {readonly address: string};

function start(t: Test) {
	const clock = new VirtualClock();
	const calls: Call[] = [];
	const inForce: ServingConfiguration[] = [];
	const state = {
		coordinator: 'a', fail: (_call: Call): Error | undefined => undefined, alter: (part: ConfigurationPart) => part,
	};
	const getPart = ({version, baseVersion, offset}: ConfigurationPartRequest): ConfigurationPart => {
		const delta = (baseVersion === 0 ? undefined : createDelta(createHeld(baseVersion), createHeld(version))) ?? createWholeDelta(createHeld(version));
		const bytes = Buffer.from(encodeDelta(delta));
		return state.alter({
			version, baseVersion: delta.header.baseVersion, totalBytes: bytes.length, digest: getDigest(bytes), offset, data: bytes.subarray(offset, offset + partBytes).toString('base64'),
		});
	};

	const reader = new ConfigurationReader({
		transport: assumeType<Transport>({
			async call(address: string, _method: string, request: ConfigurationPartRequest) {
				const call = {...request, address};
				calls.push(call);
				await clock.sleep(partMs);
				const failure = state.fail(call);
				if (failure !== undefined) {
					throw failure;
				}

				return getPart(request);
			},
		}),
		clock,
		logger: new SilentLogger(),
		metrics: new MetricsRegistry(),
		getCoordinator: () => state.coordinator,
		getConfiguration: () => inForce.at(-1),
		onConfiguration(configuration) {
			inForce.push(configuration);
		},
		onTransferred() {
			// These tests send no polls.
		},
	});
	/** Advances time in short steps, between which the reader decodes what has arrived. */
	const run = async (durationMs: number) => {
		for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
			await clock.runFor(stepMs);
		}
	};

	reader.start();
	t.teardown(async () => {
		const disposed = reader.dispose();
		await run(2000);
		await disposed;
	});
	const offer = (version: number) => {
		reader.createPollFields();
		reader.offer(getPart({version, baseVersion: inForce.at(-1)?.version ?? 0, offset: 0}));
	};

	/** Offers a whole configuration in a single part. */
	const offerWhole = (version: number) => {
		const bytes = Buffer.from(encodeDelta(createWholeDelta(createSmallHeld(version))));
		reader.createPollFields();
		reader.offer(state.alter({
			version, baseVersion: 0, totalBytes: bytes.length, digest: getDigest(bytes), offset: 0, data: bytes.toString('base64'),
		}));
	};

	const getVersions = () => inForce.map(({version}) => version);
	return {
		run, calls, inForce, state, reader, offer, offerWhole, getVersions,
	};
}

// Guards against a transfer that begins again when its coordinator is lost, so that a large configuration never arrives.
await t.test('a transfer goes on at the same byte at another coordinator', async t => {
	const {run, calls, state, offer, getVersions, inForce} = start(t);
	state.fail = ({address}) => address === 'lost' ? new PeerUnreachableError(address) : undefined;
	offer(1);
	await run(5 * partMs);
	state.coordinator = 'lost';
	await run(500);
	state.coordinator = 'b';
	await run(1000);
	t.strictSame(getVersions(), [1]);
	t.strictSame(inForce[0], createHeld(1).configuration);
	const taken = calls.filter(({address}) => address !== 'lost').map(({offset}) => offset);
	t.equal(new Set(taken).size, taken.length, 'no part was read twice');
});

// Guards against an entry that puts no version in force while a newer one appears before each transfer ends.
await t.test('an entry makes progress while versions come faster than transfers', async t => {
	const {run, offer, getVersions} = start(t);
	for (let version = 1; version <= 20; version += 1) {
		offer(version);
		await run(5 * partMs);
	}

	await run(1000);
	t.ok(getVersions().length > 2, `in force: ${getVersions().join(' ')}`);
	t.equal(getVersions().at(-1), 20);
	t.strictSame(getVersions(), getVersions().toSorted((left, right) => left - right), 'versions never go back');
});

// Guards against changes that are applied to another configuration than the one that they were made for, for example after all coordinators were replaced.
await t.test('changes on a base of other content are refused, and the configuration is read as a whole', async t => {
	const {run, calls, state, offer, inForce, getVersions} = start(t);
	offer(1);
	await run(2000);
	calls.length = 0;
	const changes = createDelta(createHeld(1), createHeld(2))!;
	const bytes = Buffer.from(encodeDelta({...changes, header: {...changes.header, baseDigest: 'other'}}));
	const altered = {totalBytes: bytes.length, digest: getDigest(bytes), data: bytes.toString('base64')};
	state.alter = part => ({...part, ...(part.baseVersion !== 0 && altered)});
	offer(2);
	t.strictSame(getVersions(), [1]);
	await run(2000);
	t.strictSame(inForce.at(-1), createHeld(2).configuration);
	t.ok(calls.length > 0 && calls.every(({baseVersion}) => baseVersion === 0));
});

// Guards against a configuration with parts that were damaged on the way.
await t.test('a configuration with a wrong digest is not put in force, and polls may offer it again', async t => {
	const {run, state, reader, offer, getVersions} = start(t);
	state.alter = part => ({...part, digest: 'wrong'});
	offer(1);
	await run(3000);
	t.strictSame(getVersions(), []);
	t.equal(reader.createPollFields().readingVersion, undefined);
	state.alter = part => part;
	offer(1);
	await run(3000);
	t.strictSame(getVersions(), [1]);
});

// Guards against polls that follow each other at the rate of the round trip, since each reply brings the same configuration again.
await t.test('a configuration of one part that can\'t be used is asked for again after a second only, and a newer one at once', async t => {
	const {run, state, reader, offerWhole, getVersions} = start(t);
	const alter = (part: ConfigurationPart) => ({...part, digest: 'wrong'});
	state.alter = alter;
	offerWhole(1);
	t.equal(reader.createPollFields().readingVersion, 1, 'the coordinator keeps the poll waiting');
	state.alter = part => part;
	await run(900);
	offerWhole(1);
	t.strictSame(getVersions(), [], 'the offer is ignored');
	t.equal(reader.createPollFields().readingVersion, 1);
	await run(200);
	t.equal(reader.createPollFields().readingVersion, undefined);
	offerWhole(1);
	t.strictSame(getVersions(), [1]);
	state.alter = alter;
	offerWhole(2);
	state.alter = part => part;
	offerWhole(3);
	t.strictSame(getVersions(), [1, 3]);
});

// Guards against an entry that waits for parts from a coordinator that has none, since it is of the version before or has lost its disk.
await t.test('a transfer that a coordinator refuses is dropped, so that a poll brings the configuration again', async t => {
	const {run, state, reader, offer} = start(t);
	state.fail = () => new NotFoundError('No such version.', 'Poll again.');
	offer(1);
	t.equal(reader.createPollFields().readingVersion, 1);
	await run(1000);
	t.equal(reader.createPollFields().readingVersion, undefined);
});
