/** Tests when a stream whose beginning nobody names may go on: only if its service has had a single version for long enough. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {BackendRoster, type RosterChanges} from '@mulberrypitch/serving/backend-roster';
import {requestKinds, type Route} from '@mulberrypitch/serving/types';
import {BackendView} from '../backend-view.js';
import type {KnownBackendOptions} from '../known-backend.js';
import {StreamOrigins} from '../stream-origins.js';
import {StreamResumption} from '../stream-resumption.js';
import {VersionHistory} from '../version-history.js';

function ignore(): void {
	// The test exchanges origins by itself.
}

const service = 's';
const timeoutMs = 15_000;
const leftMs = 3000;
const pollMs = 1000;
/** Time in milliseconds in which a coordinator replies to a hurried poll. */
const replyMs = 100;
const route = assumeType<Route>({
	kind: requestKinds.streaming, isResumable: true, timeoutMs, targets: [{service, weight: 1}],
});

type Listing = {
	readonly id: string;
	readonly version: string;
	readonly isGone?: boolean;
};

/** Creates an entry's knowledge of back ends, which it learns from a coordinator that started when the clock did. */
function createEntry() {
	const clock = new VirtualClock();
	const state = {viewAgeMs: 0, startedAt: 0};
	const backends = new BackendView(clock, () => assumeType<KnownBackendOptions>({clock}));
	const versions = new VersionHistory(clock);
	const apply = (...listings: readonly Listing[]) => {
		const roster: RosterChanges = {
			epoch: String(state.startedAt), version: 1, isWhole: false, isSettled: true, ageMs: clock.now() - state.startedAt,
			entries: listings.map(({id, version, isGone = false}) => assumeType<RosterChanges['entries'][number]>({
				backend: {
					id, version, service, startedAt: 1, isLeaving: false,
				}, isGone, ageMs: 0,
			})),
		};
		backends.apply(roster);
		versions.apply(roster);
	};

	const origins = new StreamOrigins(clock, ignore);
	const resumption = new StreamResumption({
		origins, clock, backends, versions, metrics: new MetricsRegistry(), rollouts: {isClosed: () => false}, getViewAgeMs: () => state.viewAgeMs,
	});
	const runFor = async (durationMs: number) => {
		for (let passedMs = 0; passedMs < durationMs; passedMs += pollMs) {
			await clock.runFor(pollMs);
			apply();
		}
	};

	const resume = async (attemptId?: string) => {
		const resolving = resumption.resolve({lastEventId: '3', ...(attemptId !== undefined && {attemptId})}, route, leftMs);
		await clock.runFor(replyMs);
		origins.createReport();
		origins.apply({epoch: String(state.startedAt), position: 0, groups: []}, state.viewAgeMs === 0);
		await clock.runFor(pollMs - replyMs);
		const {kind} = await resolving;
		return kind;
	};

	return {
		clock, state, apply, runFor, resume,
	};
}

// Guards against streams that are refused though their service has had a single version all along.
await t.test('a stream goes on without a named origin while its service has only one version', async t => {
	const {apply, runFor, resume} = createEntry();
	apply({id: 'a', version: 'v1'}, {id: 'b', version: 'v1'});
	await runFor(timeoutMs);
	t.equal(await resume(), 'allowed');
	t.equal(await resume('unknown'), 'allowed');
});

// Guards against a guess beside a release: a stream may have begun at a version that left a moment ago.
await t.test('a stream without a named origin is refused while its service has or lately had another version', async t => {
	const {apply, runFor, resume} = createEntry();
	apply({id: 'a', version: 'v1'});
	await runFor(timeoutMs);
	apply({id: 'b', version: 'v2'});
	t.equal(await resume(), 'refused');
	apply({id: 'a', version: 'v1', isGone: true});
	await runFor(timeoutMs / 2);
	t.equal(await resume(), 'refused', 'v1 has left, a stream of it may come');
	await runFor(timeoutMs);
	t.equal(await resume(), 'allowed', 'no stream of v1 lasts that long');
});

// Guards against conclusions from what an entry or its coordinator has not seen.
await t.test('a stream without a named origin is refused by an entry that can not know the versions of the last seconds', async t => {
	const {clock, state, apply, runFor, resume} = createEntry();
	apply({id: 'a', version: 'v1'});
	t.equal(await resume(), 'refused', 'the coordinator has just started');
	await runFor(timeoutMs);
	state.viewAgeMs = 2000;
	t.equal(await resume(), 'refused', 'the entry is out of touch');
	state.viewAgeMs = 0;
	state.startedAt = clock.now() + timeoutMs;
	await clock.runFor(timeoutMs);
	apply({id: 'a', version: 'v1'});
	t.equal(await resume(), 'refused', 'the entry was out of touch, and its coordinator has just started');
});

// Guards against an entry that starts after a back end has come back under its identifier with another version: nobody tells it of the one before.
await t.test('a stream without a named origin is refused by a new entry while a back end lately had another version under the same identifier', async t => {
	const clock = new VirtualClock();
	const roster = new BackendRoster({epoch: 'e', clock, announceIntervalMs: pollMs});
	const announce = (startedAt: number, version: string) => {
		roster.announce({
			id: 'a', startedAt, sequence: 1, service, address: '10.0.0.1:80', zone: 'z', version, slots: 4, isLeaving: false, isSpot: false,
		});
	};

	const getSoleOfNewEntry = () => {
		const versions = new VersionHistory(clock);
		versions.apply(roster.getChanges('', 0));
		return versions.getSole(service, timeoutMs);
	};

	announce(100, 'v1');
	await clock.runFor(2 * timeoutMs);
	t.equal(getSoleOfNewEntry(), 'v1');
	announce(200, 'v2');
	await clock.runFor(pollMs);
	t.equal(getSoleOfNewEntry(), undefined, 'a stream of v1 may come');
	await clock.runFor(2 * timeoutMs);
	announce(300, 'v2');
	t.equal(getSoleOfNewEntry(), 'v2', 'no stream of v1 lasts that long');
});
