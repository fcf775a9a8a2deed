/** Tests which versions a request may be sent to while the service's software is rolled out. */
import t from 'tap';
import {StreamBinding} from '../stream-binding.js';
import {createCandidate, VersionedEntry} from './versioned-requests.js';

const maxViewAgeMs = 1500;
const full = {load: 4};

// Guards against a roll-out's rules reaching services that have none.
await t.test('without a roll-out a request may be sent to every version, and draws no random number', async t => {
	const entry = new VersionedEntry();
	const before = entry.random.next();
	const request = entry.request();
	t.same(entry.getVersions(request), ['v1', 'v2']);
	t.equal(entry.fail(request), 'v1');
	t.same(entry.getVersions(request), ['v1', 'v2']);
	await entry.clock.runFor(60_000);
	t.same(entry.getVersions(request), ['v1', 'v2']);
	t.ok(request.canSend(createCandidate('v2')));
	entry.apply({service: 'another', state: 'rolledBack'});
	t.same(entry.getVersions(entry.request()), ['v1', 'v2']);
	t.not(before, entry.random.next());
	t.equal(new VersionedEntry().random.next(), before);
});

// Guards against a target that gets more or less than its share, by which its exposure is bounded.
await t.test('the target gets its share of the requests', t => {
	const entry = new VersionedEntry();
	for (const [revision, share] of [0, 0.02, 0.1, 0.5, 1].entries()) {
		entry.apply({share, revision});
		const observed = entry.getShare();
		t.ok(Math.abs(observed - share) < 0.02, `${observed} of ${share}`);
	}

	entry.apply({share: 0.3, revision: 9});
	const nameless = Array.from({length: 2000}, () => entry.getVersions(entry.request())).filter(([version]) => version === 'v2').length / 2000;
	t.ok(Math.abs(nameless - 0.3) < 0.04, `${nameless} of the requests without an identifier`);
	t.end();
});

// Guards against a request that comes to both versions, by a repeat at another entry or after a restart.
await t.test('every entry assigns a request alike, and a larger share keeps what the smaller one assigned', t => {
	const [entry, another] = [new VersionedEntry(), new VersionedEntry()];
	const ids = Array.from({length: 500}, (_, index) => `a-${index}`);
	const assign = ({conduct}: VersionedEntry, from: VersionedEntry) => ids.filter(id => from.getVersions(from.request(id))[0] === 'v2' && conduct !== undefined);
	entry.apply({share: 0.2});
	another.apply({share: 0.2});
	const assigned = assign(entry, entry);
	t.same(assign(another, another), assigned);
	another.apply({share: 0.4, revision: 2});
	const more = assign(another, another);
	t.ok(more.length > assigned.length && assigned.every(id => more.includes(id)));
	const waiting = entry.request(ids.find(id => more.includes(id) && !assigned.includes(id)));
	t.same(entry.getVersions(waiting), ['v1']);
	entry.apply({share: 0.99, revision: 3});
	t.same(entry.getVersions(waiting), ['v1'], 'a request is assigned once');
	t.end();
});

// Guards against a request that a sound version got and the new one then spoils, and against exposure beyond the share.
await t.test('retries go to the other versions and never to the target', t => {
	const entry = new VersionedEntry();
	entry.apply({share: 0.5});
	for (let index = 0; index < 200; index += 1) {
		const request = entry.request(`a-${index}`);
		entry.fail(request);
		t.same(entry.getVersions(request), ['v1']);
	}

	entry.serving = [createCandidate('v2')];
	entry.apply({share: 0, revision: 2});
	const request = entry.request('a-0');
	t.same(entry.getVersions(request), ['v2'], 'a first send, as no other version serves');
	entry.serving = [createCandidate('v1')];
	t.equal(entry.fail(request), 'v1');
	entry.serving = [createCandidate('v2')];
	t.same(entry.getVersions(request), [], 'a retry');
	t.end();
});

