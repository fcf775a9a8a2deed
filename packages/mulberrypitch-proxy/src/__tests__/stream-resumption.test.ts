/** Tests where a stream that a caller takes up again may go on. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {requestKinds, type AnnouncedBackend, type Route} from '@mulberrypitch/serving/types';
import {BackendView} from '../backend-view.js';
import type {KnownBackendOptions} from '../known-backend.js';
import {StreamBinding} from '../stream-binding.js';
import {StreamOrigins} from '../stream-origins.js';
import {StreamResumption} from '../stream-resumption.js';
import {VersionHistory} from '../version-history.js';

function ignore(): void {
	// The test exchanges origins by itself.
}

const route = assumeType<Route>({
	kind: requestKinds.streaming, isResumable: true, timeoutMs: 15_000, targets: [{service: 's', weight: 1}, {service: 'former', weight: 0}],
});
const leftMs = 3000;
const position = {lastEventId: '3', attemptId: 'a-1'};

function createResumption(versions: ReadonlyArray<string | undefined>, closedVersion?: string) {
	const clock = new VirtualClock();
	const backends = new BackendView(clock, () => assumeType<KnownBackendOptions>({clock}));
	const entries = versions.map((version, index) => ({
		backend: assumeType<AnnouncedBackend>({
			id: `i-${index}`, service: 's', startedAt: 1, ...(version !== undefined && {version}),
		}),
		isGone: false,
		ageMs: 0,
	}));
	backends.apply({
		epoch: 'e', version: 1, isWhole: true, isSettled: true, entries,
	});
	const origins = new StreamOrigins(clock, ignore);
	const resumption = new StreamResumption({
		origins, clock, backends, versions: new VersionHistory(clock), metrics: new MetricsRegistry(), rollouts: {isClosed: ({version}) => version === closedVersion}, getViewAgeMs: () => 0,
	});
	return {
		clock, backends, origins, resumption,
	};
}

// Guards against a stream that goes on at another service, or at one that the route no longer leads to.
await t.test('a stream goes on at the service that began it while the route leads there', async t => {
	const {origins, resumption} = createResumption(['v1']);
	origins.record('a-1', {service: 's', version: 'v1'});
	origins.record('a-2', {service: 'former', version: 'v1'});
	origins.record('a-3', {service: 'other', version: 'v1'});
	t.match(await resumption.resolve(position, route, leftMs), {kind: 'allowed', origin: {service: 's', version: 'v1'}});
	for (const attemptId of ['a-2', 'a-3']) {
		t.match(await resumption.resolve({lastEventId: '3', attemptId}, route, leftMs), {kind: 'refused', reply: {status: 503, inputs: {resumes: attemptId}}});
	}
});

// Guards against a stream that takes quota and waits for back ends of a version which a roll-out has closed, since some still serve.
await t.test('a stream whose version was rolled back or replaced is refused at once', async t => {
	const {clock, origins, resumption} = createResumption(['v1', 'v2'], 'v2');
	origins.record('a-1', {service: 's', version: 'v2'});
	origins.record('a-2', {service: 's', version: 'v1'});
	t.match(await resumption.resolve(position, route, leftMs), {kind: 'refused', reply: {status: 503, inputs: {version: 'v2'}}});
	t.match(await resumption.resolve({...position, attemptId: 'a-2'}, route, leftMs), {kind: 'allowed'});
	t.equal(clock.now(), 0);
});

// Guards against requests that begin a stream, or are none, being kept waiting or refused.
await t.test('only streams that go on need an origin', async t => {
	const {resumption} = createResumption(['v1']);
	t.match(await resumption.resolve(undefined, route, leftMs), {kind: 'allowed', origin: undefined});
	t.match(await resumption.resolve(position, {...route, kind: requestKinds.idempotent}, leftMs), {kind: 'allowed', origin: undefined});
});

// Guards against a stream whose version is unknown going on at a back end whose version is unknown as well.
await t.test('a stream that began at a back end of an unknown version goes on nowhere', async t => {
	const {clock, backends, resumption} = createResumption([undefined, 'v1']);
	const binding = new StreamBinding();
	const all = backends.getCandidates('s', () => true);
	t.equal(all.filter(backend => binding.isMatching(backend)).length, 2);
	binding.recordSend(all[0]!);
	binding.bind();
	t.equal(all.filter(backend => binding.isMatching(backend)).length, 0);
	resumption.recordBegun({
		attemptId: 'a-1', route, position: undefined, service: 's', version: binding.version,
	});
	const resolving = resumption.resolve(position, route, leftMs);
	await clock.runFor(1000);
	t.match(await resolving, {kind: 'refused', reply: {reason: 'origin of the stream unknown'}});
});

// Guards against a stream that is refused, or goes on elsewhere, since the back ends of its version were all ejected.
await t.test('ejected back ends of its version are used rather than none', t => {
	const {backends} = createResumption(['v1', 'v2']);
	const binding = new StreamBinding('v1');
	backends.getCandidates('s', () => true)[0]!.eject();
	t.same(backends.getCandidates('s', backend => binding.isMatching(backend)).map(({id}) => id), ['i-0']);
	t.end();
});

const begun = [{service: 's', version: 'v1', attemptIds: ['a-1']}];

// Guards against origins that a coordinator got, but lost before it could pass them on.
await t.test('what a coordinator may not have is reported again, and all of it to another one', async t => {
	const {clock, origins} = createResumption([]);
	origins.record('a-1', {service: 's', version: 'v1'});
	await clock.runFor(5000);
	t.same(origins.createReport().begun, begun);
	origins.apply({epoch: 'c-1', position: 1, groups: []}, false);
	t.same(origins.createReport(), {known: [{epoch: 'c-1', position: 1}], begun});
	origins.apply({epoch: 'c-1', position: 1, groups: []}, true);
	t.same(origins.createReport().begun, []);
	origins.apply({epoch: 'c-2', position: 0, groups: []}, true);
	t.same(origins.createReport().begun, begun);
});

// Guards against entries that exchange all origins with every coordinator again and again while there is no leader.
await t.test('an entry that changes between coordinators exchanges only what is new with each', async t => {
	const {clock, origins} = createResumption([]);
	origins.record('a-1', {service: 's', version: 'v1'});
	await clock.runFor(5000);
	const epochs = ['c-1', 'c-1', 'c-2', 'c-2', 'c-1', 'c-2', 'c-1'];
	const reports = epochs.map((epoch, index) => {
		const report = origins.createReport();
		origins.apply({epoch, position: index, groups: []}, true);
		return report;
	});
	t.same(reports.map(report => report.begun), [begun, begun, [], begun, [], [], []]);
	t.same(origins.createReport().known, [{epoch: 'c-2', position: 5}, {epoch: 'c-1', position: 6}]);
});

// Guards against a report of all origins at once, and against a coordinator that is told only a part because another one replied in between.
await t.test('a coordinator that may have just started is told all origins in parts, also if another one gets a part', t => {
	const {origins} = createResumption([]);
	const attemptIds = Array.from({length: 3000}, (_, index) => String(index).padStart(16, '0'));
	origins.createReport();
	origins.apply({epoch: 'c-1', position: 3000, groups: [{service: 's', version: 'v1', attemptIds}]}, true);
	const told = new Map<string, Set<string>>();
	for (const epoch of ['c-2', 'c-3', 'c-2', 'c-2', 'c-3', 'c-2', 'c-2', 'c-2', 'c-3', 'c-3', 'c-3', 'c-3']) {
		const reported = origins.createReport().begun.flatMap(group => group.attemptIds);
		t.ok(reported.length <= 1025, `${reported.length} origins in a report`);
		told.set(epoch, new Set([...(told.get(epoch) ?? []), ...reported]));
		origins.apply({epoch, position: 0, groups: []}, true);
	}

	t.equal(told.get('c-2')?.size, 3000);
	t.equal(told.get('c-3')?.size, 3000);
	t.same(origins.createReport().begun, []);
	t.end();
});