// Guards against a request that ran before the roll-out was known and whose retry the target gets.
await t.test('a request that was sent before the order stays away from the target', t => {
	const entry = new VersionedEntry();
	const request = entry.request('a-1');
	entry.fail(request);
	entry.apply({share: 0.99});
	t.same(entry.getVersions(request), ['v1']);
	t.end();
});

// Guards against requests that reach an old back end after the entry has reported that none is left there, so that it may be stopped at any time.
await t.test('at the whole share every request that is bound to no version goes to the target', t => {
	const entry = new VersionedEntry();
	entry.apply({share: 0});
	const [waiting, sentBefore, retried] = [entry.request('a-1'), entry.request('a-2'), entry.request('a-3')];
	t.same(entry.getVersions(waiting), ['v1']);
	t.equal(entry.fail(sentBefore), 'v1');
	entry.apply({share: 0.99, revision: 2});
	t.equal(entry.fail(retried), 'v2');
	for (const request of [waiting, sentBefore, retried]) {
		t.same(entry.getVersions(request), ['v1']);
	}

	entry.apply({share: 1, revision: 3});
	for (const request of [waiting, sentBefore, retried]) {
		t.same(entry.getVersions(request), ['v2']);
	}

	entry.serving = [createCandidate('v1'), createCandidate('v2', {isEjected: true})];
	t.same(entry.getVersions(waiting), ['v1'], 'the others while the target has no sound back end');
	t.end();
});

// Guards against callers that get no answer since the target has no back end, or too few.
await t.test('the other versions get what the target can not take', t => {
	const entry = new VersionedEntry();
	entry.apply({share: 0.99});
	const first = entry.request('a-1');
	t.same(entry.getVersions(first), ['v2']);
	for (const target of [[], [createCandidate('v2', {isEjected: true})], [createCandidate('v2', full)], [createCandidate('v2', {isAvailable: false})]]) {
		entry.serving = [createCandidate('v1'), ...target];
		t.same(entry.getVersions(entry.request('a-1')), ['v1']);
	}

	entry.serving = [createCandidate('v1', full), createCandidate('v2', full)];
	t.same(entry.getVersions(entry.request('a-1')), ['v2'], 'when all are full, it waits for its own side');
	entry.serving = [createCandidate('v1'), createCandidate('v2', full)];
	entry.apply({share: 1, revision: 2});
	t.same(entry.getVersions(entry.request('a-1')), ['v2'], 'at the whole share the other back ends are to be emptied');
	t.end();
});

// Guards against a stream joined from two versions, and against one that is cut although its version still serves.
await t.test('streams stay with the version that began them, whatever the share', t => {
	const entry = new VersionedEntry();
	for (const [revision, share] of [0, 0.5, 1].entries()) {
		entry.apply({share, revision});
		for (const version of ['v1', 'v2']) {
			t.same(entry.getVersions(entry.request('a-1', new StreamBinding(version))), [version]);
			const binding = new StreamBinding();
			const begun = entry.request('a-2', binding);
			begun.recordSend(createCandidate(version));
			binding.bind();
			begun.recordEnd({kind: 'cut', reason: 'reset'});
			t.same(entry.getVersions(begun), [version]);
			t.notOk(begun.isOver);
		}
	}

	t.end();
});

// Guards against any request that reaches a version after its roll-back.
await t.test('a roll-back ends the target for first sends, retries and streams', async t => {
	const entry = new VersionedEntry();
	entry.apply({share: 1});
	const retried = entry.request('a-1');
	t.equal(entry.fail(retried), 'v2');
	const chosen = entry.request('a-2');
	t.same(entry.getVersions(chosen), ['v2']);
	entry.apply({state: 'rolledBack', share: 0, revision: 2});
	t.notOk(chosen.canSend(createCandidate('v2')), 'not even by a request whose connection was being opened');
	t.equal(entry.getShare(200), 0);
	t.same(entry.getVersions(chosen), ['v1']);
	t.same(entry.getVersions(retried), ['v1']);
	const stream = entry.request('a-3', new StreamBinding('v2'));
	t.same(entry.getVersions(stream), []);
	t.ok(stream.isOver);
	t.ok(entry.conduct.isClosed({service: 's', version: 'v2'}));
	entry.serving = [createCandidate('v2')];
	t.same(entry.getVersions(entry.request('a-4')), [], 'rather none than a version that was rolled back');
	await entry.clock.runFor(60_000);
	t.same(entry.getVersions(entry.request('a-4')), []);
	entry.serving = [createCandidate('v1'), createCandidate('v2'), createCandidate('v3')];
	entry.apply({id: 8, target: 'v3', share: 0});
	t.same(entry.getVersions(entry.request('a-5')), ['v1'], 'a roll-out to another version does not bring it back');
	entry.apply({id: 9, share: 1});
	t.same(entry.getVersions(entry.request('a-6')), ['v2'], 'a new roll-out does');
});

// Guards against an entry that has just started and takes a version that was rolled back before for one of the others.
await t.test('versions that earlier roll-outs rolled back get nothing from an entry that has just started', t => {
	const entry = new VersionedEntry();
	entry.serving = [createCandidate('v1'), createCandidate('v2'), createCandidate('v3')];
	entry.apply({
		id: 8, target: 'v3', share: 0, withdrawn: ['v2'],
	});
	t.same(entry.getVersions(entry.request('a-1')), ['v1']);
	t.ok(entry.conduct.isClosed({service: 's', version: 'v2'}));
	entry.apply({id: 9, share: 1, withdrawn: ['v3']});
	t.same(entry.getVersions(entry.request('a-2')), ['v2'], 'a new roll-out to it opens it');
	t.ok(entry.conduct.isClosed({service: 's', version: 'v3'}));
	t.end();
});

// Guards against requests at back ends that the platform stops without draining.
await t.test('after completion only the target is used, while a back end of it is known', t => {
	const entry = new VersionedEntry();
	entry.apply({share: 1});
	const retried = entry.request('a-1');
	entry.fail(retried);
	entry.apply({state: 'completed', share: 1, revision: 2});
	t.equal(entry.getShare(200), 1);
	t.same(entry.getVersions(retried), ['v2']);
	t.notOk(retried.canSend(createCandidate('v1')));
	t.ok(entry.request('a-2', new StreamBinding('v1')).isOver);
	t.same(entry.getVersions(entry.request('a-2', new StreamBinding('v1'))), []);
	entry.serving = [createCandidate('v1')];
	t.same(entry.getVersions(entry.request('a-3')), ['v1']);
	t.ok(retried.canSend(createCandidate('v1')));
	t.end();
});

// Guards against an entry that goes on sending to a version which was rolled back while it was cut off.
await t.test('with an old view nothing goes to the target, unless it has the whole share', async t => {
	const entry = new VersionedEntry();
	entry.apply({share: 0.5});
	const waiting = Array.from({length: 20}, (_, index) => entry.request(`a-${index}`)).find(request => entry.getVersions(request)[0] === 'v2')!;
	await entry.clock.runFor(maxViewAgeMs);
	t.ok(entry.getShare(200) > 0.3);
	await entry.clock.runFor(1);
	t.equal(entry.getShare(200), 0);
	t.same(entry.getVersions(waiting), ['v1']);
	t.notOk(waiting.canSend(createCandidate('v2')));
	t.ok(entry.request('a-1', new StreamBinding('v2')).isOver);
	entry.serving = [createCandidate('v2')];
	t.same(entry.getVersions(entry.request('a-2')), [], 'not even when nothing else serves');
	entry.serving = [createCandidate('v1'), createCandidate('v2')];
	entry.apply({share: 0.5});
	t.ok(entry.getShare(200) > 0.3, 'a new view ends it');
	entry.apply({share: 1, revision: 2});
	await entry.clock.runFor(60_000);
	t.equal(entry.getShare(200), 1);
});
